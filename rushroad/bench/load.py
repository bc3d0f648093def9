"""Open-loop clients in a process of their own: `python -m rushroad.bench.load`, told by orders on its input.

Requests come as a Poisson process whatever the answers do, and a request's latency counts from when it was to
be sent: a gateway that stalls can't hide it by holding up the next requests. Times are of the system's
monotonic clock, and a thread keeps the times of sending: the loop's clock and timers know milliseconds only.
"""

from __future__ import annotations

import asyncio
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

import uvloop
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from rushroad.bench.worker import serve_orders
from rushroad.proxy.resp import pack

MOST_US = 60_000_000  # of a histogram
DIGITS = 3  # that a histogram keeps
MOST_CONNECTIONS = 400  # to one gateway; it holds 744 of clients where it may hold 1,024 descriptors
GRACE = 1.0  # seconds after a request's patience; without an answer then it is lost
PING_EVERY = 0.01  # seconds between pings that look for stalls
PERCENTILES = {"p50": 50.0, "p99": 99.0}
SERVED, REFUSED, FAILED, LOST, WRONG = OUTCOMES = ("served", "refused", "failed", "lost", "wrong")


class Call:
    """One request: `at` is when it was to be sent, in seconds of the monotonic clock."""

    __slots__ = ("at", "command", "id", "over", "resent", "timer")

    def __init__(self, at: float, number: bytes, command: bytes) -> None:
        self.at, self.id, self.command = at, number, command
        self.over = self.resent = False
        self.timer: asyncio.TimerHandle | None = None


class _Connection(asyncio.Protocol):
    """Carries one request at a time."""

    def __init__(self, front: Front) -> None:
        self._front = front
        self._data = b""
        self.call: Call | None = None
        self.used = False  # it has had an answer: a close may then cross the next request
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up."""
        self.transport = cast(asyncio.Transport, transport)

    def carry(self, call: Call) -> None:
        """Send a request."""
        self.call = call
        self.transport.write(call.command)

    def data_received(self, data: bytes) -> None:
        """An answer, or a part of one."""
        self._data += data
        head, ended, value = self._data.partition(b"\r\n")
        if not ended:
            return
        if head[:1] == b"$" and len(value) < int(head[1:]) + 2:
            return
        self._data = b""
        call, self.call, self.used = self.call, None, True
        if call is not None:
            self._front.answered(call, head, value)
        self._front.give(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Ended by the gateway."""
        call, self.call = self.call, None
        self._front.lost(self, call)


class Front:
    """The clients' connections to one gateway."""

    def __init__(self, address: str, load: Load) -> None:
        self.host, _, port = address.partition(":")
        self.port, self._load = int(port), load
        self._idle: list[_Connection] = []
        self._open = 0
        self._waiting: list[Call] = []

    def send(self, call: Call) -> None:
        """Send on an idle connection, or on a new one; where there are too many it waits."""
        if self._idle:
            self._idle.pop().carry(call)
        elif self._open < MOST_CONNECTIONS:
            self._open += 1
            asyncio.get_running_loop().create_task(self._connect(call))
        else:
            self._waiting.append(call)

    async def _connect(self, call: Call) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: _Connection(self), self.host, self.port)
        except OSError:
            self._open -= 1
            self._load.end(call, LOST)
            return
        connection.carry(call)

    def give(self, connection: _Connection) -> None:
        """A connection is free."""
        if self._waiting:
            connection.carry(self._waiting.pop(0))
        else:
            self._idle.append(connection)

    def lost(self, connection: _Connection, call: Call | None) -> None:
        """A connection is over. A request that its close may have crossed is sent once more."""
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if call is None or call.over:
            return
        if connection.used and not call.resent:
            call.resent = True
            self.send(call)
        else:
            self._load.end(call, LOST)

    def answered(self, call: Call, head: bytes, value: bytes) -> None:
        """A whole answer. A value holds whose it is, and the server's work in microseconds."""
        if head[:1] == b"$":
            number, _, work = value.rstrip(b"\r\n").partition(b" ")
            self._load.end(call, SERVED if number == call.id else WRONG, int(work or 0))
        else:
            self._load.end(call, REFUSED if head.startswith(b"-BUSY") else FAILED)


class Load:
    """Requests at a rate to some gateways, and what became of them.

    The order: `gateways` addresses, and for each the fleet's number of it in `numbers`; `rate` requests a
    second in all, `count` requests, `tenants` tenants, `spread` gateways that a tenant comes through, of
    `fleet`; `patience_ms`; the class `cls` and plan `plan`; `seed`.
    """

    def __init__(self, order: dict[str, Any], done: Callable[[dict[str, Any]], None]) -> None:
        self._order, self._done = order, done
        self._chance = random.Random(order["seed"])
        self._fronts = [Front(address, self) for address in order["gateways"]]
        self._tenants: set[int] = set()
        self._figures: Counter[str] = Counter()
        self._latency = HdrHistogram(1, MOST_US, DIGITS)
        self._added = HdrHistogram(1, MOST_US, DIGITS)
        self._loop = asyncio.get_running_loop()
        self._serial = self._chance.getrandbits(48) << 16
        self._began = time.monotonic()
        threading.Thread(target=self._arrive, args=(self._began,), daemon=True).start()

    def _arrive(self, at: float) -> None:
        """In its own thread: hand each request to the loop at its time."""
        chance = random.Random(self._order["seed"])
        for _ in range(self._order["count"]):
            at += chance.expovariate(self._order["rate"])
            if (early := at - time.monotonic()) > 0:
                time.sleep(early)
            try:
                self._loop.call_soon_threadsafe(self._ask, at)
            except RuntimeError:  # the loop is closed: the bench has ended
                return

    def _ask(self, at: float) -> None:
        order, which = self._order, self._chance.randrange(len(self._fronts))
        # A tenant comes through `spread` gateways in a row, of which this one is any.
        tenant = self._chance.randrange(order["tenants"])
        first = (order["numbers"][which] - tenant % order["spread"]) % order["fleet"]
        self._tenants.add(tenant)
        self._serial += 1
        number = b"%016x" % self._serial
        terms = (
            f"c={order['cls']},t={order['plan']},d={order['patience_ms']},units=1,"
            f"spread={order['spread']},first={first}"
        )
        command = pack([b"CALL.GET", b"%016x" % tenant, number, terms.encode()])
        call = Call(at, number, command)
        call.timer = self._loop.call_later(order["patience_ms"] / 1e3 + GRACE, self.end, call, LOST)
        self._fronts[which].send(call)

    def end(self, call: Call, outcome: str, work_us: int = 0) -> None:
        """A request's one outcome."""
        if call.over:
            return
        call.over = True
        if call.timer is not None:
            call.timer.cancel()
        self._figures[outcome] += 1
        if outcome == SERVED:
            took = int((time.monotonic() - call.at) * 1e6)
            self._latency.record_value(min(MOST_US, max(1, took)))
            self._added.record_value(min(MOST_US, max(1, took - work_us)))
        if sum(self._figures.values()) == self._order["count"]:
            self._done(self._result())

    def _result(self) -> dict[str, Any]:
        """Counts of outcomes; percentiles in microseconds of latency, also without the servers' work."""
        result: dict[str, Any] = {name: self._figures[name] for name in OUTCOMES}
        result |= {"tenants_seen": len(self._tenants), "seconds": time.monotonic() - self._began}
        for name, histogram in (("latency", self._latency), ("added", self._added)):
            result[name] = {label: histogram.get_value_at_percentile(p) for label, p in PERCENTILES.items()}
        return result


class Pings(asyncio.Protocol):
    """Pings a gateway on a connection of its own, and keeps the longest round trip: its longest stall."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._sent: float | None = None
        self.longest, self.count = 0.0, 0  # seconds; answers
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = cast(asyncio.Transport, transport)
        self._ping()

    def _ping(self) -> None:
        self._sent = time.monotonic()
        self._transport.write(b"*1\r\n$4\r\nPING\r\n")

    def data_received(self, data: bytes) -> None:
        """The answer; the next one follows."""
        self._take()
        self.count += 1
        self._sent = None
        self._loop.call_later(PING_EVERY, self._ping)

    def _take(self) -> None:
        if self._sent is not None:
            self.longest = max(self.longest, time.monotonic() - self._sent)

    def longest_since(self) -> dict[str, Any]:
        """The longest round trip in seconds since the last look, one under way included, and their number."""
        self._take()
        result = {"longest_s": self.longest, "pings": self.count}
        self.longest, self.count = 0.0, 0
        return result


async def serve() -> None:
    """Carry out orders until the input ends: `load`, answered at its end; `ping` and `stall`, at once."""
    pings: Pings | None = None
    loop = asyncio.get_running_loop()
    async for order, answer in serve_orders():
        if order["do"] == "load":
            Load(order, answer)
        elif order["do"] == "ping":
            host, _, port = order["gateway"].partition(":")
            _, pings = await loop.create_connection(Pings, host, int(port))
            answer({})
        elif order["do"] == "stall" and pings is not None:
            answer(pings.longest_since())
        else:
            raise ValueError(f"no order {order!r}")


if __name__ == "__main__":
    uvloop.run(serve())
    sys.exit(0)
