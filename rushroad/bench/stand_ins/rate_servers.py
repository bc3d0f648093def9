"""Any number of rate servers behind one listener: each has an address of its own on loopback."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from ipaddress import IPv4Address
from typing import cast

from rushroad.bench.stand_ins.replies import Replies, Reply
from rushroad.proxy import resp

FIRST_ADDRESS = int(IPv4Address("127.64.0.0"))  # of rate server 0; the others follow, up to 127.127.255.255
MOST_SERVERS = 1 << 22
BACKLOG = 4_096  # connects that wait to be accepted
MOST_WORDS = 16  # in a command
LATE = 0.55  # seconds after a server is told as gone from which no attempt may come: the rule's and slack
ARITY = {b"CALL.GET": 4, b"CALL.POST": 5}
SIMPLE = {b"PING": b"+PONG\r\n", b"INFO": b"-NOPERM\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}


def server_address(server: int, port: int) -> str:
    """Where rate server number `server` is, from 0, with a listener at `port`."""
    if not 0 <= server < MOST_SERVERS:
        raise ValueError(f"no rate server {server}")
    return f"{IPv4Address(FIRST_ADDRESS + server)}:{port}"


class _Connection(asyncio.Protocol):
    """A gateway's connection to one of the servers, known by the address that it came to."""

    def __init__(self, servers: RateServers) -> None:
        self._servers = servers
        self._reader = resp.Reader(MOST_WORDS)
        self._transport: asyncio.Transport
        self._replies: Replies
        self._server = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A gateway has come."""
        self._transport = cast(asyncio.Transport, transport)
        self._replies = Replies(self._transport)
        self._server = int(IPv4Address(transport.get_extra_info("sockname")[0])) - FIRST_ADDRESS
        self._servers.figures["connects"] += 1
        self._servers.open += 1

    def connection_lost(self, error: Exception | None) -> None:
        """The gateway has left."""
        self._servers.open -= 1

    def data_received(self, data: bytes) -> None:
        """Commands; what is none ends the connection."""
        self._reader.feed(data)
        try:
            while (words := self._reader.next()) is not None:
                self._begin(cast(list[bytes], words))
        except resp.ProtocolError:
            self._servers.figures["syntax"] += 1
            self._transport.abort()

    def _begin(self, words: list[bytes]) -> None:
        place = self._replies.place()
        if words[0] not in ARITY:
            self._replies.fill(place, SIMPLE.get(words[0], b"-ERR unknown command\r\n"))
        elif len(words) != ARITY[words[0]]:
            self._servers.figures["syntax"] += 1
            self._replies.fill(place, b"-SYNTAX\r\n")
        else:
            self._servers.count_attempt(self._server)
            self._servers.loop.call_later(
                self._servers.work, self._serve, place, words[2], time.monotonic_ns()
            )

    def _serve(self, place: Reply, request: bytes, begun: int) -> None:
        """The value tells whose it is and how many microseconds the server took: its timer is coarse."""
        value = b"%b %d" % (request, (time.monotonic_ns() - begun) // 1_000)
        if not self._transport.is_closing():
            answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n%b" % (len(value), value, self._servers.report())
            self._replies.fill(place, answer)


class RateServers:
    """The servers' shared listener, and what has come to them.

    `work` is seconds a request; `figures` counts attempts, connects, syntax errors and `late` attempts, those
    that came more than LATE after their server was told as gone.
    """

    def __init__(self, work: float, reports: bool, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.work, self._reports = loop, work, reports
        self.figures: Counter[str] = Counter()
        self.open = 0  # connections
        self.attempts_at: Counter[int] = Counter()  # by server
        self._gone: dict[int, float] = {}  # server: when it was told as gone
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

    def address(self, server: int) -> str:
        """Where rate server number `server` is."""
        return server_address(server, self._port)

    def told_gone(self, servers: list[int]) -> None:
        """From LATE after now these may get no attempt."""
        now = self.loop.time()
        for server in servers:
            self._gone[server] = now

    def count_attempt(self, server: int) -> None:
        """A whole command has come."""
        self.figures["attempts"] += 1
        self.attempts_at[server] += 1
        gone = self._gone.get(server)
        if gone is not None and self.loop.time() - gone > LATE:
            self.figures["late"] += 1

    def report(self) -> bytes:
        """The load report of an answer, or null."""
        text = b"inflight=%d" % min(self.open, 4)
        return b"$%d\r\n%b\r\n" % (len(text), text) if self._reports else b"$-1\r\n"
