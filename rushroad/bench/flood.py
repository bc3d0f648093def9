"""Clients that send many commands at once, and again when all are answered, started as a worker process."""

from __future__ import annotations

import asyncio
import itertools
import sys
from typing import cast

import uvloop

from rushroad.bench.commands import FLOOD_DECODER, Done, FloodStats, GetFloodStats, StartFlood
from rushroad.bench.worker import serve_commands
from rushroad.proxy.resp import encode_array

FIRST_TENANT = 1 << 32  # above those of the usual load


class Flood:
    """The flooding clients of one gateway."""

    def __init__(self, command: StartFlood) -> None:
        self._command = command
        self._numbers = itertools.count(1)
        self._options = (
            f"c={command.request_class},t={command.plan},d={command.deadline_ms},units=1,spread=1,first=0"
        ).encode()
        self.answers, self.connections = 0, 0

    async def start(self) -> None:
        """Open all connections."""
        host, _, port = self._command.gateway.partition(":")
        loop = asyncio.get_running_loop()
        for _ in range(self._command.connections):
            await loop.create_connection(lambda: _FloodConnection(self), host, int(port))

    def pipeline(self) -> bytes:
        """Return the next commands of a connection."""
        return b"".join(self._encode(next(self._numbers)) for _ in range(self._command.pipeline))

    @property
    def pipeline_length(self) -> int:
        """Number of commands that a connection sends at once."""
        return self._command.pipeline

    def _encode(self, number: int) -> bytes:
        tenant = FIRST_TENANT + number % (self._command.tenants or FIRST_TENANT)
        return encode_array([b"CALL.GET", b"%016x" % tenant, b"f%015x" % number, self._options])

    def stats(self) -> FloodStats:
        """Return the statistics since the start."""
        return FloodStats(answers=self.answers, connections=self.connections)


class _FloodConnection(asyncio.Protocol):
    """One connection, which counts the answers to its pipeline."""

    def __init__(self, flood: Flood) -> None:
        self._flood, self._missing = flood, 0
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first pipeline."""
        self._transport = cast(asyncio.Transport, transport)
        self._flood.connections += 1
        self._send()

    def _send(self) -> None:
        self._missing += self._flood.pipeline_length
        self._transport.write(self._flood.pipeline())

    def data_received(self, data: bytes) -> None:
        """Count answers: a line each, and one more for a value."""
        answers = data.count(b"\r\n") - data.count(b"$")
        self._flood.answers += answers
        self._missing -= answers
        if self._missing <= 0:
            self._send()

    def connection_lost(self, _: Exception | None) -> None:
        """Count the end of the connection."""
        self._flood.connections -= 1


async def serve() -> None:
    """Execute commands until the input is closed; StartFlood must be the first."""
    flood: Flood | None = None
    async for command, respond in serve_commands(FLOOD_DECODER):
        match command:
            case StartFlood():
                flood = Flood(command)
                await flood.start()
                respond(Done())
            case GetFloodStats() if flood is not None:
                respond(flood.stats())
            case _:
                raise ValueError(f"{command!r} received before StartFlood")


if __name__ == "__main__":
    uvloop.run(serve())
    sys.exit(0)
