"""The client side of the gateway on loopback sockets, with an engine that records submitted calls."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol, cast

from rushroad.proxy.client_listener import ClientListener
from rushroad.proxy.connection_table import ConnectionTable
from rushroad.proxy.engine import Engine
from tests.support.loopback import LOOPBACK, MEMORY_LIMIT, SCHEMA, RecordingEngine, resp, run

PING, PONG = resp(b"PING"), b"+PONG\r\n"
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class ClientSide:
    """A client listener with its connections and a recording engine."""

    def __init__(
        self,
        max_connections: int = 8,
        loop: asyncio.AbstractEventLoop | None = None,
        memory_limit: int = MEMORY_LIMIT,
    ) -> None:
        self.engine = RecordingEngine()
        loop = loop or asyncio.get_running_loop()
        self.listener = ClientListener(cast(Engine, self.engine), SCHEMA, max_connections, memory_limit, loop)

    @property
    def connections(self) -> ConnectionTable:
        return self.listener.connections

    async def connect(self) -> Streams:
        """Connect a client."""
        return await asyncio.open_connection(LOOPBACK, self.listener.port)


Scenario = Callable[[ClientSide], Awaitable[None]]


class RunScenario(Protocol):
    def __call__(
        self, scenario: Scenario, max_connections: int = 8, memory_limit: int = MEMORY_LIMIT
    ) -> None:
        """Run a scenario on a listening client side, then abort its connections and check its buffers."""


def run_client_scenario(
    scenario: Scenario, max_connections: int = 8, memory_limit: int = MEMORY_LIMIT
) -> None:
    async def start() -> None:
        gateway = ClientSide(max_connections, memory_limit=memory_limit)
        await gateway.listener.listen(LOOPBACK, 0)
        await scenario(gateway)
        for connection in list(gateway.connections.open):
            connection.transport.abort()
        while gateway.connections.buffers.used_bytes != 0:  # until all that was counted has been released
            await asyncio.sleep(0)

    run(start)
