"""Client connections to a gateway, each of which carries one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from rushroad.bench.commands import Outcome

MAX_CONNECTIONS = 400  # to one gateway, which accepts 738 client connections if limited to 1,024 descriptors


class ClientRequest:
    """A request. `due_at` is its scheduled send time, in seconds of the monotonic clock.

    `encoded` is the command as it is sent, and `id` the value of its request ID.
    """

    __slots__ = ("completed", "due_at", "encoded", "id", "retried", "timer")

    def __init__(self, due_at: float, request_id: bytes, encoded: bytes) -> None:
        self.due_at, self.id, self.encoded = due_at, request_id, encoded
        self.completed = self.retried = False
        self.timer: asyncio.TimerHandle | None = None


OnCompleted = Callable[[ClientRequest, Outcome, int], None]  # the last is the service time in microseconds


class _Connection(asyncio.Protocol):
    """A connection, idle or with one request in flight."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._buffer = b""
        self.request: ClientRequest | None = None
        self.has_answered = False  # the gateway may then close it as idle just as a request is sent
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, request: ClientRequest) -> None:
        """Send a request; the connection must be idle."""
        self.request = request
        self.transport.write(request.encoded)

    def data_received(self, data: bytes) -> None:
        """Buffer data until the answer is complete, then pass it on."""
        self._buffer += data
        header, separator, value = self._buffer.partition(b"\r\n")
        if not separator:
            return
        if header[:1] == b"$" and len(value) < int(header[1:]) + 2:
            return
        self._buffer = b""
        request, self.request, self.has_answered = self.request, None, True
        if request is not None:
            self._pool.handle_answer(request, header, value)
        self._pool.release(self)

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Report the closed connection, and the request in flight on it, to the pool."""
        request, self.request = self.request, None
        self._pool.connection_lost(self, request)


class ConnectionPool:
    """The open connections to one gateway, and the requests that are queued for a connection."""

    def __init__(self, address: str, on_completed: OnCompleted) -> None:
        self._host, _, port = address.partition(":")
        self._port, self._on_completed = int(port), on_completed
        self._idle: list[_Connection] = []
        self._open = 0
        self._queue: list[ClientRequest] = []
        self._connect_tasks: set[asyncio.Task[None]] = set()  # the loop keeps no strong references

    def send(self, request: ClientRequest) -> None:
        """Send on an idle connection or a new one; at MAX_CONNECTIONS, queue the request."""
        if self._idle:
            self._idle.pop().send(request)
        elif self._open < MAX_CONNECTIONS:
            self._open += 1
            task = asyncio.get_running_loop().create_task(self._connect(request))
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)
        else:
            self._queue.append(request)

    async def _connect(self, request: ClientRequest) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: _Connection(self), self._host, self._port)
        except OSError:
            self._open -= 1
            self._on_completed(request, Outcome.LOST, 0)
            return
        connection.send(request)

    def release(self, connection: _Connection) -> None:
        """Send the next queued request on a connection that has become idle, or return it to the pool."""
        if self._queue:
            connection.send(self._queue.pop(0))
        else:
            self._idle.append(connection)

    def connection_lost(self, connection: _Connection, request: ClientRequest | None) -> None:
        """Remove a closed connection.

        Its request is retried once if the gateway may have closed the connection as idle before it arrived.
        """
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if request is None or request.completed:
            return
        if connection.has_answered and not request.retried:
            request.retried = True
            self.send(request)
        else:
            self._on_completed(request, Outcome.LOST, 0)

    def handle_answer(self, request: ClientRequest, header: bytes, value: bytes) -> None:
        """Complete a request. A value holds the ID of its request, and the service time in microseconds."""
        if header[:1] == b"$":
            request_id, _, service_time_us = value.rstrip(b"\r\n").partition(b" ")
            outcome = Outcome.SERVED if request_id == request.id else Outcome.WRONG
            self._on_completed(request, outcome, int(service_time_us or 0))
        else:
            outcome = Outcome.REJECTED if header.startswith(b"-BUSY") else Outcome.FAILED
            self._on_completed(request, outcome, 0)
