"""Stand-ins for any number of rate servers: one listener, with a loopback address for each server."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Iterable
from ipaddress import IPv4Address
from typing import cast

from rushroad.bench.commands import RateServerStats
from rushroad.bench.stand_ins.replies import PendingReply, ReplyQueue
from rushroad.proxy import resp

FIRST_ADDRESS = int(IPv4Address("127.64.0.0"))  # of rate server 0; the last is 127.127.255.255
MAX_RATE_SERVERS = 1 << 22
BACKLOG = 4_096  # connections waiting to be accepted
MAX_ARGUMENTS = 16  # of a command, including its name
LATE_AFTER_S = 0.55  # after a removal: drain grace plus slack; no attempt may arrive later
ARGUMENT_COUNTS = {b"CALL.GET": 4, b"CALL.POST": 5}
FIXED_REPLIES = {b"PING": b"+PONG\r\n", b"INFO": b"-NOPERM\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}


def rate_server_address(index: int, port: int) -> str:
    """Return the address of a rate server by its index; raises ValueError if the index is out of range."""
    if not 0 <= index < MAX_RATE_SERVERS:
        raise ValueError(f"rate server index must be from 0 to {MAX_RATE_SERVERS - 1}, got {index}")
    return f"{IPv4Address(FIRST_ADDRESS + index)}:{port}"


class _Connection(asyncio.Protocol):
    """A gateway's connection to one of the rate servers, which is identified by the local address."""

    def __init__(self, rate_servers: RateServers) -> None:
        self._rate_servers = rate_servers
        self._reader = resp.Reader(MAX_ARGUMENTS)
        self._transport: asyncio.Transport
        self._replies: ReplyQueue
        self._index = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._replies = ReplyQueue(self._transport)
        self._index = int(IPv4Address(transport.get_extra_info("sockname")[0])) - FIRST_ADDRESS
        self._rate_servers.stats.connects += 1
        self._rate_servers.stats.open_connections += 1

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Update the number of open connections."""
        self._rate_servers.stats.open_connections -= 1

    def data_received(self, data: bytes) -> None:
        """Handle complete commands; close the connection on a protocol error."""
        self._reader.feed(data)
        try:
            while (arguments := self._reader.next()) is not None:
                self._handle(cast(list[bytes], arguments))
        except resp.ProtocolError:
            self._rate_servers.stats.syntax_errors += 1
            self._transport.abort()

    def _handle(self, arguments: list[bytes]) -> None:
        reply, rate_servers = self._replies.reserve(), self._rate_servers
        if arguments[0] not in ARGUMENT_COUNTS:
            self._replies.complete(reply, FIXED_REPLIES.get(arguments[0], b"-ERR unknown command\r\n"))
        elif len(arguments) != ARGUMENT_COUNTS[arguments[0]]:
            rate_servers.stats.syntax_errors += 1
            self._replies.complete(reply, b"-SYNTAX\r\n")
        else:
            rate_servers.count_attempt(self._index)
            started_ns = time.monotonic_ns()
            rate_servers.loop.call_later(
                rate_servers.service_time_s, self._complete_call, reply, arguments[2], started_ns
            )

    def _complete_call(self, reply: PendingReply, request_id: bytes, started_ns: int) -> None:
        """Respond with the request's ID and the service time in microseconds.

        The service time is measured, because the resolution of the loop's timers is coarse.
        """
        value = b"%b %d" % (request_id, (time.monotonic_ns() - started_ns) // 1_000)
        if not self._transport.is_closing():
            response = b"*3\r\n$%d\r\n%b\r\n$-1\r\n%b" % (len(value), value, self._rate_servers.load_report())
            self._replies.complete(reply, response)


class RateServers:
    """The rate servers' shared listener, and statistics of the attempts received.

    Every request takes `service_time_s`. An attempt is late if it arrives more than LATE_AFTER_S after its
    endpoint was removed from the list.
    """

    def __init__(self, service_time_s: float, load_reports: bool, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.service_time_s, self._load_reports = loop, service_time_s, load_reports
        self.stats = RateServerStats()
        self.attempts_by_index: Counter[int] = Counter()
        self._removed_at: dict[int, float] = {}  # in seconds of the loop's clock, by index
        self._listener: asyncio.Server
        self._port = 0

    async def listen(self) -> None:
        """Start listening on all addresses of the loopback device, and on no other device."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
        listener.bind(("0.0.0.0", 0))
        self._port = listener.getsockname()[1]
        self._listener = await self.loop.create_server(
            lambda: _Connection(self), sock=listener, backlog=BACKLOG
        )

    def address(self, index: int) -> str:
        """Return the address of a rate server."""
        return rate_server_address(index, self._port)

    def record_removal(self, indices: Iterable[int]) -> None:
        """Record that these rate servers have just been removed from the endpoint list."""
        now = self.loop.time()
        for index in indices:
            self._removed_at[index] = now

    def count_attempt(self, index: int) -> None:
        """Count an attempt at a rate server."""
        self.stats.attempts += 1
        self.attempts_by_index[index] += 1
        removed_at = self._removed_at.get(index)
        if removed_at is not None and self.loop.time() - removed_at > LATE_AFTER_S:
            self.stats.late_attempts += 1

    def load_report(self) -> bytes:
        """Return the load report of a response, or null where load reports are disabled."""
        text = b"inflight=%d" % min(self.stats.open_connections, 4)
        return b"$%d\r\n%b\r\n" % (len(text), text) if self._load_reports else b"$-1\r\n"
