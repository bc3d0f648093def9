"""Exponential backoff with jitter, for retries against a service shared by all gateways of a fleet."""

from __future__ import annotations

import random


class Backoff:
    """Delays between attempts, which double up to a maximum until an attempt succeeds.

    Jitter takes off up to half of each delay, so that gateways that failed at the same time don't retry at
    the same time.
    """

    def __init__(self, initial_delay: float, max_delay: float, rng: random.Random) -> None:
        """Set the delays, in seconds, and the random generator for the jitter."""
        self._initial_delay, self._max_delay, self._rng = initial_delay, max_delay, rng
        self._next_delay = initial_delay

    def next_delay(self) -> float:
        """Return the seconds to wait before the next attempt, and double the delay after it."""
        delay, self._next_delay = self._next_delay, min(self._max_delay, self._next_delay * 2)
        return delay * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Return to the initial delay after a successful attempt."""
        self._next_delay = self._initial_delay
