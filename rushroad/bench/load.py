"""Open-loop clients in a process of their own: `python -m rushroad.bench.load`, with commands on its input.

Requests come as a Poisson process whatever the answers are, and a request's latency counts from when it was
due: a gateway that stalls can't hide it by delaying the next requests. Times are of the system's monotonic
clock, and a thread keeps the times of sending: the loop's clock and timers have a resolution of milliseconds.
"""

from __future__ import annotations

import asyncio
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable

import uvloop
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from rushroad.bench.client_connections import ClientRequest, ConnectionPool
from rushroad.bench.commands import (
    CLIENT_DECODER,
    Done,
    LoadResult,
    Outcome,
    Percentiles,
    StartLoad,
    StartPings,
    TakeLongestPing,
)
from rushroad.bench.pings import Pinger
from rushroad.bench.worker import serve_commands
from rushroad.proxy.resp import pack

MAX_LATENCY_US = 60_000_000  # of a histogram
SIGNIFICANT_DIGITS = 3  # that a histogram keeps
ANSWER_GRACE_S = 1.0  # after a request's deadline; without an answer then it is lost


class Load:
    """Requests at a rate to some gateways, and what became of them."""

    def __init__(self, command: StartLoad, on_done: Callable[[LoadResult], None]) -> None:
        self._command, self._on_done = command, on_done
        self._random = random.Random(command.seed)
        self._pools = [ConnectionPool(address, self.end) for address in command.gateways]
        self._tenants: set[int] = set()
        self._outcomes: Counter[Outcome] = Counter()
        self._latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._added = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._loop = asyncio.get_running_loop()
        self._last_id = self._random.getrandbits(48) << 16
        self._began = time.monotonic()
        threading.Thread(target=self._schedule, args=(self._began,), daemon=True).start()

    def _schedule(self, due_at: float) -> None:
        """In its own thread: hand each request to the loop when it is due."""
        arrivals = random.Random(self._command.seed)
        for _ in range(self._command.requests):
            due_at += arrivals.expovariate(self._command.request_rate)
            if (early := due_at - time.monotonic()) > 0:
                time.sleep(early)
            try:
                self._loop.call_soon_threadsafe(self._send_request, due_at)
            except RuntimeError:  # the loop is closed: the bench has ended
                return

    def _send_request(self, due_at: float) -> None:
        command, gateway = self._command, self._random.randrange(len(self._pools))
        # A tenant's entry points are gateways in a row, of which this one is any.
        tenant = self._random.randrange(command.tenants)
        offset = tenant % command.entry_points
        first = (command.gateway_indices[gateway] - offset) % command.fleet_size
        self._tenants.add(tenant)
        self._last_id += 1
        request_id = b"%016x" % self._last_id
        terms = (
            f"c={command.request_class},t={command.plan},d={command.deadline_ms},units=1,"
            f"spread={command.entry_points},first={first}"
        )
        packed = pack([b"CALL.GET", b"%016x" % tenant, request_id, terms.encode()])
        request = ClientRequest(due_at, request_id, packed)
        timeout = command.deadline_ms / 1e3 + ANSWER_GRACE_S
        request.timer = self._loop.call_later(timeout, self.end, request, Outcome.LOST, 0)
        self._pools[gateway].send(request)

    def end(self, request: ClientRequest, outcome: Outcome, work_us: int) -> None:
        """Count a request's one outcome. `work_us`: the rate server's work, where there was some."""
        if request.ended:
            return
        request.ended = True
        if request.timer is not None:
            request.timer.cancel()
        self._outcomes[outcome] += 1
        if outcome is Outcome.SERVED:
            latency = int((time.monotonic() - request.due_at) * 1e6)
            self._latency.record_value(min(MAX_LATENCY_US, max(1, latency)))
            self._added.record_value(min(MAX_LATENCY_US, max(1, latency - work_us)))
        if sum(self._outcomes.values()) == self._command.requests:
            self._on_done(self._result())

    def _result(self) -> LoadResult:
        return LoadResult(
            outcomes={outcome: self._outcomes[outcome] for outcome in Outcome},
            tenants_seen=len(self._tenants),
            seconds=time.monotonic() - self._began,
            latency=_percentiles(self._latency),
            added=_percentiles(self._added),
        )


def _percentiles(histogram: HdrHistogram) -> Percentiles:
    return Percentiles(
        p50=histogram.get_value_at_percentile(50.0), p99=histogram.get_value_at_percentile(99.0)
    )


async def serve() -> None:
    """Carry out commands until the input ends; the reply to StartLoad comes at the load's end."""
    pinger: Pinger | None = None
    loop = asyncio.get_running_loop()
    async for command, respond in serve_commands(CLIENT_DECODER):
        match command:
            case StartLoad():
                Load(command, respond)
            case StartPings():
                host, _, port = command.gateway.partition(":")
                _, pinger = await loop.create_connection(Pinger, host, int(port))
                respond(Done())
            case TakeLongestPing() if pinger is not None:
                respond(pinger.take_longest())
            case _:
                raise ValueError(f"no gateway is pinged: {command!r} must follow StartPings")


if __name__ == "__main__":
    uvloop.run(serve())
    sys.exit(0)
