"""Exponential backoff with jitter between attempts to reach a service that all gateways of a fleet use."""

from __future__ import annotations

import random


class Backoff:
    """Pauses between attempts: each about twice as long as the one before, until an attempt succeeds.

    Up to half of each pause is taken off at random: gateways that failed together do not retry in step.
    """

    def __init__(self, first_pause: float, max_pause: float, generator: random.Random) -> None:
        """first_pause, max_pause: seconds; generator: the source of the jitter."""
        self._first_pause, self._max_pause, self._generator = first_pause, max_pause, generator
        self._next_pause = first_pause

    def pause(self) -> float:
        """Seconds to wait before the next attempt; doubles the pause after that."""
        pause, self._next_pause = self._next_pause, min(self._max_pause, self._next_pause * 2)
        return pause * self._generator.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again from the first pause: an attempt has succeeded."""
        self._next_pause = self._first_pause
