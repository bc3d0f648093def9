"""The adaptive limit on attempts in flight at an endpoint. Times are whole microseconds.

An endpoint with too many attempts works only on requests that no client waits for any more. The limit rises
while responses are timely and falls when they are late (additive increase, multiplicative decrease).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from rushroad.policy.events import AttemptFinished, Result
from rushroad.policy.settings import RequestClass, Settings

if TYPE_CHECKING:
    from rushroad.policy.endpoint_table import EndpointTable

INITIAL_LIMIT = 4.0  # attempts in flight at an endpoint from all gateways together: a few per core
# Attempts from all gateways together, added to the limit over as many timely responses as the limit.
INCREASE_STEP = 1.0
DECREASE_FACTOR = 0.6  # multiplies the limit after a sign of overload
# Of the latency objective; slower responses show too many attempts at the endpoint.
LATE_RESPONSE_FRACTION = 0.3
# After this many times the longest latency objective, an abandoned attempt has left the endpoint.
ABANDONED_RETENTION_FACTOR = 2.0

AttemptKey: TypeAlias = tuple[int, int]  # request ID and attempt number


class ConcurrencyLimit:
    """A limit on attempts in flight; a fraction of an attempt where many gateways share an endpoint."""

    __slots__ = ("attempts", "decreased_at")

    def __init__(self, attempts: float, now: int) -> None:
        self.attempts = attempts
        self.decreased_at = now


class EndpointConcurrency:
    """This gateway's attempts at one endpoint, and its limit there."""

    __slots__ = ("abandoned", "in_flight", "limit")

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self.limit = limit
        self.in_flight: dict[AttemptKey, int] = {}  # start times, oldest first
        self.abandoned: list[int] = []  # start times of attempts that timed out or were cancelled

    def count(self, abandoned_cutoff: int) -> int:
        """Return the number of attempts in flight, with abandoned ones that may still be at the endpoint."""
        count = len(self.in_flight)
        if self.abandoned:
            count += sum(started_at > abandoned_cutoff for started_at in self.abandoned)
        return count

    def record_abandoned(self, started_at: int, abandoned_cutoff: int) -> None:
        """Record an attempt that timed out or was cancelled, and forget those started up to the cutoff."""
        recent = [at for at in self.abandoned if at > abandoned_cutoff]
        self.abandoned = [*recent, started_at]

    def forget_abandoned_up_to(self, started_at: int) -> None:
        """Forget abandoned attempts that were started no later than one that got a response."""
        if self.abandoned:
            self.abandoned = [at for at in self.abandoned if at > started_at]

    def forget_abandoned(self) -> None:
        """Forget all abandoned attempts, as after a restart of the endpoint."""
        self.abandoned = []


class ConcurrencyLimiter:
    """Adapts the limits; in a large fleet, one limit is pooled for all endpoints."""

    def __init__(self, settings: Settings, table: EndpointTable) -> None:
        self._fleet_size = settings.fleet_size
        self._table = table
        longest = max(c.latency_objective for c in settings.request_classes)
        self._abandoned_retention = int(ABANDONED_RETENTION_FACTOR * longest)
        self.pooled: ConcurrencyLimit | None = None

    @property
    def mean_replicas(self) -> float:
        """Mean number of gateways that share an endpoint; until the first snapshot, all gateways."""
        return self._table.mean_replicas or self._fleet_size

    def use_pooled_limit(self, now: int) -> None:
        """Use one limit for all endpoints: this gateway's share of each is a fraction of an attempt."""
        self.pooled = ConcurrencyLimit(INITIAL_LIMIT / self._table.mean_replicas, now)

    def new_limit(self, now: int) -> ConcurrencyLimit:
        """Return the limit for a newly active endpoint."""
        return self.pooled or ConcurrencyLimit(INITIAL_LIMIT / self.mean_replicas, now)

    def abandoned_cutoff(self, now: int) -> int:
        """Return the start time up to which abandoned attempts count as no longer at their endpoints."""
        return now - self._abandoned_retention

    def record(
        self,
        concurrency: EndpointConcurrency,
        event: AttemptFinished,
        request_class: RequestClass | None,
        is_capacity_short: bool,
        now: int,
    ) -> None:
        """Adapt the limit to a result; `request_class` is None if the request finished before its attempt."""
        started_at, limit = now - event.elapsed, concurrency.limit
        # A limit is raised only if half of it is in use; a pooled limit is also lowered only then. The
        # attempt that has just finished counts as in use, although `in_flight` no longer contains it.
        is_pooled = self.pooled is not None
        is_half_used = (
            is_capacity_short if is_pooled else len(concurrency.in_flight) + 1 >= limit.attempts / 2
        )
        shows_overload = event.result is Result.OVERLOADED
        if event.result in (Result.TIMEOUT, Result.CANCELLED):
            concurrency.record_abandoned(started_at, self.abandoned_cutoff(now))
            shows_overload = True
        elif event.result is Result.OK:
            concurrency.forget_abandoned_up_to(started_at)
            objective = request_class.latency_objective if request_class is not None else None
            shows_overload = objective is not None and event.elapsed > LATE_RESPONSE_FRACTION * objective
            if not shows_overload and is_half_used:
                limit.attempts += INCREASE_STEP / self.mean_replicas / max(1.0, limit.attempts)
        # An attempt that started before the last decrease was subject to the previous, higher limit.
        if shows_overload and started_at >= limit.decreased_at and (is_half_used or not is_pooled):
            limit.attempts = max(1.0 / self.mean_replicas, limit.attempts * DECREASE_FACTOR)
            limit.decreased_at = now
