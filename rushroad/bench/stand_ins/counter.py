"""Stand-in for the counter: totals by name, in shards of which each can be busy, slow or down."""

from __future__ import annotations

import asyncio
import zlib
from dataclasses import dataclass
from typing import NamedTuple, cast

from rushroad.bench.commands import CounterMode, CounterStats
from rushroad.bench.stand_ins.replies import ReplyQueue

MAX_NAME_BYTES = 64
MAX_AMOUNT = 1e9
MAX_LIFETIME_MS = 60_000
MAX_LINE_BYTES = 256  # longer lines are a protocol error
SWEEP_INTERVAL_S = 10.0  # between removals of expired names
BACKLOG = 4_096  # connections waiting to be accepted
ERROR = b"error\r\n"


class ShardReply(NamedTuple):
    """The text of the reply to a call, and the mode of the shard that owns the name."""

    mode: CounterMode
    text: bytes


@dataclass(slots=True)
class _Total:
    total: float
    expires_at: float  # in seconds of the loop's clock


def shard_of(name: bytes, shards: int) -> int:
    """Return the shard of a name; it is the same in every process."""
    return zlib.crc32(name) % shards


class _Connection(asyncio.Protocol):
    """A gateway's connection, on which calls are pipelined."""

    def __init__(self, counter: Counter) -> None:
        self._counter = counter
        self._partial_line = b""  # received so far of a line without its end
        self._transport: asyncio.Transport
        self._replies: ReplyQueue

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._replies = ReplyQueue(self._transport)
        self._counter.stats.connects += 1

    def data_received(self, data: bytes) -> None:
        """Handle each complete line as a call."""
        self._counter.stats.bytes_in += len(data)
        *lines, self._partial_line = (self._partial_line + data).split(b"\r\n")
        for line in lines:
            self._handle_call(line)
        if len(self._partial_line) > MAX_LINE_BYTES:
            self._transport.abort()

    def _handle_call(self, line: bytes) -> None:
        pending, reply = self._replies.reserve(), self._counter.reply(line)
        if reply.mode is CounterMode.SLOW:
            delay_s = self._counter.slow_delay_s
            self._counter.loop.call_later(delay_s, self._replies.complete, pending, reply.text)
        elif reply.mode is not CounterMode.DOWN:
            self._replies.complete(pending, reply.text)


class Counter:
    """The totals, and statistics of the calls received."""

    def __init__(self, shards: int, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.stats = CounterStats()
        self.slow_delay_s = 0.0  # of the replies of SLOW shards
        self._modes = [CounterMode.NORMAL] * shards
        self._totals: dict[bytes, _Total] = {}
        self._listener: asyncio.Server

    async def listen(self) -> str:
        """Start listening, and return the address."""
        self._listener = await self.loop.create_server(
            lambda: _Connection(self), "127.0.0.1", 0, backlog=BACKLOG
        )
        self._sweep()
        host, port = self._listener.sockets[0].getsockname()
        return f"{host}:{port}"

    def set_mode(self, mode: CounterMode, shards: int, delay_s: float) -> None:
        """Set the mode of the first `shards` shards, and reset the others to NORMAL.

        `delay_s` is the delay of the replies of SLOW shards.
        """
        self.slow_delay_s = delay_s
        normal = CounterMode.NORMAL
        self._modes = [mode if shard < shards else normal for shard in range(len(self._modes))]

    def reply(self, line: bytes) -> ShardReply:
        """Execute the call on a line and return its reply, which is an error if the call is malformed."""
        mode, text = self._handle(line)
        self.stats.bytes_out += len(text)
        return ShardReply(mode, text)

    def _handle(self, line: bytes) -> ShardReply:
        if line == b"ping":
            self.stats.pings += 1
            return ShardReply(CounterMode.NORMAL, b"pong\r\n")
        self.stats.calls += 1
        try:
            command, name, amount_text, lifetime_text = line.split(b" ")
            amount, lifetime_ms = float(amount_text), int(lifetime_text)
        except ValueError:
            return ShardReply(CounterMode.NORMAL, ERROR)
        well_formed = command == b"bump" and 1 <= len(name) <= MAX_NAME_BYTES
        if not well_formed or lifetime_ms < 1 or not abs(amount) <= MAX_AMOUNT:
            return ShardReply(CounterMode.NORMAL, ERROR)
        mode = self._modes[shard_of(name, len(self._modes))]
        if mode is CounterMode.BUSY:
            return ShardReply(mode, b"busy\r\n")
        return ShardReply(mode, b"ok %.7g\r\n" % self._add(name, amount, lifetime_ms))

    def _add(self, name: bytes, amount: float, lifetime_ms: int) -> float:
        now = self.loop.time()
        entry = self._totals.get(name)
        if entry is None or entry.expires_at <= now:
            entry = self._totals[name] = _Total(0.0, now + min(lifetime_ms, MAX_LIFETIME_MS) / 1e3)
        entry.total += amount
        return entry.total

    def _sweep(self) -> None:
        now = self.loop.time()
        for name in [name for name, entry in self._totals.items() if entry.expires_at <= now]:
            del self._totals[name]
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
