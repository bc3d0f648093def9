"""Response rates of warm endpoints, by endpoint class. Times are whole microseconds."""

from __future__ import annotations

import math

from rushroad.policy.time_units import SECOND

TIME_CONSTANT = 5 * SECOND  # of the exponential decay; spans tens of responses


class EndpointClassThroughput:
    """Decaying means of the response rate and of the number of warm endpoints of one endpoint class.

    Both decay with the same time constant, so that their ratio, the rate of one warm endpoint, stays valid
    when many endpoints restart at once.
    """

    __slots__ = ("_counted_at", "_mean_warm_count", "_rate", "_updated_at", "_warm_count")

    def __init__(self, now: int) -> None:
        self._rate, self._updated_at = 0.0, now  # responses per second
        self._warm_count, self._mean_warm_count, self._counted_at = 0, 0.0, now

    @property
    def is_known(self) -> bool:
        """True after the first response."""
        return self._rate > 0

    def record_response(self, now: int) -> None:
        """Count one response."""
        self._rate, self._updated_at = self.rate(now) + SECOND / TIME_CONSTANT, now

    def rate(self, now: int) -> float:
        """Return the responses per second of all warm endpoints together."""
        return self._rate * math.exp((self._updated_at - now) / TIME_CONSTANT)

    def set_warm_count(self, count: int, now: int) -> None:
        """Set the number of endpoints of the class that are warm from now on."""
        self._mean_warm_count = self.mean_warm_count(now) or count
        self._warm_count, self._counted_at = count, now

    def mean_warm_count(self, now: int) -> float:
        """Return the mean number of warm endpoints over the period that the rate covers."""
        return self._warm_count + (self._mean_warm_count - self._warm_count) * math.exp(
            (self._counted_at - now) / TIME_CONSTANT
        )
