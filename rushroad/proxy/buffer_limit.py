"""The limit on the memory that client connections use together: unprocessed input, commands and answers."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import Protocol

PROCESS_BYTES = 24_000_000  # of the gateway's memory limit, for all that is not a buffer
MEMORY_FRACTION = 1 / 3  # of the rest, for all client connections, of which each may use FREE_BYTES
MIN_LIMIT_BYTES = 256 * 1024
FREE_BYTES = 8 * 1024  # that each connection may use when the limit is exceeded; most requests are shorter
READ_AHEAD_FRACTION = 1 / 8  # of the limit, that a connection may hold of input that waits to be processed
READ_BYTES = 64 * 1024  # at once from a connection
REDUCED_READ_BYTES = 4 * 1024  # the same when the limit is exceeded
MAX_EXEMPT = 16  # connections that read to the end of a command although the limit is exceeded
MAX_EXAMINED = 16  # waiting connections; each costs a system call


def buffer_memory(memory_limit: int) -> int:
    """Return how many bytes of the gateway's memory limit are for buffers."""
    return max(0, memory_limit - PROCESS_BYTES)


class WaitingConnection(Protocol):
    """A connection whose reading is paused because the limit was exceeded."""

    def memory_available(self) -> None:
        """Continue to read."""

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that has not been read."""


class BufferLimit:
    """Counts the bytes that connections use, and resumes paused connections in the order of their pauses.

    The limit is not strict: it is exceeded by what is read before a connection is paused, and by FREE_BYTES
    for each connection. If it stays exceeded, a few connections at a time may read to the end of their
    commands, as all memory may be in use for incomplete commands.
    """

    def __init__(self, limit_bytes: int, loop: asyncio.AbstractEventLoop) -> None:
        self.limit_bytes, self.used_bytes = limit_bytes, 0
        self.max_read_ahead_bytes = int(limit_bytes * READ_AHEAD_FRACTION)
        self._loop = loop
        self._waiting: dict[WaitingConnection, None] = {}  # longest pause first
        self._exempt: set[WaitingConnection] = set()  # they may read although the limit is exceeded
        self._resume_scheduled = False
        # Shared by all connections, as each read is copied before the next one.
        self._read_buffer = memoryview(bytearray(READ_BYTES))
        self._reduced_read_buffer = self._read_buffer[:REDUCED_READ_BYTES]

    @classmethod
    def of_gateway(
        cls, memory_limit: int, max_connections: int, loop: asyncio.AbstractEventLoop
    ) -> BufferLimit:
        """Return the limit of a gateway with this memory limit, in bytes, and this many connections."""
        limit_bytes = int(buffer_memory(memory_limit) * MEMORY_FRACTION) - max_connections * FREE_BYTES
        return cls(max(MIN_LIMIT_BYTES, limit_bytes), loop)

    def is_exceeded(self) -> bool:
        """Return whether connections that use more than FREE_BYTES have to be restricted."""
        return self.used_bytes > self.limit_bytes

    def is_exempt(self, connection: WaitingConnection) -> bool:
        """Return whether a connection may read although the limit is exceeded."""
        return connection in self._exempt

    def read_buffer(self, connection: WaitingConnection) -> memoryview:
        """Return the buffer for the next read of a connection."""
        if self.used_bytes > self.limit_bytes and connection not in self._exempt:
            return self._reduced_read_buffer
        return self._read_buffer

    def change(self, added_bytes: int) -> None:
        """Count bytes that a connection uses from now on; negative for bytes that it has released."""
        self.used_bytes += added_bytes
        if self._waiting and added_bytes < 0 and not self.is_exceeded():
            self._schedule_resume()

    def must_wait(self, connection: WaitingConnection, use: BufferUse, ends_exemption: bool) -> bool:
        """Return whether a connection must not read at present; `memory_available` is called once it may.

        ends_exemption: it has read a whole command, or cannot process one.
        """
        if not self.is_exceeded() and not self.is_exempt(connection):
            return False
        if ends_exemption:
            self.end_exemption(connection)
        if self.is_exempt(connection) or not use.exceeds_share():
            return False
        self._waiting.setdefault(connection)
        self._schedule_resume()
        return True

    def is_waiting(self, connection: WaitingConnection) -> bool:
        """Return whether a connection may not read at present."""
        return connection in self._waiting

    def end_exemption(self, connection: WaitingConnection) -> None:
        """Let another connection read, if this one could: its command is complete, or it is blocked."""
        if self.is_exempt(connection):
            self._exempt.discard(connection)
            self._schedule_resume()

    def forget(self, connection: WaitingConnection) -> None:
        """Forget a connection that reads no more commands."""
        self._waiting.pop(connection, None)
        self.end_exemption(connection)

    def _schedule_resume(self) -> None:
        if self._waiting and not self._resume_scheduled:
            self._resume_scheduled = True
            self._loop.call_soon(self._resume)

    def _resume(self) -> None:
        """Resume connections: as many as can read READ_BYTES each, or as many as may be exempt."""
        self._resume_scheduled = False
        if not self.is_exceeded():
            count = 1 + (self.limit_bytes - self.used_bytes) // READ_BYTES
            for connection in list(islice(self._waiting, count)):
                self._resume_connection(connection)
        while self.is_exceeded() and self._waiting and len(self._exempt) < MAX_EXEMPT:
            examined = islice(self._waiting, MAX_EXAMINED)
            readable = next((other for other in examined if other.has_unread_input()), None)
            connection = readable or next(iter(self._waiting))
            self._exempt.add(connection)
            self._resume_connection(connection)

    def _resume_connection(self, connection: WaitingConnection) -> None:
        del self._waiting[connection]
        connection.memory_available()


class BufferUse:
    """The bytes that one connection has counted towards the limit."""

    __slots__ = ("_limit", "used_bytes")

    def __init__(self, limit: BufferLimit) -> None:
        self._limit, self.used_bytes = limit, 0

    def update(self, used_bytes: int) -> None:
        """Replace what has been counted."""
        if used_bytes != self.used_bytes:
            added_bytes, self.used_bytes = used_bytes - self.used_bytes, used_bytes
            self._limit.change(added_bytes)

    def exceeds_share(self) -> bool:
        """Return whether the connection has to be restricted: it uses more than FREE_BYTES over the limit."""
        return self.used_bytes > FREE_BYTES and self._limit.is_exceeded()
