"""When the shared counter is called: a circuit breaker, and the fraction of requests that call it.

Times are whole microseconds.
"""

from __future__ import annotations

from rushroad.policy.events import CounterReply, Result
from rushroad.policy.settings import CounterSettings

FAILURE_THRESHOLD = 3  # consecutive failed calls that open the breaker; one or two may be chance
TRIAL_INTERVAL_TIMEOUTS = 4  # counter timeouts between trial calls while the breaker is open
CALL_FRACTION_DECREASE_FACTOR = 0.7  # of the call fraction, after a call that found the counter overloaded
CALL_FRACTION_INCREMENT = 0.02  # added to the call fraction by a prompt reply
PROMPT_REPLY_FRACTION = 0.5  # of the counter's timeout; slower replies do not raise the call fraction
MIN_CALL_FRACTION = 0.1  # kept so that a recovery of the counter is noticed soon


class CounterBreaker:
    """Tracks whether the counter is available, and limits the load on it.

    An unavailable counter opens the breaker. An overloaded counter is called for a fraction of the requests
    only: it also works on calls that have timed out, so at full load every total would come too late.
    """

    def __init__(self, settings: CounterSettings | None, now: int, last_failure_at: int) -> None:
        """Start closed; `last_failure_at` may be any time before the first call."""
        self._timeout = settings.timeout if settings is not None else 0
        self.consecutive_failures = 0  # without those of calls made before the previous failure
        self._last_failure_at = last_failure_at
        self.next_trial_at = now
        self.call_fraction = 1.0  # fraction of the requests that may call the counter
        self._call_fraction_decreased_at = now

    @property
    def is_open(self) -> bool:
        """True while requests must not wait for the counter."""
        return self.consecutive_failures >= FAILURE_THRESHOLD

    @property
    def is_overloaded(self) -> bool:
        """True while only a fraction of the requests may call the counter."""
        return self.call_fraction < 1.0

    def acquire_trial(self, now: int) -> bool:
        """Return whether a trial call may be made while the breaker is open; if so, schedule the next one."""
        if now < self.next_trial_at:
            return False
        self.next_trial_at = now + TRIAL_INTERVAL_TIMEOUTS * self._timeout
        return True

    def record(self, reply: CounterReply, now: int) -> None:
        """Update the breaker and the call fraction with the result of a call."""
        self._update_call_fraction(reply, now)
        if reply.result is Result.OK:
            self.consecutive_failures = 0
        elif reply.result is not Result.OVERLOADED and now - reply.elapsed >= self._last_failure_at:
            # Calls in one queue or on one broken connection fail together and count as one failure. A counter
            # that rejects calls is available.
            self.consecutive_failures, self._last_failure_at = self.consecutive_failures + 1, now

    def _update_call_fraction(self, reply: CounterReply, now: int) -> None:
        if reply.result is Result.OK and self.is_open:
            self.call_fraction = 1.0  # the counter was unavailable, not overloaded
        elif reply.result is Result.OK:
            if reply.elapsed <= PROMPT_REPLY_FRACTION * self._timeout:
                self.call_fraction = min(1.0, self.call_fraction + CALL_FRACTION_INCREMENT)
        elif reply.result not in (Result.TIMEOUT, Result.OVERLOADED):
            pass  # a broken connection says nothing about the counter's load
        elif now - reply.elapsed >= self._call_fraction_decreased_at:
            self.call_fraction = max(MIN_CALL_FRACTION, self.call_fraction * CALL_FRACTION_DECREASE_FACTOR)
            self._call_fraction_decreased_at = now
