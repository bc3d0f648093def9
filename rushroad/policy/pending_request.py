"""A request that has no final answer yet. Times are whole microseconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushroad.policy.events import Endpoint, Request
from rushroad.policy.settings import Idempotency, Plan, RequestClass
from rushroad.policy.tenants import Tenant

if TYPE_CHECKING:
    from rushroad.policy.active_endpoints import ActiveEndpoint

# Of the latency objective: the longest wait for a total, and the response time assumed while none is known.
COUNTER_WAIT_FRACTION = 0.1


class InFlightAttempt:
    """An attempt that has not finished."""

    __slots__ = ("endpoint", "started_at")

    def __init__(self, endpoint: ActiveEndpoint, started_at: int) -> None:
        self.endpoint = endpoint
        self.started_at = started_at


class PossibleExecution:
    """An attempt that has finished and may have been executed."""

    __slots__ = ("entry", "started_at")

    def __init__(self, entry: Endpoint, started_at: int) -> None:
        self.entry = entry
        self.started_at = started_at


class PendingRequest:
    """The state of one request from its arrival to its final answer."""

    __slots__ = (
        "attempt_count",
        "awaiting_admission",
        "counted_units",
        "deadline",
        "in_flight",
        "is_likely_over_quota",
        "max_counter_wait",
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
        # When the latency objective passes; earlier if the client has probably tried before.
        self.objective_at = now + min(request_class.latency_objective, request.time_remaining)
        max_wait_by_objective = int(request_class.latency_objective * COUNTER_WAIT_FRACTION)
        self.max_counter_wait = min(max_wait_by_objective, request.time_remaining // 2)
        self.attempt_count = 0
        self.in_flight: dict[int, InFlightAttempt] = {}  # by attempt number
        self.possible_executions: list[PossibleExecution] = []
        self.awaiting_admission = True
        self.counted_units = 0.0  # added to the tenant's total for this request, or to be added
        self.rejection_probability = 0.0  # estimated from recent decisions by totals
        self.is_likely_over_quota = False  # by that probability, and by the plan's overage weight and cost

    @property
    def is_safe_to_retry(self) -> bool:
        """Whether a retry by the client cannot apply the effect of the request twice."""
        if self.in_flight:
            return False
        return not self.possible_executions or self.request_class.idempotency is Idempotency.IDEMPOTENT
