"""The adaptive limit on attempts in flight at an endpoint.

An endpoint that holds too much only works on what nobody waits for any more. The limit rises while responses
are timely and falls when they are late (additive increase, multiplicative decrease).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from rushroad.policy.events import AttemptOutcome, Result
from rushroad.policy.settings import RequestClass, Settings

if TYPE_CHECKING:
    from rushroad.policy.endpoints import EndpointTable

INITIAL_LIMIT = 4.0  # attempts in flight at an endpoint, by all gateways: a few for each core
INCREASE = 1.0  # attempts more, by all gateways, after as many timely responses as the limit
DECREASE = 0.6  # factor on the limit after a late response
LATE_RESPONSE = 0.3  # of the latency objective; slower responses show that an endpoint holds too much
ABANDONED_OBJECTIVES = 2.0  # latency objectives after which an abandoned attempt has left the endpoint

AttemptKey: TypeAlias = tuple[int, int]  # request and number of the attempt


class ConcurrencyLimit:
    """A limit on attempts in flight; a fraction of one where many gateways share an endpoint."""

    __slots__ = ("attempts", "decreased_at")

    def __init__(self, attempts: float, now: int) -> None:
        self.attempts = attempts
        self.decreased_at = now  # microseconds


class EndpointConcurrency:
    """This gateway's attempts at one endpoint, and its limit there. Times are in microseconds."""

    __slots__ = ("abandoned", "in_flight", "limit")

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self.limit = limit
        self.in_flight: dict[AttemptKey, int] = {}  # when they were started, the oldest first
        self.abandoned: list[int] = []  # when attempts were started that were given up

    def count(self, abandoned_since: int) -> int:
        """Count attempts in flight and those that were abandoned but may still be at the endpoint."""
        in_flight = len(self.in_flight)
        if self.abandoned:
            in_flight += sum(started_at > abandoned_since for started_at in self.abandoned)
        return in_flight

    def abandon(self, started_at: int, abandoned_since: int) -> None:
        """Remember an attempt that was given up."""
        recent = [at for at in self.abandoned if at > abandoned_since]
        self.abandoned = [*recent, started_at]

    def responded(self, started_at: int) -> None:
        """Forget abandoned attempts that were started before one that has been responded to."""
        if self.abandoned:
            self.abandoned = [at for at in self.abandoned if at > started_at]

    def forget_abandoned(self) -> None:
        """Forget all abandoned attempts, as after a restart of the endpoint."""
        self.abandoned = []


class ConcurrencyLimiter:
    """Adapts the limits. In large fleets one limit is pooled for all endpoints."""

    def __init__(self, settings: Settings, table: EndpointTable) -> None:
        self._fleet_size = settings.fleet_size
        self._table = table
        longest = max(c.latency_objective for c in settings.request_classes)
        self._abandoned_time = int(ABANDONED_OBJECTIVES * longest)
        self.pooled: ConcurrencyLimit | None = None

    @property
    def replicas(self) -> float:
        """Gateways that share an endpoint, in the mean."""
        return self._table.mean_replicas or self._fleet_size

    def pool(self, now: int) -> None:
        """Use one limit for all endpoints: this gateway's part of each is a fraction of an attempt."""
        self.pooled = ConcurrencyLimit(INITIAL_LIMIT / self._table.mean_replicas, now)

    def new_limit(self, now: int) -> ConcurrencyLimit:
        """Return the limit for an endpoint that is new here."""
        return self.pooled or ConcurrencyLimit(INITIAL_LIMIT / self.replicas, now)

    def abandoned_since(self, now: int) -> int:
        """Return the time before which abandoned attempts have surely left their endpoints."""
        return now - self._abandoned_time

    def record(
        self,
        concurrency: EndpointConcurrency,
        outcome: AttemptOutcome,
        request_class: RequestClass | None,
        is_capacity_short: bool,
        now: int,
    ) -> None:
        """Adapt the limit by how an attempt ended; `request_class` is None where the request is over."""
        started_at, limit = now - outcome.elapsed, concurrency.limit
        # A limit that is not reached is not raised; a pooled one that is not reached is not lowered either.
        pooled = self.pooled is not None
        is_reached = is_capacity_short if pooled else len(concurrency.in_flight) + 1 >= limit.attempts / 2
        is_late = outcome.result is Result.OVERLOADED
        if outcome.result in (Result.TIMEOUT, Result.CANCELLED):
            concurrency.abandon(started_at, self.abandoned_since(now))
            is_late = True
        elif outcome.result is Result.OK:
            concurrency.responded(started_at)
            objective = request_class.latency_objective if request_class is not None else None
            is_late = objective is not None and outcome.elapsed > LATE_RESPONSE * objective
            if not is_late and is_reached:
                limit.attempts += INCREASE / self.replicas / max(1.0, limit.attempts)
        if is_late and started_at >= limit.decreased_at and (is_reached or not pooled):
            limit.attempts = max(1.0 / self.replicas, limit.attempts * DECREASE)
            limit.decreased_at = now
