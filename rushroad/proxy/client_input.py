"""The input of a client connection: its bytes until they are read as commands, and when they arrived."""

from __future__ import annotations

from collections import deque
from typing import cast

from rushroad.proxy import resp
from rushroad.proxy.arrival_times import ArrivalTimes

MAX_ARGUMENTS = 16  # per command; more than any command of clients and their libraries has
SHORT_CHUNK_BYTES = 4 * 1024  # reads are joined to shorter ones before them, which limits their number


class ClientInput:
    """Reads commands from chunks of input, in linear time however much input waits."""

    __slots__ = ("_chunk_bytes", "_chunks", "_reader", "arrivals")

    def __init__(self) -> None:
        self._reader = resp.Reader(MAX_ARGUMENTS)
        self._chunks: deque[bytes] = deque()  # received, but not passed to the reader yet
        self._chunk_bytes = 0  # length of all chunks
        self.arrivals = ArrivalTimes()

    def append(self, data: bytes) -> None:
        """Add received data, whose arrival has been recorded."""
        chunks = self._chunks
        if chunks and len(chunks[-1]) < SHORT_CHUNK_BYTES:
            chunks[-1] += data
        else:
            chunks.append(data)
        self._chunk_bytes += len(data)

    def next_command(self) -> list[bytes] | None:
        """Return the arguments of the next command, or None if it is incomplete.

        Raises resp.ProtocolError for input that is not a valid command.
        """
        while (message := self._reader.next()) is None and self._chunks:
            chunk = self._chunks.popleft()
            self._chunk_bytes -= len(chunk)
            self._reader.feed(chunk)
        return cast(list[bytes] | None, message)

    def last_arrival(self) -> float:
        """Return the earliest time at which the end of the last command may have arrived."""
        return self.arrivals.arrival_of(self._reader.consumed_bytes)

    def at_message_boundary(self) -> bool:
        """Return whether the last command is complete and no data follows it."""
        return not self._chunks and self._reader.at_message_boundary()

    @property
    def consumed_bytes(self) -> int:
        """Total number of bytes read as commands."""
        return self._reader.consumed_bytes

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that have been received but not read as commands."""
        return self._reader.unread_bytes + self._chunk_bytes

    @property
    def held_bytes(self) -> int:
        """Number of bytes in memory."""
        return self._reader.held_bytes + self._chunk_bytes

    def release_read_data(self) -> None:
        """Release memory of what has been read, once it is the larger part of the reader's data."""
        if self._reader.consumed_in_memory > self._reader.unread_bytes:
            self._reader.release_read_data()

    def discard(self) -> None:
        """Discard all input."""
        self._reader = resp.Reader(MAX_ARGUMENTS)
        self._chunks.clear()
        self._chunk_bytes = 0
