"""Reset rates of requests on reused connections, by idle time of the connection."""

from __future__ import annotations

FIRST_BUCKET_S = 0.025  # upper bound of the first bucket of idle times; the bound doubles with each bucket
BUCKET_COUNT = 12
DECAY = 0.95  # factor on the weight of earlier uses with each new one; about the last twenty count
MAX_RESET_FRACTION = 0.2  # of the uses; above it, connections of this idle time are not reused
ASSUMED_SUCCESSES = 8.0  # added to the uses, so that a single reset does not exclude an idle time
REQUESTS_PER_PROBE = 8  # one in this many idempotent requests probes an excluded idle time


def _bucket(idle_time: float) -> int:
    return min(BUCKET_COUNT - 1, int(idle_time / FIRST_BUCKET_S).bit_length())


class IdleResetRates:
    """Estimates how long connections can be idle before a request on them is likely to be reset.

    Endpoints and network devices in front of them may drop idle connections without closing them. The next
    request then ends in a reset, after which it cannot be retried unless it is idempotent. Idle times are in
    seconds.
    """

    def __init__(self) -> None:
        self._uses, self._resets = [0.0] * BUCKET_COUNT, [0.0] * BUCKET_COUNT
        self._probe_candidates = 0

    def record(self, idle_time: float, was_reset: bool) -> None:
        """Record whether a request on a connection with this idle time was reset before any response byte."""
        bucket = _bucket(idle_time)
        self._uses[bucket] = self._uses[bucket] * DECAY + 1.0
        self._resets[bucket] = self._resets[bucket] * DECAY + was_reset

    def may_reuse(self, idle_time: float, idempotent: bool) -> bool:
        """Return whether a request may be sent on a connection with this idle time."""
        bucket = _bucket(idle_time)
        if self._resets[bucket] <= MAX_RESET_FRACTION * (self._uses[bucket] + ASSUMED_SUCCESSES):
            return True
        self._probe_candidates += idempotent
        return idempotent and self._probe_candidates % REQUESTS_PER_PROBE == 0
