"""Checks every action of a gateway against the rules that no gateway may break.

All timestamps and durations are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rushroad.policy.actions import Reject, StartAttempt
from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, Request, UpdateKind
from rushroad.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

SECOND = 1_000_000
ROUNDING_TOLERANCE = 1e-6  # units


class RuleViolationError(AssertionError):
    """Raised for an action that breaks one of the rules."""


@dataclass(frozen=True)
class AttemptRecord:
    """An attempt that was started."""

    endpoint: str
    started_at: int
    times_out_at: int


@dataclass
class TrackedRequest:
    """The state that the checker keeps of a request."""

    request: Request
    deadline: int
    attempts: dict[int, AttemptRecord] = field(default_factory=dict)  # by number
    in_flight: set[int] = field(default_factory=set)  # numbers of attempts
    possible_executions: list[AttemptRecord] = field(default_factory=list)  # finished, may have been executed
    is_answered: bool = False


class RuleChecker:
    """Tracks requests and the endpoint list; raises RuleViolationError if an action breaks a rule."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.requests: dict[int, TrackedRequest] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.not_ready_since: dict[str, int] = {}  # draining or removed endpoints
        # By tenant: units left of this gateway's share of the ceiling, and when they were last updated.
        self._ceilings: dict[int, tuple[float, int]] = {}

    def update_endpoints(self, update: EndpointUpdate, now: int) -> None:
        """Apply an endpoint update."""
        if update.kind is not UpdateKind.DELTA:
            listed = {entry.name for entry in update.endpoints}
            for name in [name for name in self.endpoints if name not in listed]:
                self.not_ready_since.setdefault(name, now)
        for entry in update.endpoints:
            self.endpoints[entry.name] = entry
            if entry.state is EndpointState.READY:
                self.not_ready_since.pop(entry.name, None)
            else:
                self.not_ready_since.setdefault(entry.name, now)

    def check_answered_in_time(self, now: int) -> None:
        """Raise if a request has no answer although its deadline and the answer slack have passed."""
        for tracked in self.requests.values():
            if not tracked.is_answered and now > tracked.deadline + self.settings.safety.answer_slack:
                raise RuleViolationError(
                    f"request {tracked.request.id} has no answer after its deadline and the answer slack"
                )

    def check_answer(self, answer: object, request_id: int) -> None:
        """Check that a request gets one final answer, and that it is rejected only if it is safe to retry."""
        tracked = self.requests[request_id]
        if tracked.is_answered:
            raise RuleViolationError(f"request {request_id} answered twice")
        tracked.is_answered = True
        if not isinstance(answer, Reject) or not (tracked.possible_executions or tracked.in_flight):
            return
        request_class = self._request_class_of(tracked)
        is_keyed = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        is_scoped = request_class.deduplication_scope is not DeduplicationScope.ALL
        # A retry by the client may go to an endpoint outside the deduplication scope.
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT or (is_keyed and is_scoped):
            raise RuleViolationError(f"request {request_id} was rejected although it may have been executed")

    def _request_class_of(self, tracked: TrackedRequest) -> RequestClass:
        return self.settings.request_classes[tracked.request.class_index]

    def check_attempt(self, action: StartAttempt, now: int) -> None:
        """Check a new attempt, and track it."""
        tracked, limits = self.requests[action.request_id], self.settings.limits
        if tracked.is_answered:
            raise RuleViolationError(f"request {action.request_id} forwarded after its final answer")
        if tracked.in_flight and not limits.hedging_allowed:
            raise RuleViolationError(f"request {action.request_id} has two attempts in flight")
        if len(tracked.attempts) >= limits.max_attempts:
            raise RuleViolationError(
                f"request {action.request_id} has more than {limits.max_attempts} attempts"
            )
        not_ready_since = self.not_ready_since.get(action.endpoint, now)
        if now > not_ready_since + self.settings.safety.drain_grace:
            raise RuleViolationError(f"attempt at {action.endpoint} after its drain grace")
        self._check_possible_executions(tracked, action, now)
        if not tracked.attempts:
            self._check_ceiling(tracked.request, now)
        number = len(tracked.attempts)
        times_out_at = min(tracked.deadline, now + action.timeout) if action.timeout else tracked.deadline
        tracked.in_flight.add(number)
        tracked.attempts[number] = AttemptRecord(action.endpoint, now, times_out_at)

    def _check_possible_executions(self, tracked: TrackedRequest, action: StartAttempt, now: int) -> None:
        request_class = self._request_class_of(tracked)
        in_flight = [tracked.attempts[number] for number in sorted(tracked.in_flight)]
        for attempt in tracked.possible_executions + in_flight:
            if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
                raise RuleViolationError(
                    f"request {action.request_id} may have been executed, but was forwarded again"
                )
            if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
                continue
            endpoint, earlier = self.endpoints[action.endpoint], self.endpoints[attempt.endpoint]
            if not self._is_same_scope(request_class.deduplication_scope, endpoint, earlier):
                raise RuleViolationError(
                    f"request {action.request_id} was forwarded outside its deduplication scope"
                )
            if now - attempt.started_at > request_class.deduplication_window:
                raise RuleViolationError(
                    f"request {action.request_id} was forwarded after its deduplication window"
                )

    @staticmethod
    def _is_same_scope(scope: DeduplicationScope, endpoint: Endpoint, earlier: Endpoint) -> bool:
        if scope is DeduplicationScope.ALL:
            return True
        if scope is DeduplicationScope.ZONE:
            return endpoint.zone == earlier.zone
        return endpoint.cell == earlier.cell

    def _check_ceiling(self, request: Request, now: int) -> None:
        """Check this gateway's share of the ceiling: if all gateways keep theirs, the fleet keeps it."""
        plan = self.settings.plans[request.plan_index]
        if plan.ceiling_rate <= 0:
            return
        burst = plan.ceiling_burst / request.entry_point_count
        units, updated_at = self._ceilings.get(request.tenant, (burst, now))
        refilled = plan.ceiling_rate / request.entry_point_count * (now - updated_at) / SECOND
        units = min(burst, units + refilled) - request.units
        if units < -ROUNDING_TOLERANCE:
            raise RuleViolationError(
                f"tenant {request.tenant} is {-units} units over this gateway's share of its ceiling"
            )
        self._ceilings[request.tenant] = (units, now)
