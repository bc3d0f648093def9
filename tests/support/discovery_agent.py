"""A discovery agent on loopback that serves watches of an endpoint list of rate servers."""

from __future__ import annotations

import asyncio
import json
import re
from contextlib import suppress
from typing import Any

from tests.support.rate_server import RateServer

FIRST_GENERATION = 41
HEARTBEAT_INTERVAL_S = 1.0  # a heartbeat is an empty line


class DiscoveryAgent:
    """Sends each watch a snapshot, or the deltas since the generation in its request."""

    def __init__(self, servers: list[RateServer]) -> None:
        self._servers, self.generation = servers, FIRST_GENERATION
        self._history: list[tuple[int, bytes]] = []  # generation, delta
        self._watches: set[asyncio.StreamWriter] = set()
        self.watch_requested = asyncio.Event()
        self.address = ""
        self._listener: asyncio.Server

    async def listen(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    def snapshot(self) -> dict[str, Any]:
        """Return a snapshot of the endpoint list in discovery's format."""
        entries = [server.entry() for server in self._servers]
        return {"generation": self.generation, "reset": True, "instances": entries}

    def publish(self, *servers: RateServer) -> None:
        """Send a delta with the entries of these servers to all watches."""
        self.generation += 1
        entries = [server.entry() for server in servers]
        delta = {"generation": self.generation, "reset": False, "instances": entries}
        self._history.append((self.generation, json.dumps(delta).encode() + b"\n"))
        for writer in self._watches:
            self._write_chunk(writer, self._history[-1][1])

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
        if not writer.transport.is_closing():
            writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.watch_requested.set()
            match = re.search(rb"from=(\d+)", head)
            since = int(match[1]) if match else 0
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if since < FIRST_GENERATION:
                self._write_chunk(writer, json.dumps(self.snapshot()).encode() + b"\n")
            else:
                missed = [delta for generation, delta in self._history if generation > since]
                self._write_chunk(writer, b"\n" + b"".join(missed))
            self._watches.add(writer)
            while not writer.transport.is_closing():
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                self._write_chunk(writer, b"\n")
        self._watches.discard(writer)

    def close(self) -> None:
        """Stop listening and abort all watches."""
        self._listener.close()
        for writer in self._watches:
            writer.transport.abort()
