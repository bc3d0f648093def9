"""Which attempts a request may get: the retry budget, attempt timeouts and where a retry may go."""

from __future__ import annotations

from rushroad.policy.events import Endpoint, Result
from rushroad.policy.pending_request import PendingRequest
from rushroad.policy.settings import DeduplicationScope, Idempotency, Settings

BUDGET_RATIO = 0.15  # retries for each request, in the long run: they must not double an overload
MAX_BUDGET = 10.0  # retries saved up: one bad endpoint's share of a burst
FIRST_ATTEMPT_TIME = 0.5  # of the time to the latency objective, for the first of two possible attempts


class RetryPolicy:
    """Decides whether, when and where a request is tried again. Times and spans are in microseconds."""

    def __init__(self, settings: Settings) -> None:
        self._limits = settings.limits
        self._tick = settings.tick
        self._budget = MAX_BUDGET

    def request_arrived(self) -> None:
        """Add a request's part to the retry budget."""
        self._budget = min(MAX_BUDGET, self._budget + BUDGET_RATIO)

    @property
    def has_budget(self) -> bool:
        """True where a retry or a hedged request is within the budget."""
        return self._budget >= 1

    def take(self) -> None:
        """Take one retry from the budget."""
        self._budget -= 1

    def take_retry(self, pending: PendingRequest, result: Result) -> bool:
        """Whether a request may be tried again after such a result; takes from the budget where it must."""
        if result.proven_not_executed:
            return True
        if pending.request_class.idempotency is Idempotency.NOT_IDEMPOTENT or not self.has_budget:
            return False
        self.take()
        return True

    def time_to_objective(self, pending: PendingRequest, now: int) -> int:
        """Return the time left for a response within the latency objective."""
        return pending.objective_at - now - self._tick

    def has_attempt_left(self, pending: PendingRequest, now: int) -> bool:
        """Whether attempts and time allow one more."""
        if pending.attempt_count >= self._limits.max_attempts:
            return False
        return self.time_to_objective(pending, now) > self._tick

    def may_hedge(self, pending: PendingRequest) -> bool:
        """Whether a second attempt may be in flight beside a silent one: the first response counts."""
        return self._limits.hedging_allowed and pending.request_class.idempotency is Idempotency.IDEMPOTENT

    def _leaves_time_for_retry(self, pending: PendingRequest) -> bool:
        if pending.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        if pending.attempt_count + 1 >= self._limits.max_attempts:
            return False
        return not pending.possible_executions and not pending.in_flight  # a retry has all that is left

    def check_delay(self, pending: PendingRequest, now: int) -> int | None:
        """Return when to check whether the attempt's endpoint is silent; None where it can't be cancelled."""
        if not self._limits.cancellation_allowed or not self._leaves_time_for_retry(pending):
            return None
        return int(self.time_to_objective(pending, now) * FIRST_ATTEMPT_TIME)

    def attempt_timeout(self, pending: PendingRequest, now: int) -> int:
        """Return the timeout of an attempt that starts now."""
        remaining, to_objective = pending.deadline - now, self.time_to_objective(pending, now)
        timeout = remaining if pending.request_class.late_weight > 0 else min(remaining, to_objective)
        is_first = pending.attempt_count == 0 and not self._limits.cancellation_allowed
        if is_first and self._leaves_time_for_retry(pending):
            timeout = min(timeout, max(self._tick, int(to_objective * FIRST_ATTEMPT_TIME)))
        return timeout

    def is_bound_to_cell(self, pending: PendingRequest) -> bool:
        """Whether only endpoints of one cell drop duplicates of the request."""
        request_class = pending.request_class
        return (
            request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and request_class.deduplication_scope is DeduplicationScope.CELL
        )

    def allows(self, pending: PendingRequest, entry: Endpoint, now: int) -> bool:
        """Whether a request that may have been executed can be sent to an endpoint.

        One with an idempotency key stays in its scope and window; a new connection may take its time.
        """
        request_class = pending.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return not pending.possible_executions
        scope = request_class.deduplication_scope
        window = request_class.deduplication_window - self._tick - self._limits.connect_timeout
        for execution in pending.possible_executions:
            if now - execution.started_at >= window:
                return False
            if scope is DeduplicationScope.ZONE and execution.entry.zone != entry.zone:
                return False
            if scope is DeduplicationScope.CELL and execution.entry.cell != entry.cell:
                return False
        return True
