"""A rate server on loopback that records the attempts that it receives."""

from __future__ import annotations

import asyncio
import math
import re
from dataclasses import dataclass
from typing import Any, cast

from rushroad.bench.stand_ins.replies import PendingReply, ReplyQueue
from rushroad.proxy import resp

TIME_REMAINING = re.compile(rb"(?:^|,)d=(\d+)(?:,|$)")


@dataclass(slots=True)
class Attempt:
    """A complete command received by a rate server. Times are in seconds of the test's event loop."""

    server: str
    request_id: bytes
    time_remaining_ms: int  # as passed on by the gateway
    received_at: float
    finished_at: float = math.inf  # when its response was written or its connection closed


class _Connection(asyncio.Protocol):
    def __init__(self, server: RateServer) -> None:
        self._server, self._reader = server, resp.Reader(16)
        self.transport: asyncio.Transport
        self.replies: ReplyQueue
        self.in_flight: list[Attempt] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.replies = ReplyQueue(self.transport)
        self._server.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        self._server.connections.discard(self)
        for attempt in self.in_flight:
            attempt.finished_at = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while (words := self._reader.next()) is not None:
            self._server.receive(cast(list[bytes], words), self)


class RateServer:
    """Responds to each request with its ID after `service_time_s`; not at all while it is silent."""

    def __init__(self, name: str, service_time_s: float) -> None:
        self.name, self.service_time_s, self.silent = name, service_time_s, False
        self.started_at_ms, self.lifecycle = 0, "SERVING"
        self.draining_since = math.inf  # when discovery published the draining state
        self.value = b""  # of each response; the request's ID if empty
        self.usage_figures = b"$-1\r\n"  # of each response, encoded
        self.attempts: list[Attempt] = []
        self.connections: set[_Connection] = set()
        self.address = ""
        self._listener: asyncio.Server

    async def listen(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: _Connection(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    def receive(self, words: list[bytes], connection: _Connection) -> None:
        """Record an attempt and respond to it after the service time."""
        loop, reply = asyncio.get_running_loop(), connection.replies.reserve()
        time_remaining = TIME_REMAINING.search(words[3])
        assert time_remaining is not None, words
        attempt = Attempt(self.name, words[2], int(time_remaining[1]), loop.time())
        self.attempts.append(attempt)
        connection.in_flight.append(attempt)
        if not self.silent:
            loop.call_later(self.service_time_s, self._respond, connection, reply, attempt)

    def _respond(self, connection: _Connection, reply: PendingReply, attempt: Attempt) -> None:
        if not connection.transport.is_closing():
            connection.in_flight.remove(attempt)
            attempt.finished_at = asyncio.get_running_loop().time()
            value = self.value or attempt.request_id
            response = b"*3\r\n$%d\r\n%b\r\n%b$-1\r\n" % (len(value), value, self.usage_figures)
            connection.replies.complete(reply, response)

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in the endpoint list, in discovery's format."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "room-a",
            "machineType": "full",
            "cell": 1,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._listener.close()
        for connection in list(self.connections):
            connection.transport.abort()
