"""Exponential backoff with jitter between attempts to reach a service that all gateways of a fleet use."""

from __future__ import annotations

import random


class Backoff:
    """Pauses between attempts: each about twice as long as the one before, until an attempt succeeds.

    Up to half of each pause is taken off at random: gateways that failed together do not retry in step.
    """

    def __init__(self, initial_delay: float, max_delay: float, rng: random.Random) -> None:
        """initial_delay, max_delay: seconds; rng: the source of the jitter."""
        self._initial_delay, self._max_delay, self._rng = initial_delay, max_delay, rng
        self._next_delay = initial_delay

    def next_delay(self) -> float:
        """Seconds to wait before the next attempt; doubles the pause after that."""
        delay, self._next_delay = self._next_delay, min(self._max_delay, self._next_delay * 2)
        return delay * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again from the first pause: an attempt has succeeded."""
        self._next_delay = self._initial_delay
