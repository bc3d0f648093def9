"""Stand-ins for the clients, rate servers, discovery, the counter and the platform, for the cases in this folder.

Standard library only. Everything listens on loopback addresses and on ports that the system chooses. All
times are in seconds of time.monotonic().
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
BROKEN = 10  # exit status of a check whose rule was broken; `run.sh` makes 1 of it
HEARTBEAT_S = 2.0  # "An empty line comes every 2 s while nothing changes."


def encode(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n%b" % (len(words), b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words))


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Read one array of bulk strings; None at the end of the input."""
    line = await reader.readline()
    if not line:
        return None
    words = []
    for _ in range(int(line[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


def options_of(words: list[bytes]) -> dict[str, str]:
    """Return the list of names and values of a CALL."""
    return dict(item.split("=", 1) for item in words[3].decode().split(","))


class Record:
    """What was sent, answered and run; written to record.txt in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def __call__(self, text: str, at: float | None = None) -> None:
        now = time.monotonic() if at is None else at
        self._file.write(f"{now - self.started_at:9.4f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


@dataclass
class Attempt:
    """A complete command at a rate server."""

    server: str
    request_id: str
    class_name: str
    units: float
    time_told_ms: int
    received_at: float
    ended_at: float | None = None  # its answer was written, or its connection ended
    ended_by: str = ""


class RateServer:
    """Answers each CALL with a value made for its id, after the service time; hangs while `hanging`."""

    def __init__(self, name: str, record: Record, service_time_s: float = 0.01) -> None:
        self.name, self.record, self.service_time_s = name, record, service_time_s
        self.hanging = self.failing = False
        self.lifecycle, self.started_at_ms, self.cell = "SERVING", 0, 1
        self.machine_type, self.zone = "full", "room-a"
        self.on_run: Callable[[RateServer, str], None] = lambda server, key: None  # called for each request that runs
        self.attempts: list[Attempt] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.machine_type,
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        open_attempt: Attempt | None = None
        try:
            while (words := await read_command(reader)) is not None:
                if words[0] not in (b"CALL.GET", b"CALL.POST"):
                    writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"-ERR unknown\r\n")
                    continue
                options = options_of(words)
                open_attempt = Attempt(
                    self.name,
                    words[2].decode(),
                    options["c"],
                    float(options.get("units", 1)),
                    int(options["d"]),
                    time.monotonic(),
                )
                self.attempts.append(open_attempt)
                self.record(
                    f"{self.name} got {words[0].decode()} {open_attempt.request_id} {words[3].decode()}",
                    open_attempt.received_at,
                )
                if self.hanging:
                    await reader.read(1)  # until the gateway gives the attempt up
                    break
                await asyncio.sleep(self.service_time_s)
                self.on_run(self, options.get("k", open_attempt.request_id))
                value = b"value-of-" + words[2]
                answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
                writer.write(b"-ERR failed\r\n" if self.failing else answer)
                await writer.drain()
                open_attempt.ended_at, open_attempt.ended_by = time.monotonic(), "answer"
                open_attempt = None
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            if open_attempt is not None:
                open_attempt.ended_at, open_attempt.ended_by = time.monotonic(), "end of connection"
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Discovery:
    """The agent: serves watches, chunked, one JSON object a line.

    `answer_delay_s` is how long a call waits for its answer; once a watch is answered, changes and
    heartbeats go out on it at once.
    """

    FIRST_GENERATION = 41

    def __init__(self, servers: list[RateServer], record: Record) -> None:
        self.servers, self.record = servers, record
        self.generation, self.answer_delay_s = self.FIRST_GENERATION, 0.0
        self.calls, self.answered, self.open_watches = 0, 0, 0
        self._history: list[tuple[int, bytes]] = []
        self._watches: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def snapshot(self) -> dict[str, Any]:
        entries = [server.entry() for server in self.servers if server.lifecycle != "DELETED"]
        return {"generation": self.generation, "reset": True, "instances": entries}

    def publish(self, *changed: RateServer) -> None:
        """Tell a change: it goes out on every open watch now, and to later calls with their answer."""
        self.generation += 1
        delta = {"generation": self.generation, "reset": False, "instances": [s.entry() for s in changed]}
        self._history.append((self.generation, json.dumps(delta).encode() + b"\n"))
        for writer in list(self._watches):
            self._chunk(writer, self._history[-1][1])
        states = ", ".join(f"{server.name} {server.lifecycle}" for server in changed)
        self.record(f"discovery has {states} (generation {self.generation}; {len(self._watches)} open watches)")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
        if not writer.transport.is_closing():
            writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = 0
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            number = self.calls
            since = int(head.split(b"from=")[1].split(b" ")[0])
            self.record(f"discovery got call {number}: watch from {since}")
            ended = asyncio.ensure_future(reader.read(1))
            if self.answer_delay_s:
                await asyncio.wait([ended], timeout=self.answer_delay_s)
                if ended.done():
                    self.record(f"call {number} was ended by the gateway before its answer")
                    return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            if since < self.FIRST_GENERATION:
                self._chunk(writer, json.dumps(self.snapshot()).encode() + b"\n")
            else:
                missed = [text for generation, text in self._history if generation > since]
                self._chunk(writer, b"".join(missed) or b"\n")
            self.answered += 1
            self.record(f"discovery answered call {number}")
            self._watches.add(writer)
            while not ended.done():
                await asyncio.wait([ended], timeout=HEARTBEAT_S)
                self._chunk(writer, b"\n")
            self.record(f"call {number} was ended by the gateway")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    def close(self) -> None:
        self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()


class Counter:
    """Named numbers: `bump NAME AMOUNT LIFE` gives the total; calls have their turn after `delay_s`."""

    def __init__(self, record: Record) -> None:
        self.record, self.delay_s = record, 0.001
        self._totals: dict[bytes, tuple[float, float]] = {}  # total, end of life
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def _bump(self, line: bytes) -> bytes:
        if line == b"ping":
            return b"pong\r\n"
        try:
            word, name, amount, life_ms = line.split(b" ")
            change, life_s = float(amount), min(int(life_ms), 60_000) / 1e3
        except ValueError:
            return b"error\r\n"
        if word != b"bump" or not 1 <= len(name) <= 64 or life_s <= 0:
            return b"error\r\n"
        now = time.monotonic()
        total, ends_at = self._totals.get(name, (0.0, 0.0))
        if ends_at <= now:
            total, ends_at = 0.0, now + life_s
        self._totals[name] = (total + change, ends_at)
        return b"ok %.7g\r\n" % (total + change)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer in the order of the calls, each `delay_s` after it came."""
        self._writers.add(writer)
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def answer() -> None:
            while True:
                due, line = await queue.get()
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                writer.write(self._bump(line))

        task = asyncio.ensure_future(answer())
        try:
            while line := await reader.readline():
                queue.put_nowait((time.monotonic() + self.delay_s, line.strip()))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            task.cancel()
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


def request_class(name: str, effect: str, **changes: Any) -> dict[str, Any]:
    """Return the settings of a class."""
    values = {
        "name": name,
        "effect": effect,
        "gain": 1.0,
        "giveUpUs": 10_000_000,
        "goalTimeUs": 3_000_000,
        "group": "all",
        "lateWorth": 0.0,
        "streamed": False,
        "windowUs": 6_000_000,
    }
    return values | changes


def settings(fleet_size: int, index: int, classes: list[dict[str, Any]], plans: list[dict[str, Any]]) -> dict[str, Any]:
    """Return settings in the form of the wire page, with the figures of the example there."""
    return {
        "areas": ["room-a", "room-b", "room-c"],
        "classes": classes,
        "clients": {"marksRetry": False},
        "extra": {
            "callPrice": 0.005,
            "countLimitUs": 80_000,
            "counter": True,
            "meterUs": 0,
            "peerIntake": 0.0,
            "truedUp": False,
            "unitsTop": 4,
        },
        "family": "gate",
        "fleetSize": fleet_size,
        "kinds": ["full", "slow"],
        "limits": {
            "connIdleUs": 30_000_000,
            "connectTimeoutUs": 250_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400_000,
            "maxAttempts": 3,
            "maxRetryAfterUs": 1_000_000,
            "mayCancel": True,
            "mostHeld": 20_000,
            "multiplex": 32,
            "peers": False,
            "probing": True,
            "retryAfter": True,
            "secondCopies": False,
        },
        "objectiveMix": {"whole": 0.45, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.3},
        "packages": plans,
        "prices": {},
        "registryMode": "automatic",
        "report": {"fields": [], "via": "off"},
        "safety": {
            "answerSlackUs": 16_000,
            "askWithinUs": 10_000_000,
            "coldFrom": 0.19,
            "coldUs": 17_000_000,
            "fallUs": 1_500_000,
            "stopSendingWithinUs": 500_000,
            "tipMultiple": 2.0,
        },
        "selfIndex": index,
        "stages": ["rate-servers"],
        "tickUs": 4_000,
        "tier": 0,
        "weights": "nominal",
        "zone": 0,
    }


def plan(name: str, **changes: Any) -> dict[str, Any]:
    """Return the settings of a plan without limits."""
    values = {
        "name": name,
        "beyondEarns": 0.0,
        "ceilingBurst": 0.0,
        "concurrency": 0,
        "hardSlack": 0.0,
        "mostAtOnce": 0.0,
        "neverOverRate": 0.0,
        "overCost": 1.0,
        "pays": 1.0,
        "quotaRate": 0.0,
    }
    return values | changes


def free_port() -> int:
    with socket.create_server((HOST, 0)) as listener:
        return listener.getsockname()[1]


@dataclass
class Gateway:
    """A gateway process, started with the command `run` of the deploy file."""

    name: str
    discovery: Discovery
    counter: Counter
    settings: dict[str, Any]
    record: Record
    folder: Path
    port: int = field(default_factory=free_port)
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        config = self.folder / f"{self.name}.json"
        document = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.snapshot(),
            "settings": self.settings,
        }
        config.write_text(json.dumps(document))
        temporary = self.folder / f"{self.name}.tmp"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir()
        environment = os.environ | {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"{HOST}:{self.port}",
            "EDGE_DISCOVERY": self.discovery.address,
            "EDGE_CONFIG": str(config),
            "TMPDIR": str(temporary),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", DEPLOY["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"gateway {self.name} started")

    async def wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            assert self.process is not None and self.process.poll() is None, "the gateway has ended"
            with contextlib.suppress(OSError):
                client = await Client.connect(self)
                client.writer.write(encode(b"PING"))
                answer = await client.read_answer()
                client.writer.close()
                if answer == b"+PONG":
                    self.record(f"gateway {self.name} answers PING")
                    return
            await asyncio.sleep(0.02)
        raise AssertionError("the gateway is not ready")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"gateway {self.name} gets {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait_for_end(self, deadline: float) -> int | None:
        """Return the exit status; None if the process still runs at the deadline."""
        assert self.process is not None
        while (status := self.process.poll()) is None and time.monotonic() < deadline:
            await asyncio.sleep(0.005)
        return status

    def log(self) -> str:
        return (self.folder / f"{self.name}.log").read_text()


class Client:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, gateway: Gateway) -> Client:
        return cls(*await asyncio.open_connection(HOST, gateway.port, limit=1 << 20))

    async def read_answer(self) -> bytes:
        """Return the next answer: a value, or a whole line of another type; b"" at the end of the input."""
        try:
            line = await self.reader.readline()
            if line.startswith(b"$"):
                return (await self.reader.readexactly(int(line[1:]) + 2))[:-2]
            return line.strip()
        except (ConnectionError, asyncio.IncompleteReadError):
            return b""


def call(request_id: str, class_name: str, plan_name: str, tenant: int, wait_ms: int, **more: Any) -> bytes:
    """Encode a client's command; `more` are further items of the list, and `body`, which makes it a POST."""
    body = more.pop("body", None)
    items = {"c": class_name, "t": plan_name, "d": wait_ms} | more
    words = [b"%016x" % tenant, request_id.encode(), ",".join(f"{k}={v}" for k, v in items.items()).encode()]
    return encode(b"CALL.GET", *words) if body is None else encode(b"CALL.POST", *words, body)


@contextlib.asynccontextmanager
async def platform(record: Record, server_count: int, service_time_s: float = 0.01):
    """Run the peers, and end everything that was started: yields servers, discovery, counter, folder, gateways."""
    folder = Path(tempfile.mkdtemp(prefix="rushroad-review-"))
    servers = [RateServer(f"s-{number}", record, service_time_s) for number in range(server_count)]
    discovery, counter = Discovery(servers, record), Counter(record)
    gateways: list[Gateway] = []
    for peer in (*servers, discovery, counter):
        await peer.listen()
    try:
        yield servers, discovery, counter, folder, gateways
    finally:
        for gateway in gateways:
            if gateway.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    gateway.process.kill()
                gateway.process.wait()
        for gateway in gateways:
            if text := gateway.log():
                record(f"log of {gateway.name}:\n{text}")
        for peer in (*servers, discovery, counter):
            peer.close()
        shutil.rmtree(folder, ignore_errors=True)


def run_case(folder: Path, case: Callable[[Record, bool], Any], limit_s: float = 110.0) -> int:
    """Run a case; return BROKEN if it returns broken rules, 0 if it returns none, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"TROUBLE={int(trouble)}")

    async def limited() -> list[str]:
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        broken = asyncio.run(limited())
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not run
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    for text in broken:
        record(f"BROKEN: {text}")
    print("broken: " + "; ".join(broken[:3]) if broken else "held")
    record("the rule was broken" if broken else "the rule held")
    record.close()
    return BROKEN if broken else 0
