"""Exponential backoff with jitter, for what many gateways would else ask of one service at the same time."""

from __future__ import annotations

import random


class Backoff:
    """Pauses before further tries: each about twice as long as the one before, until one try succeeds.

    Half of a pause is chance, so that gateways that failed together do not come back together.
    """

    def __init__(self, first: float, most: float, chance: random.Random) -> None:
        self._first, self._most, self._chance = first, most, chance
        self._next = first

    def pause(self) -> float:
        """Seconds to wait now."""
        span, self._next = self._next, min(self._most, self._next * 2)
        return span * self._chance.uniform(0.5, 1.0)

    def reset(self) -> None:
        """A try has succeeded."""
        self._next = self._first
