"""When the bytes of a connection arrived, also of those that waited while the connection was not read."""

from __future__ import annotations

import math
from collections import deque

CATCH_UP_TIME_S = 0.2  # seconds after a backlog was read in which more of it, held by the peer, may arrive
LARGE_READ_BYTES = 64 * 1024  # after a read of this size the system may hold more
MERGE_INTERVAL_S = 0.005  # seconds; closer reads share an entry, so that single bytes can't fill memory


class ArrivalTimes:
    """Maps offsets in a connection's input to the time at which the byte there may have arrived.

    Bytes that are read shortly after a pause count as having arrived when the pause began: nothing tells when
    they did. Times are seconds of the event loop's clock.
    """

    __slots__ = ("_backlog_since", "_backlog_until", "_entries", "_received")

    def __init__(self) -> None:
        self._entries: deque[tuple[int, float]] = deque()  # offset behind the bytes of a read, their arrival
        self._received = 0  # bytes in total
        # Bytes read until `_backlog_until` may have waited since `_backlog_since`; None without a backlog.
        self._backlog_since: float | None = None
        self._backlog_until = 0.0

    def reading_paused(self, now: float) -> None:
        """Note that the connection is not read from now on."""
        if self._backlog_since is None or now > self._backlog_until:
            self._backlog_since = now
        self._backlog_until = math.inf

    def reading_resumed(self, readable: bool) -> None:
        """Note that the connection is read again; `readable` says whether bytes may be waiting."""
        if not readable:
            self._backlog_since = None

    def record(self, size: int, received_since: float) -> None:
        """Note a read of `size` bytes, which waited since `received_since` at most unless reading paused."""
        arrived_at = received_since
        if self._backlog_since is not None:
            if received_since > self._backlog_until:
                self._backlog_since = None
            else:
                arrived_at = self._backlog_since
                if size >= LARGE_READ_BYTES or self._backlog_until == math.inf:
                    self._backlog_until = received_since + CATCH_UP_TIME_S
        self._received += size
        if self._entries and arrived_at - self._entries[-1][1] < MERGE_INTERVAL_S:
            arrived_at = min(arrived_at, self._entries.pop()[1])
        self._entries.append((self._received, arrived_at))

    def arrival_of(self, end_offset: int) -> float:
        """Return when the byte before this offset arrived; offsets must not decrease from call to call."""
        entries = self._entries
        while len(entries) > 1 and entries[0][0] < end_offset:
            entries.popleft()
        return entries[0][1]
