"""A request that has no final answer yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushroad.policy.events import Endpoint, Request
from rushroad.policy.settings import Idempotency, Plan, RequestClass
from rushroad.policy.tenants import Tenant

if TYPE_CHECKING:
    from rushroad.policy.active_endpoints import ActiveEndpoint

COUNTER_WAIT = 0.1  # of the latency objective; how long a request waits for its total


class InFlightAttempt:
    """An attempt without an outcome."""

    __slots__ = ("endpoint", "started_at")

    def __init__(self, endpoint: ActiveEndpoint, started_at: int) -> None:
        self.endpoint = endpoint
        self.started_at = started_at


class PossibleExecution:
    """An attempt that has ended, but may have been executed."""

    __slots__ = ("entry", "started_at")

    def __init__(self, entry: Endpoint, started_at: int) -> None:
        self.entry = entry
        self.started_at = started_at


class PendingRequest:
    """One request, from its arrival to its final answer. Times and spans are in microseconds."""

    __slots__ = (
        "attempts",
        "awaiting_counter",
        "counted_units",
        "counter_wait",
        "deadline",
        "in_flight",
        "is_over_quota",
        "objective_at",
        "plan",
        "possible_executions",
        "rejection_probability",
        "request",
        "request_class",
        "tenant",
    )

    def __init__(
        self, request: Request, request_class: RequestClass, plan: Plan, tenant: Tenant, now: int
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.plan = plan
        self.tenant = tenant
        self.deadline = now + request.time_remaining
        self.objective_at = now + min(request_class.latency_objective, request.time_remaining)
        objective_wait = int(request_class.latency_objective * COUNTER_WAIT)
        self.counter_wait = min(objective_wait, request.time_remaining // 2)
        self.attempts = 0
        self.in_flight: dict[int, InFlightAttempt] = {}  # by the number of the attempt
        self.possible_executions: list[PossibleExecution] = []
        self.awaiting_counter = True  # no decision to forward it yet
        self.counted_units = 0.0  # added to the counter for it, or to be added
        self.rejection_probability = 0.0  # by the tenant's recent totals
        self.is_over_quota = False  # most likely, by that probability

    @property
    def is_retry_harmless(self) -> bool:
        """True where a retry by the client can't have the effect of the request twice."""
        if self.in_flight:
            return False
        return not self.possible_executions or self.request_class.idempotency is Idempotency.IDEMPOTENT
