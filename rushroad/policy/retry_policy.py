"""Retry budget, attempt timeouts and the endpoints that a retry may use. Times are whole microseconds."""

from __future__ import annotations

from rushroad.policy.events import Endpoint, Result
from rushroad.policy.pending_request import PendingRequest
from rushroad.policy.settings import DeduplicationScope, Idempotency, Settings

BUDGET_RATIO = 0.15  # retries per request in the long run; in an overload, retries must not double the load
MAX_BUDGET = 10.0  # retries that can accumulate: one failing endpoint's share of a burst
FIRST_ATTEMPT_FRACTION = 0.5  # of the time to the latency objective, for the first of two possible attempts


class RetryPolicy:
    """Decides whether, when and where a request is retried or hedged."""

    def __init__(self, settings: Settings) -> None:
        self._limits = settings.limits
        self._tick = settings.tick
        self._budget = MAX_BUDGET

    def request_arrived(self) -> None:
        """Add a request's share to the retry budget."""
        self._budget = min(MAX_BUDGET, self._budget + BUDGET_RATIO)

    @property
    def has_budget(self) -> bool:
        """True if a retry or a hedged request is within the budget."""
        return self._budget >= 1

    def consume_retry(self) -> None:
        """Subtract one retry or hedged request from the budget."""
        self._budget -= 1

    def acquire_retry(self, pending: PendingRequest, result: Result) -> bool:
        """Return whether a request may be retried after this result.

        The retry is subtracted from the budget, unless the result proves that the request was not executed.
        """
        if result.proven_not_executed:
            return True
        if pending.request_class.idempotency is Idempotency.NOT_IDEMPOTENT or not self.has_budget:
            return False
        self.consume_retry()
        return True

    def time_to_objective(self, pending: PendingRequest, now: int) -> int:
        """Return the time left for a response within the latency objective, less one tick."""
        return pending.objective_at - now - self._tick

    def has_attempt_left(self, pending: PendingRequest, now: int) -> bool:
        """Return whether the maximum number of attempts and the time left allow one more attempt."""
        if pending.attempt_count >= self._limits.max_attempts:
            return False
        return self.time_to_objective(pending, now) > self._tick

    def may_hedge(self, pending: PendingRequest) -> bool:
        """Return whether a second attempt may run beside one in flight; the first response counts."""
        return self._limits.hedging_allowed and pending.request_class.idempotency is Idempotency.IDEMPOTENT

    def _leaves_time_for_retry(self, pending: PendingRequest) -> bool:
        if pending.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        if pending.attempt_count + 1 >= self._limits.max_attempts:
            return False
        return not pending.possible_executions and not pending.in_flight  # a retry gets all the time left

    def attempt_check_delay(self, pending: PendingRequest, now: int) -> int | None:
        """Return the delay until an attempt's endpoint is checked for silence; None if it is not checked."""
        if not self._limits.cancellation_allowed or not self._leaves_time_for_retry(pending):
            return None
        return int(self.time_to_objective(pending, now) * FIRST_ATTEMPT_FRACTION)

    def attempt_timeout(self, pending: PendingRequest, now: int) -> int:
        """Return the timeout of an attempt that starts now."""
        remaining, to_objective = pending.deadline - now, self.time_to_objective(pending, now)
        timeout = remaining if pending.request_class.late_weight > 0 else min(remaining, to_objective)
        is_unchecked_first = pending.attempt_count == 0 and not self._limits.cancellation_allowed
        if is_unchecked_first and self._leaves_time_for_retry(pending):
            timeout = min(timeout, max(self._tick, int(to_objective * FIRST_ATTEMPT_FRACTION)))
        return timeout

    def is_bound_to_cell(self, pending: PendingRequest) -> bool:
        """Return whether only endpoints of one cell drop duplicates of the request."""
        request_class = pending.request_class
        return (
            request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and request_class.deduplication_scope is DeduplicationScope.CELL
        )

    def allows(self, pending: PendingRequest, entry: Endpoint, now: int) -> bool:
        """Return whether a request that may have been executed may be sent to an endpoint.

        A request with an idempotency key must stay within its deduplication scope and window, less the time
        that a new connection may take.
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
