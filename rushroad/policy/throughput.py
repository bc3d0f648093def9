"""How many responses a second a warm endpoint gives, by class of endpoints."""

from __future__ import annotations

import math

from rushroad.policy.durations import SECOND

MEMORY = 5 * SECOND  # microseconds after which a response has faded: tens of responses


class ClassThroughput:
    """Responses from all warm endpoints of one class, and how many these are. Times are in microseconds.

    Both means fade alike: where many endpoints have just restarted, what they tell of the time before still
    holds for each.
    """

    __slots__ = ("_counted_at", "_mean_warm", "_rate", "_updated_at", "_warm")

    def __init__(self, now: int) -> None:
        self._rate, self._updated_at = 0.0, now  # responses a second
        self._warm, self._mean_warm, self._counted_at = 0, 0.0, now

    @property
    def is_known(self) -> bool:
        """True after the first response."""
        return self._rate > 0

    def record_response(self, now: int) -> None:
        """Count one response."""
        self._rate, self._updated_at = self.rate(now) + SECOND / MEMORY, now

    def rate(self, now: int) -> float:
        """Return the responses a second."""
        return self._rate * math.exp((self._updated_at - now) / MEMORY)

    def set_warm(self, warm: int, now: int) -> None:
        """So many endpoints of the class are warm from now on."""
        self._mean_warm = self.mean_warm(now) or warm
        self._warm, self._counted_at = warm, now

    def mean_warm(self, now: int) -> float:
        """Return the mean number of warm endpoints over the time that the rate is of."""
        return self._warm + (self._mean_warm - self._warm) * math.exp((self._counted_at - now) / MEMORY)
