"""Open-loop load generator, a worker process started as `python -m rushroad.bench.load`.

Requests arrive as a Poisson process, independently of the answers, and the latency of a request is measured
from its scheduled send time. A stalled gateway therefore cannot hide its stall by delaying later requests.
Times are read from the system's monotonic clock, and a thread schedules the requests, because the clock and
the timers of the event loop have a resolution of milliseconds.
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
from rushroad.bench.pinger import Pinger
from rushroad.bench.worker import serve_commands
from rushroad.proxy.resp import encode_array

MAX_LATENCY_US = 60_000_000  # higher latencies are recorded as this one
SIGNIFICANT_DIGITS = 3  # precision of the histograms
ANSWER_GRACE_S = 1.0  # after the deadline, before a request without an answer counts as lost


class LoadGenerator:
    """Sends the requests of a StartLoad command, and records their outcomes and latencies."""

    def __init__(self, command: StartLoad, on_done: Callable[[LoadResult], None]) -> None:
        self._command, self._on_done = command, on_done
        self._random = random.Random(command.seed)
        self._pools = [ConnectionPool(address, self.complete) for address in command.gateways]
        self._tenants_seen: set[int] = set()
        self._outcomes: Counter[Outcome] = Counter()
        self._latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._added = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._loop = asyncio.get_running_loop()
        self._last_request_id = self._random.getrandbits(48) << 16
        self._started_at = time.monotonic()
        threading.Thread(target=self._schedule_arrivals, args=(self._started_at,), daemon=True).start()

    def _schedule_arrivals(self, due_at: float) -> None:
        """Pass each request to the loop when it is due; runs in a thread."""
        arrivals = random.Random(self._command.seed)  # not shared with the thread of the loop
        for _ in range(self._command.requests):
            due_at += arrivals.expovariate(self._command.request_rate)
            if (delay_s := due_at - time.monotonic()) > 0:
                time.sleep(delay_s)
            try:
                self._loop.call_soon_threadsafe(self._send_request, due_at)
            except RuntimeError:  # the loop is closed, as the worker is exiting
                return

    def _send_request(self, due_at: float) -> None:
        command, gateway = self._command, self._random.randrange(len(self._pools))
        # A tenant's entry points are consecutive gateways; this gateway can be any of them.
        tenant = self._random.randrange(command.tenants)
        offset = tenant % command.entry_points
        first = (command.gateway_indices[gateway] - offset) % command.fleet_size
        self._tenants_seen.add(tenant)
        self._last_request_id += 1
        request_id = b"%016x" % self._last_request_id
        parameters = (
            f"c={command.request_class},t={command.plan},d={command.deadline_ms},units=1,"
            f"spread={command.entry_points},first={first}"
        )
        encoded = encode_array([b"CALL.GET", b"%016x" % tenant, request_id, parameters.encode()])
        request = ClientRequest(due_at, request_id, encoded)
        timeout_s = command.deadline_ms / 1e3 + ANSWER_GRACE_S
        request.timer = self._loop.call_later(timeout_s, self.complete, request, Outcome.LOST, 0)
        self._pools[gateway].send(request)

    def complete(self, request: ClientRequest, outcome: Outcome, service_time_us: int) -> None:
        """Record the outcome of a request, once. `service_time_us` is that of the rate server, or 0."""
        if request.completed:
            return
        request.completed = True
        if request.timer is not None:
            request.timer.cancel()
        self._outcomes[outcome] += 1
        if outcome is Outcome.SERVED:
            latency_us = int((time.monotonic() - request.due_at) * 1e6)
            self._latency.record_value(min(MAX_LATENCY_US, max(1, latency_us)))
            self._added.record_value(min(MAX_LATENCY_US, max(1, latency_us - service_time_us)))
        if sum(self._outcomes.values()) == self._command.requests:
            self._on_done(self._result())

    def _result(self) -> LoadResult:
        return LoadResult(
            outcomes={outcome: self._outcomes[outcome] for outcome in Outcome},
            tenants_seen=len(self._tenants_seen),
            seconds=time.monotonic() - self._started_at,
            latency=_percentiles(self._latency),
            added=_percentiles(self._added),
        )


def _percentiles(histogram: HdrHistogram) -> Percentiles:
    return Percentiles(
        p50=histogram.get_value_at_percentile(50.0),
        p99=histogram.get_value_at_percentile(99.0),
        max=histogram.get_max_value(),
    )


async def serve() -> None:
    """Execute commands until the input is closed; the reply to StartLoad is sent at the end of the load."""
    pinger: Pinger | None = None
    loop = asyncio.get_running_loop()
    async for command, respond in serve_commands(CLIENT_DECODER):
        match command:
            case StartLoad():
                LoadGenerator(command, respond)
            case StartPings():
                host, _, port = command.gateway.partition(":")
                _, pinger = await loop.create_connection(Pinger, host, int(port))
                respond(Done())
            case TakeLongestPing() if pinger is not None:
                respond(pinger.take_longest())
            case _:
                raise ValueError(f"{command!r} received before StartPings: no gateway is being pinged")


if __name__ == "__main__":
    uvloop.run(serve())
    sys.exit(0)
