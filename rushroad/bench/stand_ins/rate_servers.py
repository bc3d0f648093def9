"""Any number of rate servers behind one listener: each has an address of its own on loopback."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Iterable
from ipaddress import IPv4Address
from typing import cast

from rushroad.bench.commands import RateServerFigures
from rushroad.bench.stand_ins.replies import PendingReply, ReplyQueue
from rushroad.proxy import resp

FIRST_ADDRESS = int(IPv4Address("127.64.0.0"))  # of rate server 0; the others follow, up to 127.127.255.255
MAX_RATE_SERVERS = 1 << 22
BACKLOG = 4_096  # connects that wait to be accepted
MAX_WORDS = 16  # in a command
LATE_AFTER_S = 0.55  # from an endpoint's removal, after which no attempt may come: the drain grace and slack
WORDS_OF_COMMAND = {b"CALL.GET": 4, b"CALL.POST": 5}
OTHER_REPLIES = {b"PING": b"+PONG\r\n", b"INFO": b"-NOPERM\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}


def rate_server_address(number: int, port: int) -> str:
    """The address of a rate server, by its number from 0; raises ValueError where there can be none."""
    if not 0 <= number < MAX_RATE_SERVERS:
        raise ValueError(f"rate servers have numbers from 0 to {MAX_RATE_SERVERS - 1}, not {number}")
    return f"{IPv4Address(FIRST_ADDRESS + number)}:{port}"


class _Connection(asyncio.Protocol):
    """A gateway's connection to one of the rate servers, which the address that it came to names."""

    def __init__(self, rate_servers: RateServers) -> None:
        self._rate_servers = rate_servers
        self._reader = resp.Reader(MAX_WORDS)
        self._transport: asyncio.Transport
        self._replies: ReplyQueue
        self._number = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._replies = ReplyQueue(self._transport)
        self._number = int(IPv4Address(transport.get_extra_info("sockname")[0])) - FIRST_ADDRESS
        self._rate_servers.figures.connects += 1
        self._rate_servers.figures.open_connections += 1

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Count the connection no more."""
        self._rate_servers.figures.open_connections -= 1

    def data_received(self, data: bytes) -> None:
        """Handle commands; data that is none ends the connection."""
        self._reader.feed(data)
        try:
            while (words := self._reader.next()) is not None:
                self._handle(cast(list[bytes], words))
        except resp.ProtocolError:
            self._rate_servers.figures.syntax_errors += 1
            self._transport.abort()

    def _handle(self, words: list[bytes]) -> None:
        reply, rate_servers = self._replies.reserve(), self._rate_servers
        if words[0] not in WORDS_OF_COMMAND:
            self._replies.complete(reply, OTHER_REPLIES.get(words[0], b"-ERR unknown command\r\n"))
        elif len(words) != WORDS_OF_COMMAND[words[0]]:
            rate_servers.figures.syntax_errors += 1
            self._replies.complete(reply, b"-SYNTAX\r\n")
        else:
            rate_servers.count_attempt(self._number)
            began_ns = time.monotonic_ns()
            rate_servers.loop.call_later(rate_servers.work_s, self._serve, reply, words[2], began_ns)

    def _serve(self, reply: PendingReply, request_id: bytes, began_ns: int) -> None:
        """Answer with the request's id and the work in microseconds as measured: the timer is coarse."""
        value = b"%b %d" % (request_id, (time.monotonic_ns() - began_ns) // 1_000)
        if not self._transport.is_closing():
            answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n%b" % (len(value), value, self._rate_servers.load_report())
            self._replies.complete(reply, answer)


class RateServers:
    """The rate servers' shared listener, and `figures` of what has come.

    `work_s` is seconds a request. An attempt is late where it came more than LATE_AFTER_S after its endpoint
    was removed from the list.
    """

    def __init__(self, work_s: float, load_reports: bool, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.work_s, self._load_reports = loop, work_s, load_reports
        self.figures = RateServerFigures()
        self.attempts_by_number: Counter[int] = Counter()
        self._removed_at: dict[int, float] = {}  # seconds of the loop's clock, by number
        self._listener: asyncio.Server
        self._port = 0

    async def listen(self) -> None:
        """Listen on all addresses of the loopback device, and on no other device."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
        listener.bind(("0.0.0.0", 0))
        self._port = listener.getsockname()[1]
        self._listener = await self.loop.create_server(
            lambda: _Connection(self), sock=listener, backlog=BACKLOG
        )

    def address(self, number: int) -> str:
        """The address of a rate server."""
        return rate_server_address(number, self._port)

    def note_removed(self, numbers: Iterable[int]) -> None:
        """Note that these have just been removed from the endpoint list."""
        now = self.loop.time()
        for number in numbers:
            self._removed_at[number] = now

    def count_attempt(self, number: int) -> None:
        """Count a whole command that has come to a rate server."""
        self.figures.attempts += 1
        self.attempts_by_number[number] += 1
        removed_at = self._removed_at.get(number)
        if removed_at is not None and self.loop.time() - removed_at > LATE_AFTER_S:
            self.figures.late_attempts += 1

    def load_report(self) -> bytes:
        """The load report of an answer, or null."""
        text = b"inflight=%d" % min(self.figures.open_connections, 4)
        return b"$%d\r\n%b\r\n" % (len(text), text) if self._load_reports else b"$-1\r\n"
