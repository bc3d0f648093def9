"""When the shared counter is called: a circuit breaker, and the fraction of requests that call it."""

from __future__ import annotations

from rushroad.policy.events import CounterReply, Result
from rushroad.policy.settings import CounterSettings

FAILURE_THRESHOLD = 3  # consecutive failed calls that open the breaker: one or two are chance
TRIAL_INTERVAL = 4  # counter timeouts between trial calls while the breaker is open
SHARE_DECREASE = 0.7  # factor on the call share after a call that found the counter overloaded
SHARE_INCREASE = 0.02  # added to the call share by a prompt reply
PROMPT_REPLY = 0.5  # of the counter's timeout; slower replies do not raise the call share
MIN_CALL_SHARE = 0.1  # so that recovery of the counter is noticed soon


class CounterBreaker:
    """Tells whether the counter is available, and how much of the load it may get.

    A counter that is away opens the breaker. One that is overloaded is called for a share of the requests
    only: it also works on calls that nobody waits for any more, and would lose the totals of all.
    """

    def __init__(self, settings: CounterSettings | None, now: int, failed_at: int) -> None:
        """Start closed; `failed_at` is a time in microseconds before any failure."""
        self._timeout = settings.timeout if settings is not None else 0
        self.failures = 0  # consecutive ones, each of a call made after the one before had failed
        self._failed_at = failed_at
        self.next_trial_at = now
        self.call_share = 1.0  # of the requests
        self._share_decreased_at = now

    @property
    def is_open(self) -> bool:
        """True while requests must not wait for the counter."""
        return self.failures >= FAILURE_THRESHOLD

    @property
    def is_overloaded(self) -> bool:
        """True while only a share of the requests calls the counter."""
        return self.call_share < 1.0

    def allow_trial(self, now: int) -> bool:
        """Whether a trial call is due while the breaker is open; the next one is due an interval later."""
        if now < self.next_trial_at:
            return False
        self.next_trial_at = now + TRIAL_INTERVAL * self._timeout
        return True

    def record(self, reply: CounterReply, now: int) -> None:
        """Learn from how a call ended."""
        self._update_share(reply, now)
        if reply.result is Result.OK:
            self.failures = 0
        elif reply.result is not Result.OVERLOADED and now - reply.elapsed >= self._failed_at:
            # Calls in one queue or on one broken connection fail together and count once. A counter that
            # rejects calls is available.
            self.failures, self._failed_at = self.failures + 1, now

    def _update_share(self, reply: CounterReply, now: int) -> None:
        if reply.result is Result.OK and self.is_open:
            self.call_share = 1.0  # it was away, not overloaded
        elif reply.result is Result.OK:
            if reply.elapsed <= PROMPT_REPLY * self._timeout:
                self.call_share = min(1.0, self.call_share + SHARE_INCREASE)
        elif reply.result not in (Result.TIMEOUT, Result.OVERLOADED):
            pass  # a broken connection says nothing of the counter's load
        elif now - reply.elapsed >= self._share_decreased_at:
            self.call_share = max(MIN_CALL_SHARE, self.call_share * SHARE_DECREASE)
            self._share_decreased_at = now
