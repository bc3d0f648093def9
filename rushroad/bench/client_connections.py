"""The clients' connections to one gateway, each with one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from rushroad.bench.commands import Outcome

MAX_CONNECTIONS = 400  # to one gateway; it accepts 744 of clients where it may hold 1,024 descriptors


class ClientRequest:
    """One request. `due_at` is when it was to be sent, in seconds of the monotonic clock."""

    __slots__ = ("command", "due_at", "ended", "id", "resent", "timer")

    def __init__(self, due_at: float, request_id: bytes, command: bytes) -> None:
        self.due_at, self.id, self.command = due_at, request_id, command
        self.ended = self.resent = False
        self.timer: asyncio.TimerHandle | None = None


EndRequest = Callable[[ClientRequest, Outcome, int], None]  # with the rate server's work in microseconds


class _Connection(asyncio.Protocol):
    """Carries one request at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._data = b""
        self.request: ClientRequest | None = None
        self.used = False  # it has had an answer: a close may then cross the next request
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, request: ClientRequest) -> None:
        """Send a request."""
        self.request = request
        self.transport.write(request.command)

    def data_received(self, data: bytes) -> None:
        """Take an answer, or a part of one."""
        self._data += data
        head, separator, value = self._data.partition(b"\r\n")
        if not separator:
            return
        if head[:1] == b"$" and len(value) < int(head[1:]) + 2:
            return
        self._data = b""
        request, self.request, self.used = self.request, None, True
        if request is not None:
            self._pool.answered(request, head, value)
        self._pool.release(self)

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Handle the end of the connection."""
        request, self.request = self.request, None
        self._pool.connection_lost(self, request)


class ConnectionPool:
    """The clients' connections to one gateway."""

    def __init__(self, address: str, end_request: EndRequest) -> None:
        self._host, _, port = address.partition(":")
        self._port, self._end_request = int(port), end_request
        self._idle: list[_Connection] = []
        self._open = 0
        self._waiting: list[ClientRequest] = []
        self._connecting: set[asyncio.Task[None]] = set()  # the loop itself keeps no strong reference

    def send(self, request: ClientRequest) -> None:
        """Send on an idle connection, or on a new one; at the limit the request waits for a connection."""
        if self._idle:
            self._idle.pop().send(request)
        elif self._open < MAX_CONNECTIONS:
            self._open += 1
            task = asyncio.get_running_loop().create_task(self._connect(request))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        else:
            self._waiting.append(request)

    async def _connect(self, request: ClientRequest) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: _Connection(self), self._host, self._port)
        except OSError:
            self._open -= 1
            self._end_request(request, Outcome.LOST, 0)
            return
        connection.send(request)

    def release(self, connection: _Connection) -> None:
        """Use a connection that has become idle for the next request, or keep it."""
        if self._waiting:
            connection.send(self._waiting.pop(0))
        else:
            self._idle.append(connection)

    def connection_lost(self, connection: _Connection, request: ClientRequest | None) -> None:
        """Forget a connection. A request that its close may have crossed is sent once more."""
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if request is None or request.ended:
            return
        if connection.used and not request.resent:
            request.resent = True
            self.send(request)
        else:
            self._end_request(request, Outcome.LOST, 0)

    def answered(self, request: ClientRequest, head: bytes, value: bytes) -> None:
        """Take a whole answer. A value holds its request's id, and the rate server's work in microseconds."""
        if head[:1] == b"$":
            request_id, _, work = value.rstrip(b"\r\n").partition(b" ")
            outcome = Outcome.SERVED if request_id == request.id else Outcome.WRONG
            self._end_request(request, outcome, int(work or 0))
        else:
            outcome = Outcome.REJECTED if head.startswith(b"-BUSY") else Outcome.FAILED
            self._end_request(request, outcome, 0)
