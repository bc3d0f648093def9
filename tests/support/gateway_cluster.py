"""Real gateway processes between clients, rate servers, a discovery agent and a counter on loopback."""

from __future__ import annotations

import asyncio
import json
import math
import os
import re
import signal
import socket
import subprocess
import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, cast

from rushroad.bench.real.gateway_settings import gateway_settings
from rushroad.bench.stand_ins.counter import Counter
from rushroad.bench.stand_ins.replies import Replies, Reply
from rushroad.proxy import resp
from tests.integration.test_process import PATIENCE, ROOT, RUN

HOST = "127.91.0.2"  # where the gateways listen: nothing else takes ports there
TICK = 0.01  # seconds between looks at how late this process itself is
HEARTBEAT = 1.0  # seconds between empty lines of a watch
TOLD = re.compile(rb"(?:^|,)d=(\d+)(?:,|$)")


@dataclass(slots=True)
class Attempt:
    """One command that has come whole to a rate server."""

    server: str
    request: bytes
    told: int  # milliseconds that the gateway said it waits
    at: float  # seconds, of the test's loop
    ended_at: float = math.inf  # when its answer was written or its connection ended


class _ServerConnection(asyncio.Protocol):
    def __init__(self, server: RateServer) -> None:
        self._server, self._reader = server, resp.Reader(16)
        self.transport: asyncio.Transport
        self.replies: Replies
        self.open: list[Attempt] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.replies = Replies(self.transport)
        self._server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections.discard(self)
        for attempt in self.open:
            attempt.ended_at = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while (words := self._reader.next()) is not None:
            self._server.take(cast(list[bytes], words), self)


class RateServer:
    """Answers each request with its id after `work` seconds; not at all while it hangs."""

    def __init__(self, name: str, work: float) -> None:
        self.name, self.work, self.hangs = name, work, False
        self.started_at_ms, self.lifecycle = 0, "SERVING"
        self.told_off_at = math.inf  # when the list first said that it drains
        self.value = b""  # of each answer; the request's id where there is none
        self.figures = b"$-1\r\n"  # on use, in each answer
        self.attempts: list[Attempt] = []
        self.connections: set[_ServerConnection] = set()
        self.address = ""
        self._listener: asyncio.Server

    async def listen(self) -> None:
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: _ServerConnection(self), "127.0.0.1", 0
        )
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    def take(self, words: list[bytes], connection: _ServerConnection) -> None:
        loop, place = asyncio.get_running_loop(), connection.replies.reserve()
        told = TOLD.search(words[3])
        assert told is not None, words
        attempt = Attempt(self.name, words[2], int(told[1]), loop.time())
        self.attempts.append(attempt)
        connection.open.append(attempt)
        if not self.hangs:
            loop.call_later(self.work, self._answer, connection, place, attempt)

    def _answer(self, connection: _ServerConnection, place: Reply, attempt: Attempt) -> None:
        if not connection.transport.is_closing():
            connection.open.remove(attempt)
            attempt.ended_at = asyncio.get_running_loop().time()
            value = self.value or attempt.request
            answer = b"*3\r\n$%d\r\n%b\r\n%b$-1\r\n" % (len(value), value, self.figures)
            connection.replies.fill(place, answer)

    def entry(self) -> dict[str, Any]:
        """Its line in the list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "room-a",
            "machineType": "full",
            "cell": 1,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }

    def close(self) -> None:
        self._listener.close()
        for connection in list(self.connections):
            connection.transport.abort()


class Agent:
    """The discovery agent: tells the whole list, or what changed after the version that a watch asks from."""

    def __init__(self, servers: list[RateServer]) -> None:
        self._servers, self.generation = servers, 41
        self._history: list[tuple[int, bytes]] = []
        self._watches: set[asyncio.StreamWriter] = set()
        self.asked = asyncio.Event()  # a watch has come
        self.address = ""
        self._listener: asyncio.Server

    async def listen(self) -> None:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    def whole(self) -> dict[str, Any]:
        """The whole list in discovery's form."""
        entries = [server.entry() for server in self._servers]
        return {"generation": self.generation, "reset": True, "instances": entries}

    def tell(self, *servers: RateServer) -> None:
        """These have changed."""
        self.generation += 1
        entries = [server.entry() for server in servers]
        frame = {"generation": self.generation, "reset": False, "instances": entries}
        self._history.append((self.generation, json.dumps(frame).encode() + b"\n"))
        for writer in self._watches:
            self._chunk(writer, self._history[-1][1])

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
        if not writer.transport.is_closing():
            writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.asked.set()
            came = re.search(rb"from=(\d+)", head)
            version = int(came[1]) if came else 0
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if version < 41:
                self._chunk(writer, json.dumps(self.whole()).encode() + b"\n")
            else:
                self._chunk(writer, b"\n" + b"".join(text for g, text in self._history if g > version))
            self._watches.add(writer)
            while not writer.transport.is_closing():
                await asyncio.sleep(HEARTBEAT)
                self._chunk(writer, b"\n")
        self._watches.discard(writer)

    def close(self) -> None:
        self._listener.close()
        for writer in self._watches:
            writer.transport.abort()


class Client:
    """A client's connection: writes calls, reads answers in their order."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def answer(self) -> bytes:
        """The next answer: a value, or the whole line; b"" where the connection has ended."""
        try:
            line = await self.reader.readline()
            if line.startswith(b"$"):
                return (await self.reader.readexactly(int(line[1:]) + 2))[:-2]
            return line.strip()
        except (ConnectionError, asyncio.IncompleteReadError):
            return b""


def call(
    request: int,
    patience: int,
    tenant: int = 7,
    spread: int = 1,
    name: bytes = b"quote",
    units: int = 1,
    body: bytes = b"BODY",
) -> bytes:
    """A request with this many milliseconds left to its client; a body only where it is not `quote`."""
    terms = b"c=%b,t=small,d=%d,units=%d,spread=%d,first=0" % (name, patience, units, spread)
    words = [b"CALL.GET" if name == b"quote" else b"CALL.POST", b"%016x" % tenant, b"%016x" % request]
    return resp.pack([*words, terms] if name == b"quote" else [*words, terms, body])


@dataclass
class World:
    """`gateways` processes as the deploy file starts them; all of it is gone when it is left.

    faults: environment of a gateway, by number; work: seconds a request at a rate server.
    """

    folder: Path
    servers: int = 6
    gateways: int = 1
    work: float = 0.0
    settings: dict[str, Any] = field(default_factory=dict)
    faults: Mapping[int, Mapping[str, str]] = field(default_factory=dict)
    sockets: int = 1_024
    stderr: Any = None

    async def __aenter__(self) -> World:
        self.rate_servers = [RateServer(f"s-{number}", self.work) for number in range(self.servers)]
        for server in self.rate_servers:
            await server.listen()
        self.agent = Agent(self.rate_servers)
        await self.agent.listen()
        self.counter = Counter(1, asyncio.get_running_loop())
        self.counter_address = await self.counter.listen()
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.late = 0.0  # seconds for which the machine held this process up at the most
        self._watch = asyncio.create_task(self._measure())
        self.ports = {number: self._free_port() for number in range(self.gateways)}
        return self

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(TICK)
            self.late = max(self.late, loop.time() - before - TICK)

    def machine(self) -> float:
        """Seconds that a busy machine may add to what is measured here.

        A gateway may be held up as this process was, when it reads and when it writes, and this process when
        it reads that: on a quiet machine some milliseconds, so that no verdict hangs on how busy it is.
        """
        return 3 * self.late

    @staticmethod
    def _free_port() -> int:
        with socket.create_server((HOST, 0)) as taken:
            port: int = taken.getsockname()[1]
            return port

    def file(self, number: int) -> Path:
        """A gateway's configuration."""
        return self.folder / f"n{number}.json"

    def log(self, number: int) -> str:
        """What a gateway has written to standard error, where that is a file."""
        return (self.folder / f"n{number}.log").read_text()

    def configure(self, number: int, **changed: Any) -> None:
        """Write a gateway's configuration."""
        settings = gateway_settings(self.gateways, number) | self.settings
        config = {
            "name": f"n{number}",
            "listen": f"{HOST}:{self.ports[number]}",
            "discovery": self.agent.address,
            "counter": self.counter_address,
            "seed": f"{number + 1:016x}",
            "known": self.agent.whole(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "settings": settings,
        }
        self.file(number).write_text(json.dumps(config | changed))

    def start(self, number: int = 0) -> subprocess.Popen[bytes]:
        """Start a gateway; not ready yet."""
        self.configure(number)
        env = {**os.environ, "EDGE_CONFIG": str(self.file(number)), **self.faults.get(number, {})}
        with (self.folder / f"n{number}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                ["/bin/sh", "-c", f"ulimit -n {self.sockets}; {RUN}"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=self.stderr or log,
            )
        return self.processes[number]

    async def ready(self, number: int = 0) -> None:
        """Wait until a gateway answers PING."""
        last = time.monotonic() + PATIENCE
        while time.monotonic() < last:
            assert self.processes[number].poll() is None, self.log(number)
            with suppress(ConnectionError):
                client = await self.connect(number)
                client.writer.write(resp.pack([b"PING"]))
                if await client.answer() == b"+PONG":
                    client.writer.close()
                    return
            await asyncio.sleep(0.01)
        raise AssertionError("it did not get ready")

    async def connect(self, number: int = 0) -> Client:
        """A client's connection to a gateway."""
        return Client(*await asyncio.open_connection(HOST, self.ports[number]))

    def attempts(self) -> list[Attempt]:
        """All that has come to rate servers, in order."""
        return sorted((a for server in self.rate_servers for a in server.attempts), key=lambda a: a.at)

    async def ended(self, number: int = 0) -> int:
        """Wait for a gateway's end; its exit status."""
        async with asyncio.timeout(PATIENCE):
            while (status := self.processes[number].poll()) is None:
                await asyncio.sleep(0.01)
        return status

    async def stop(self, number: int = 0) -> int:
        """SIGTERM; its exit status."""
        self.processes[number].send_signal(signal.SIGTERM)
        return await self.ended(number)

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        self._watch.cancel()
        self.agent.close()
        for server in self.rate_servers:
            server.close()
