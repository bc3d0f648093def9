"""Shared by tests of attempts: an upstream with one endpoint, a response, and requests of any size."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from rushroad.policy.events import Endpoint, EndpointState, Result
from rushroad.policy.settings import Limits, Settings
from rushroad.proxy.engine import Engine
from rushroad.proxy.in_flight import Attempt
from rushroad.proxy.upstream import Upstream
from tests.support.gateway_driver import IDEMPOTENT, SETTINGS
from tests.support.loopback import LOOPBACK, Peer, RecordingEngine, resp, run

OK = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$18\r\ninflight=7,queue=2\r\n"
LONG_TIMEOUT_US = 10_000_000
ATTEMPT_SETTINGS = replace(SETTINGS, limits=Limits(max_attempts=4, connect_timeout=250_000))


class SizedCall:
    """A client's call; its forwarded command has one argument of `size` bytes."""

    def __init__(self, size: int = 10, class_index: int = IDEMPOTENT) -> None:
        self.size, self.class_index = size, class_index

    def poll_disconnect(self) -> bool:
        return False

    def may_have_left(self) -> bool:
        return False

    def forwarded_command(self, _time_remaining_us: int) -> bytes:
        return resp(b"CALL.GET", b"x" * self.size)


def request_in_flight(size: int, class_index: int) -> Any:
    """The part of a request that an attempt uses; its command has one argument of `size` bytes."""
    return SimpleNamespace(call=SizedCall(size, class_index))


def endpoint_at(
    port: int, state: EndpointState = EndpointState.READY, started_at: int = 0
) -> list[tuple[Endpoint, tuple[str, int]]]:
    """An endpoint list with one endpoint, s-1, at this port of the loopback address."""
    return [(Endpoint("s-1", state, started_at=started_at), (LOOPBACK, port))]


class UpstreamHarness:
    """An upstream with one endpoint, s-1, and the engine that it reports to."""

    def __init__(self, port: int, max_connections: int = 8, settings: Settings = ATTEMPT_SETTINGS) -> None:
        self.engine, self.attempt_count = RecordingEngine(), 0
        loop = asyncio.get_running_loop()
        self.upstream = Upstream(cast(Engine, self.engine), settings, 60_000_000, max_connections, loop)
        self.upstream.update_endpoints(endpoint_at(port), True)

    def send(
        self, timeout_us: int = LONG_TIMEOUT_US, size: int = 10, class_index: int = IDEMPOTENT
    ) -> Attempt:
        """Start an attempt of a new request; request IDs count from 1."""
        self.attempt_count += 1
        request = request_in_flight(size, class_index)
        attempt = Attempt(self.attempt_count, 0, "s-1", request, self.engine.clock.now_us())
        self.upstream.start(attempt, timeout_us)
        return attempt

    def transports(self) -> list[asyncio.Transport]:
        """The transports of all open connections."""
        pools = self.upstream._pools.values()
        transports = [connection.transport for pool in pools for connection in pool.connections]
        return [transport for transport in transports if transport is not None]

    async def next_result(self) -> tuple[int, Result]:
        """Wait for the next attempt to finish; return its request ID and its result."""
        return (await self.engine.outcomes.get())[:2]


def run_upstream_scenario(
    scenario: Callable[[UpstreamHarness, Peer], Awaitable[None]],
    max_connections: int = 8,
    settings: Settings = ATTEMPT_SETTINGS,
) -> None:
    """Run a scenario with an upstream whose one endpoint is a peer."""

    async def start() -> None:
        async with Peer() as peer:
            await scenario(UpstreamHarness(peer.port, max_connections, settings), peer)

    run(start)
