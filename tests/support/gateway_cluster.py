"""Real gateway processes between clients, rate servers, a discovery agent and a counter on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

from rushroad.bench.real.gateway_settings import gateway_settings
from rushroad.bench.stand_ins.counter import Counter
from rushroad.proxy import resp
from tests.support.discovery_agent import DiscoveryAgent
from tests.support.gateway_process import PROCESS_TIMEOUT, ROOT, RUN_COMMAND
from tests.support.rate_server import Attempt, RateServer

GATEWAYS_HOST = "127.91.0.2"  # an address on which nothing else takes ports
TICK = 0.01  # seconds between looks at processes, and at how late this process itself is


class ClientConnection:
    """A client's connection: writes commands, reads answers in their order."""

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


def request_command(
    request: int,
    time_remaining_ms: int,
    tenant: int = 7,
    spread: int = 1,
    name: bytes = b"quote",
    units: int = 1,
    body: bytes = b"BODY",
) -> bytes:
    """A client's command for a request of the class `name`; the class `quote` has no body."""
    terms = b"c=%b,t=small,d=%d,units=%d,spread=%d,first=0" % (name, time_remaining_ms, units, spread)
    words = [b"CALL.GET" if name == b"quote" else b"CALL.POST", b"%016x" % tenant, b"%016x" % request]
    return resp.encode_array([*words, terms] if name == b"quote" else [*words, terms, body])


@dataclass
class GatewayCluster:
    """Gateway processes as the deploy file starts them, and all their peers; they end with the context.

    Gateways are known by their number, from 0.
    """

    folder: Path
    servers: int = 6
    gateways: int = 1
    work: float = 0.0  # seconds that a rate server takes for a request
    settings: dict[str, Any] = field(default_factory=dict)
    environments: Mapping[int, Mapping[str, str]] = field(default_factory=dict)  # by number of the gateway
    sockets: int = 1_024
    stderr: Any = None  # of the processes; a file for each where it is None

    async def __aenter__(self) -> GatewayCluster:
        self.rate_servers = [RateServer(f"s-{number}", self.work) for number in range(self.servers)]
        for server in self.rate_servers:
            await server.listen()
        self.discovery = DiscoveryAgent(self.rate_servers)
        await self.discovery.listen()
        self.counter = Counter(1, asyncio.get_running_loop())
        self.counter_address = await self.counter.listen()
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.max_loop_lag = 0.0  # seconds for which the machine held this process up
        self._lag_monitor = asyncio.create_task(self._measure_loop_lag())
        self.ports = {number: self._free_port() for number in range(self.gateways)}
        return self

    async def _measure_loop_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(TICK)
            self.max_loop_lag = max(self.max_loop_lag, loop.time() - before - TICK)

    def timing_allowance(self) -> float:
        """Seconds that a busy machine may add to what is measured here.

        A gateway may be held up as long as this process was, when it reads and when it writes, and this
        process when it reads the result. On a quiet machine it is milliseconds.
        """
        return 3 * self.max_loop_lag

    @staticmethod
    def _free_port() -> int:
        with socket.create_server((GATEWAYS_HOST, 0)) as listener:
            port: int = listener.getsockname()[1]
            return port

    def file(self, number: int) -> Path:
        """A gateway's configuration file."""
        return self.folder / f"n{number}.json"

    def log(self, number: int) -> str:
        """What a gateway has written to standard error, where that is a file."""
        return (self.folder / f"n{number}.log").read_text()

    def configure(self, number: int, **changed: Any) -> None:
        """Write a gateway's configuration file, with these keys changed."""
        document = {
            "name": f"n{number}",
            "listen": f"{GATEWAYS_HOST}:{self.ports[number]}",
            "discovery": self.discovery.address,
            "counter": self.counter_address,
            "seed": f"{number + 1:016x}",
            "known": self.discovery.snapshot(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "settings": gateway_settings(self.gateways, number) | self.settings,
        }
        self.file(number).write_text(json.dumps(document | changed))

    def start(self, number: int = 0) -> subprocess.Popen[bytes]:
        """Start a gateway; it is not ready yet."""
        self.configure(number)
        environment = os.environ | {"EDGE_CONFIG": str(self.file(number))}
        with (self.folder / f"n{number}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                ["/bin/sh", "-c", f"ulimit -n {self.sockets}; {RUN_COMMAND}"],
                cwd=ROOT,
                env={**environment, **self.environments.get(number, {})},
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=self.stderr or log,
            )
        return self.processes[number]

    async def ready(self, number: int = 0) -> None:
        """Wait until a gateway answers PING."""
        deadline = time.monotonic() + PROCESS_TIMEOUT
        while time.monotonic() < deadline:
            assert self.processes[number].poll() is None, self.log(number)
            with suppress(ConnectionError):
                client = await self.connect(number)
                client.writer.write(resp.encode_array([b"PING"]))
                if await client.answer() == b"+PONG":
                    client.writer.close()
                    return
            await asyncio.sleep(TICK)
        raise AssertionError(f"gateway {number} does not answer PING")

    async def connect(self, number: int = 0) -> ClientConnection:
        """A client's connection to a gateway."""
        return ClientConnection(*await asyncio.open_connection(GATEWAYS_HOST, self.ports[number]))

    def attempts(self) -> list[Attempt]:
        """All attempts that have come to rate servers, in order."""
        attempts = [attempt for server in self.rate_servers for attempt in server.attempts]
        return sorted(attempts, key=lambda attempt: attempt.at)

    async def exit_status(self, number: int = 0) -> int:
        """Wait until a gateway's process has ended."""
        async with asyncio.timeout(PROCESS_TIMEOUT):
            while (status := self.processes[number].poll()) is None:
                await asyncio.sleep(TICK)
        return status

    async def stop(self, number: int = 0) -> int:
        """End a gateway by SIGTERM; its exit status."""
        self.processes[number].send_signal(signal.SIGTERM)
        return await self.exit_status(number)

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        self._lag_monitor.cancel()
        self.discovery.close()
        for server in self.rate_servers:
            server.close()


ClusterFactory = Callable[..., GatewayCluster]  # with the fields but `folder`
RunningCluster = Callable[..., AbstractAsyncContextManager[GatewayCluster]]  # the same, started and ready
