"""How often requests on connections that had been idle were reset, by the idle time."""

from __future__ import annotations

FIRST_BUCKET_S = 0.025  # seconds of idle time in the first bucket; each further bucket is twice as long
BUCKET_COUNT = 12
DECAY = 0.95  # weight left to earlier uses with each new one: about the last twenty count
MAX_RESET_SHARE = 0.2  # of the uses; above it connections of this idle time are not reused
ASSUMED_SUCCESSES = 8.0  # counted in advance, so that one reset by chance rules out no idle time
REQUESTS_PER_PROBE = 8  # one in so many idempotent requests probes an idle time that is ruled out


def _bucket(idle_time: float) -> int:
    return min(BUCKET_COUNT - 1, int(idle_time / FIRST_BUCKET_S).bit_length())


class IdleResetRates:
    """Learns how long connections may have been idle before a request on them is likely to be reset.

    Endpoints, and devices in front of them, forget idle connections without closing them. The next request
    then ends as a reset, after which one that is not idempotent can't be tried again.
    """

    def __init__(self) -> None:
        self._uses, self._resets = [0.0] * BUCKET_COUNT, [0.0] * BUCKET_COUNT
        self._probe_candidates = 0

    def record(self, idle_time: float, was_reset: bool) -> None:
        """Record whether a request, written after so many seconds idle, was reset before any byte came."""
        bucket = _bucket(idle_time)
        self._uses[bucket] = self._uses[bucket] * DECAY + 1.0
        self._resets[bucket] = self._resets[bucket] * DECAY + was_reset

    def may_reuse(self, idle_time: float, idempotent: bool) -> bool:
        """Return whether a request may go on a connection that has been idle for so many seconds."""
        bucket = _bucket(idle_time)
        if self._resets[bucket] <= MAX_RESET_SHARE * (self._uses[bucket] + ASSUMED_SUCCESSES):
            return True
        self._probe_candidates += idempotent
        return idempotent and self._probe_candidates % REQUESTS_PER_PROBE == 0
