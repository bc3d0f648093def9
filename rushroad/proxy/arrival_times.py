"""When the bytes of a connection came, also of those that waited unread while the connection was paused."""

from __future__ import annotations

import math
from collections import deque

DRAIN = 0.2  # seconds after what waited has been read in which the rest may come, which the other end held
LARGE = 64 * 1024  # bytes; after a read of so many the system may hold more
MERGE = 0.005  # seconds; reads that follow each other faster share a mark: single bytes can't fill memory


class Arrivals:
    """Marks of what has been read: up to which byte, and since when it may have been there.

    What is read shortly after a pause counts as having come when the pause began, since nothing tells when it
    did. Times are seconds of the event loop's clock.
    """

    __slots__ = ("_marks", "_read", "_since", "_until")

    def __init__(self) -> None:
        self._marks: deque[tuple[int, float]] = deque()
        self._read = 0  # bytes so far
        self._since: float | None = None  # what is read until `_until` may have waited since then
        self._until = 0.0

    def paused(self, now: float) -> None:
        """Nothing is read from now on."""
        if self._since is None or now > self._until:
            self._since = now
        self._until = math.inf

    def resumed(self, waiting: bool) -> None:
        """It is read again; is there anything to be read?"""
        if not waiting:
            self._since = None

    def came(self, size: int, now: float) -> None:
        """So many bytes have been read, which the system may have held since `now`, but not for longer."""
        at = now
        if self._since is not None:
            if now > self._until:
                self._since = None
            else:
                at = self._since
                if size >= LARGE or self._until == math.inf:
                    self._until = now + DRAIN
        self._read += size
        if self._marks and at - self._marks[-1][1] < MERGE:
            at = min(at, self._marks.pop()[1])
        self._marks.append((self._read, at))

    def of(self, end: int) -> float:
        """When the byte before offset `end` came, counted from the connection's first. Offsets only grow."""
        marks = self._marks
        while len(marks) > 1 and marks[0][0] < end:
            marks.popleft()
        return marks[0][1]
