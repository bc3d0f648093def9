"""Arrival times of the bytes of a connection, including bytes that waited while reading was paused."""

from __future__ import annotations

import math
from collections import deque

CATCH_UP_TIME_S = 0.2  # time after reading a backlog in which more of it may arrive from the peer's buffers
LARGE_READ_BYTES = 64 * 1024
MERGE_INTERVAL_S = 0.005  # reads closer together share an entry, which limits the memory for small reads


class ArrivalTimes:
    """Maps offsets in a connection's input to the earliest time at which the byte may have arrived.

    Bytes read shortly after a pause are assumed to have arrived when the pause began, as their actual arrival
    time is unknown. Times are in seconds on the event loop's clock.
    """

    __slots__ = ("_backlog_since", "_backlog_until", "_entries", "_received_bytes")

    def __init__(self) -> None:
        self._entries: deque[tuple[int, float]] = deque()  # end offset of a read, arrival time
        self._received_bytes = 0  # in total
        # Bytes read until `_backlog_until` may have arrived at `_backlog_since`; None if there is no backlog.
        self._backlog_since: float | None = None
        self._backlog_until = 0.0

    def reading_paused(self, now: float) -> None:
        """Record that reading is paused."""
        if self._backlog_since is None or now > self._backlog_until:
            self._backlog_since = now
        self._backlog_until = math.inf

    def reading_resumed(self, readable: bool) -> None:
        """Record that reading is resumed; `readable` tells whether unread bytes may be waiting."""
        if not readable:
            self._backlog_since = None

    def record(self, size: int, earliest_arrival: float, large_read_bytes: int = LARGE_READ_BYTES) -> None:
        """Record a read of `size` bytes; one of `large_read_bytes` may have left data in the kernel's buffer.

        Unless reading was paused, `earliest_arrival` is the earliest time at which they may have arrived.
        """
        arrived_at = earliest_arrival
        if self._backlog_since is not None:
            if earliest_arrival > self._backlog_until:
                self._backlog_since = None
            else:
                arrived_at = self._backlog_since
                if size >= large_read_bytes or self._backlog_until == math.inf:
                    self._backlog_until = earliest_arrival + CATCH_UP_TIME_S
        self._received_bytes += size
        if self._entries and arrived_at - self._entries[-1][1] < MERGE_INTERVAL_S:
            arrived_at = min(arrived_at, self._entries.pop()[1])
        self._entries.append((self._received_bytes, arrived_at))

    def arrival_of(self, end_offset: int) -> float:
        """Return the arrival time of the byte before this offset; offsets must not decrease between calls."""
        entries = self._entries
        while len(entries) > 1 and entries[0][0] < end_offset:
            entries.popleft()
        return entries[0][1]
