"""Runs real gateway processes with rate servers, a discovery agent and a counter on loopback."""

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
from tests.support.gateway_process import PROCESS_TIMEOUT_S, ROOT, RUN_COMMAND
from tests.support.rate_server import Attempt, RateServer

CLUSTER_HOST = "127.91.0.2"  # no other program takes ports on this address, so a free port stays free
POLL_INTERVAL_S = 0.01  # of process states, and of this process's own event loop lag


class ClientConnection:
    """A client connection: commands are written to `writer`, and `read_answer` returns answers in order."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read_answer(self) -> bytes:
        """Return the next answer: a value, or a whole line of another type; b"" at the end of input."""
        try:
            line = await self.reader.readline()
            if line.startswith(b"$"):
                return (await self.reader.readexactly(int(line[1:]) + 2))[:-2]
            return line.strip()
        except (ConnectionError, asyncio.IncompleteReadError):
            return b""


def request_command(
    request_id: int,
    time_remaining_ms: int,
    tenant: int = 7,
    spread: int = 1,
    class_name: bytes = b"quote",
    units: int = 1,
    body: bytes = b"BODY",
) -> bytes:
    """Encode a client's command for a request of this class; requests of the class `quote` have no body."""
    options = b"c=%b,t=small,d=%d,units=%d,spread=%d,first=0" % (class_name, time_remaining_ms, units, spread)
    words = [
        b"CALL.GET" if class_name == b"quote" else b"CALL.POST",
        b"%016x" % tenant,
        b"%016x" % request_id,
    ]
    return resp.encode_array([*words, options] if class_name == b"quote" else [*words, options, body])


@dataclass
class GatewayCluster:
    """Gateway processes, started with the command in the deploy file, and all their peers.

    The context manager kills the processes on exit. Gateways are numbered from 0.
    """

    directory: Path
    servers: int = 6
    gateways: int = 1
    service_time_s: float = 0.0  # of a rate server for each request
    settings: dict[str, Any] = field(default_factory=dict)
    environments: Mapping[int, Mapping[str, str]] = field(default_factory=dict)  # by gateway number
    sockets: int = 1_024  # limit of each gateway's file descriptors
    memory_mb: int = 192  # limit of each gateway's memory
    stderr: Any = None  # of the processes; None writes a log file for each

    async def __aenter__(self) -> GatewayCluster:
        self.rate_servers = [RateServer(f"s-{number}", self.service_time_s) for number in range(self.servers)]
        for server in self.rate_servers:
            await server.listen()
        self.discovery = DiscoveryAgent(self.rate_servers)
        await self.discovery.listen()
        self.counter = Counter(1, asyncio.get_running_loop())
        self.counter_address = await self.counter.listen()
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.max_loop_lag_s = 0.0  # of this process
        self._lag_monitor = asyncio.create_task(self._measure_loop_lag())
        self.ports = {number: self._free_port() for number in range(self.gateways)}
        return self

    async def _measure_loop_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(POLL_INTERVAL_S)
            self.max_loop_lag_s = max(self.max_loop_lag_s, loop.time() - before - POLL_INTERVAL_S)

    def timing_allowance_s(self) -> float:
        """Return the time that a busy machine may add to times measured by this process.

        A gateway may be delayed as long as this process was, both when it reads and when it writes, and this
        process when it reads the result. On an idle machine the allowance is a few milliseconds.
        """
        return 3 * self.max_loop_lag_s

    @staticmethod
    def _free_port() -> int:
        with socket.create_server((CLUSTER_HOST, 0)) as listener:
            port: int = listener.getsockname()[1]
            return port

    def configuration_file(self, number: int) -> Path:
        """Return the path of a gateway's configuration file."""
        return self.directory / f"n{number}.json"

    def log(self, number: int) -> str:
        """Return what a gateway has written to standard error; empty if `stderr` is set."""
        return (self.directory / f"n{number}.log").read_text()

    def write_configuration(self, number: int, **overrides: Any) -> None:
        """Write a gateway's configuration file, with some keys replaced."""
        document = {
            "name": f"n{number}",
            "listen": f"{CLUSTER_HOST}:{self.ports[number]}",
            "discovery": self.discovery.address,
            "counter": self.counter_address,
            "seed": f"{number + 1:016x}",
            "known": self.discovery.snapshot(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "settings": gateway_settings(self.gateways, number) | self.settings,
        }
        self.configuration_file(number).write_text(json.dumps(document | overrides))

    def start(self, number: int = 0) -> subprocess.Popen[bytes]:
        """Start a gateway's process, without waiting until it is ready."""
        self.write_configuration(number)
        environment = os.environ | {"EDGE_CONFIG": str(self.configuration_file(number))}
        with (self.directory / f"n{number}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                ["/bin/sh", "-c", f"ulimit -n {self.sockets}; {RUN_COMMAND}"],
                cwd=ROOT,
                env={**environment, **self.environments.get(number, {})},
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=self.stderr or log,
            )
        return self.processes[number]

    async def wait_until_ready(self, number: int = 0) -> None:
        """Wait until a gateway answers PING."""
        deadline = time.monotonic() + PROCESS_TIMEOUT_S
        while time.monotonic() < deadline:
            assert self.processes[number].poll() is None, self.log(number)
            with suppress(ConnectionError):
                client = await self.connect(number)
                client.writer.write(resp.encode_array([b"PING"]))
                if await client.read_answer() == b"+PONG":
                    client.writer.close()
                    return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError(f"gateway {number} did not answer PING within {PROCESS_TIMEOUT_S} s")

    async def connect(self, number: int = 0) -> ClientConnection:
        """Open a client connection to a gateway."""
        return ClientConnection(*await asyncio.open_connection(CLUSTER_HOST, self.ports[number]))

    def attempts(self) -> list[Attempt]:
        """Return all attempts received by rate servers, in order."""
        attempts = [attempt for server in self.rate_servers for attempt in server.attempts]
        return sorted(attempts, key=lambda attempt: attempt.received_at)

    async def wait_for_exit(self, number: int = 0) -> int:
        """Wait until a gateway's process has exited; return its exit status."""
        async with asyncio.timeout(PROCESS_TIMEOUT_S):
            while (status := self.processes[number].poll()) is None:
                await asyncio.sleep(POLL_INTERVAL_S)
        return status

    async def stop(self, number: int = 0) -> int:
        """Stop a gateway with SIGTERM; return its exit status."""
        self.processes[number].send_signal(signal.SIGTERM)
        return await self.wait_for_exit(number)

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


ClusterFactory = Callable[..., GatewayCluster]  # takes the fields except `directory`
RunningCluster = Callable[..., AbstractAsyncContextManager[GatewayCluster]]  # same; its gateways are ready
