"""The virtual clock, and what else all parts of a simulated fleet share."""

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
START = 5_000 * SECOND  # the virtual clock at the start of a run


class Tally(StrEnum):
    """What is counted during a run, named as the columns of the results are."""

    REQUESTS = "asked"
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LOST = "lost"  # open at a gateway that stopped, or sent to one that was down
    ATTEMPTS = "attempts"
    UNAVAILABLE = "attempts_gone"  # attempts to a rate server that was down or silent
    CRASHES = "falls"  # of rate servers that got too much while they were warming up
    CONNECTS = "connects"


class Simulation:
    """The event heap of the virtual clock, the random numbers, the settings and the counts of a run.

    Times are microseconds of the virtual clock.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = START
        self.counts_by_second: dict[int, Counter[str]] = {}  # whole seconds since the start
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()

    def after(self, delay: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call something after a delay; events due at one moment run in the order in which they were set."""
        heapq.heappush(self._events, (self.now + delay, next(self._sequence), callback, arguments))

    def run(self, span: int) -> None:
        """Let this much virtual time pass."""
        end = self.now + span
        while self._events and self._events[0][0] <= end:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now = end

    @property
    def second(self) -> int:
        """Whole seconds since the start of the run."""
        return (self.now - START) // SECOND

    def count(self, tally: Tally, number: int = 1) -> None:
        """Add to a tally, in this second."""
        self.counts_by_second.setdefault(self.second, Counter())[tally] += number

    def counts(self, since: int, until: int) -> Counter[str]:
        """The counts of the seconds from `since` up to, and without, `until`."""
        inside = (counts for second, counts in self.counts_by_second.items() if since <= second < until)
        return sum(inside, Counter())
