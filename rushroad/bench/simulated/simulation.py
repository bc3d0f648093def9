"""The virtual clock, and other state that all parts of a simulated fleet share."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import Any

from rushroad.policy.settings import Settings

MILLISECOND = 1_000
SECOND = 1_000_000
START_TIME = 5_000 * SECOND  # the virtual clock at the start of a run


class Metric(StrEnum):
    """Counts of a run; the values are the column names of the results."""

    REQUESTS = "asked"
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"  # pending at a gateway that stopped, or sent to a stopped one
    ATTEMPTS = "attempts"
    UNAVAILABLE = "attempts_gone"  # attempts to a rate server that was down or silent
    CRASHES = "falls"  # of rate servers that were overloaded during warm-up
    CONNECTS = "connects"


class Simulation:
    """The event queue of the virtual clock, the random numbers, the settings and the counts of a run.

    Times are in microseconds of the virtual clock.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = START_TIME
        self.counts_by_second: dict[int, Counter[str]] = {}  # by whole seconds since the start
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()

    def schedule(self, delay: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after a delay; calls that are due at the same time run in scheduling order."""
        heapq.heappush(self._events, (self.now + delay, next(self._sequence), callback, arguments))

    def run(self, duration: int) -> None:
        """Advance the virtual clock by this duration."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now = end

    @property
    def elapsed_s(self) -> int:
        """Whole seconds since the start of the run."""
        return (self.now - START_TIME) // SECOND

    def count(self, metric: Metric, number: int = 1) -> None:
        """Add to a metric in the current second."""
        self.counts_by_second.setdefault(self.elapsed_s, Counter())[metric] += number

    def counts(self, start_s: int, end_s: int) -> Counter[str]:
        """Return the counts from `start_s` (inclusive) to `end_s` (exclusive), in seconds since the start."""
        inside = (counts for second, counts in self.counts_by_second.items() if start_s <= second < end_s)
        return sum(inside, Counter())
