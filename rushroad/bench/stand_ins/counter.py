"""The counter: numbers by name in shards, each of which can be busy, slow or down."""

from __future__ import annotations

import asyncio
import math
import zlib
from collections import Counter as Counts
from enum import Enum
from typing import cast

from rushroad.bench.stand_ins.replies import Replies

MOST_NAME = 64  # bytes
MOST_AMOUNT = 1e9
MOST_LIFE = 60_000  # milliseconds
MOST_LINE = 256  # bytes; a longer line is no call
SWEEP = 10.0  # seconds between looks for names whose life is over
BACKLOG = 4_096  # connects that wait to be accepted


class Mode(Enum):
    """How a shard takes its calls."""

    NORMAL = "normal"
    BUSY = "busy"  # turns all away
    SLOW = "slow"  # answers after a time
    DOWN = "down"  # answers nothing, so that nothing behind it on a connection is answered either


def shard_of(name: bytes, shards: int) -> int:
    """A name's shard, the same in every process."""
    return zlib.crc32(name) % shards


class _Connection(asyncio.Protocol):
    """Calls, one behind another."""

    def __init__(self, counter: Counter) -> None:
        self._counter = counter
        self._rest = b""
        self._transport: asyncio.Transport
        self._replies: Replies

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A gateway has come."""
        self._transport = cast(asyncio.Transport, transport)
        self._replies = Replies(self._transport)
        self._counter.figures["connects"] += 1

    def data_received(self, data: bytes) -> None:
        """Whole lines are calls."""
        self._counter.figures["bytes_in"] += len(data)
        *lines, self._rest = (self._rest + data).split(b"\r\n")
        for line in lines:
            self._call(line)
        if len(self._rest) > MOST_LINE:
            self._transport.abort()

    def _call(self, line: bytes) -> None:
        place, mode, text = self._replies.place(), *self._counter.answer(line)
        if mode is Mode.SLOW:
            self._counter.loop.call_later(self._counter.delay, self._replies.fill, place, text)
        elif mode is not Mode.DOWN:
            self._replies.fill(place, text)


class Counter:
    """The numbers, and what was asked of them: `figures` counts calls, pings, connects and bytes."""

    def __init__(self, shards: int, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.figures: Counts[str] = Counts()
        self.delay = 0.0  # seconds that a slow shard takes
        self._modes = [Mode.NORMAL] * shards
        self._totals: dict[bytes, tuple[float, float]] = {}  # name: total, and when its life is over
        self._listener: asyncio.Server

    async def listen(self) -> str:
        """Listen; returns the address."""
        self._listener = await self.loop.create_server(
            lambda: _Connection(self), "127.0.0.1", 0, backlog=BACKLOG
        )
        self._sweep()
        host, port = self._listener.sockets[0].getsockname()
        return f"{host}:{port}"

    def set_mode(self, mode: Mode, shards: int, delay: float) -> None:
        """The first `shards` shards go on in this mode, the others as normal. `delay`: seconds."""
        self.delay = delay
        self._modes = [mode if number < shards else Mode.NORMAL for number in range(len(self._modes))]

    def answer(self, line: bytes) -> tuple[Mode, bytes]:
        """What a line gets, and how."""
        if line == b"ping":
            self.figures["pings"] += 1
            return Mode.NORMAL, self._out(b"pong\r\n")
        self.figures["calls"] += 1
        try:
            verb, name, amount_text, life_text = line.split(b" ")
            amount, life = float(amount_text), int(life_text)
        except ValueError:
            return Mode.NORMAL, self._out(b"error\r\n")
        if verb != b"bump" or not 1 <= len(name) <= MOST_NAME or life < 1 or not abs(amount) <= MOST_AMOUNT:
            return Mode.NORMAL, self._out(b"error\r\n")
        mode = self._modes[shard_of(name, len(self._modes))]
        if mode is Mode.BUSY:
            return mode, self._out(b"busy\r\n")
        return mode, self._out(b"ok %.7g\r\n" % self._add(name, amount, life))

    def _out(self, text: bytes) -> bytes:
        self.figures["bytes_out"] += len(text)
        return text

    def _add(self, name: bytes, amount: float, life: int) -> float:
        now = self.loop.time()
        total, until = self._totals.get(name, (0.0, -math.inf))
        if until <= now:
            total, until = 0.0, now + min(life, MOST_LIFE) / 1e3
        self._totals[name] = (total + amount, until)
        return total + amount

    def _sweep(self) -> None:
        now = self.loop.time()
        for name in [name for name, (_, until) in self._totals.items() if until <= now]:
            del self._totals[name]
        self.loop.call_later(SWEEP, self._sweep)
