"""Stand-ins for the peers of a gateway, and a runner of gateway processes, for the cases of the second review.

Only the standard library is used. Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
TIME_LEFT = re.compile(rb"(?:^|,)d=(\d+)(?:,|$)")
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2
now = time.monotonic


class CouldNotRun(Exception):
    """The case could not run."""


class Record:
    """The record of a run: a line for each thing that was sent, answered or run."""

    def __init__(self, path: Path | None) -> None:
        self.started = now()
        self._file = path.open("w") if path else None

    def __call__(self, text: str) -> None:
        if self._file:
            self._file.write(f"{now() - self.started:9.3f} {text}\n")
            self._file.flush()


def say(record: Record, text: str) -> None:
    record(text)
    print(text, flush=True)


def encode(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def value_answer(value: bytes, use: bytes = b"$-1\r\n", report: bytes = b"$-1\r\n") -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n" % (len(value), value) + use + report


async def read_command(reader: asyncio.StreamReader) -> tuple[list[bytes], float]:
    """Read one command; return its words and when its first byte came."""
    first = await reader.readexactly(1)
    came = now()
    if first != b"*":
        raise ValueError(f"not a command: {first!r}")
    words = []
    for _ in range(int(await reader.readline())):
        head = await reader.readline()
        words.append((await reader.readexactly(int(head[1:]) + 2))[:-2])
    return words, came


class Attempt:
    """A command that has come whole to a rate server."""

    def __init__(self, server: RateServer, words: list[bytes], first_byte: float) -> None:
        self.server, self.words = server, words
        self.first_byte, self.last_byte = first_byte, now()
        self.ended = float("inf")  # its answer is written or its connection has ended
        self.ran = False  # its effect was applied
        match = TIME_LEFT.search(words[3])
        self.time_left = int(match[1]) if match else 0

    @property
    def id(self) -> bytes:
        return self.words[2]


Serve = Callable[[Attempt], Awaitable[bytes | None]]


class RateServer:
    """A rate server. `serve` returns the bytes of the answer, or None to reset the connection."""

    def __init__(self, name: str, host: str, record: Record, serve: Serve | None = None) -> None:
        self.name, self.host, self.record, self.port = name, host, record, 0
        self.serve = serve or self.serve_soundly
        self.work_s = 0.05
        self.zone, self.cell, self.kind, self.lifecycle, self.started_ms = "room-a", 1, "full", "SERVING", 0
        self.attempts: list[Attempt] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.vanished = False  # the machine is cut off: it says nothing
        self._listener: asyncio.Server | None = None

    async def listen(self) -> None:
        self._listener = await asyncio.start_server(self._accept, self.host, self.port, backlog=512)
        self.port = self._listener.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": f"{self.host}:{self.port}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }

    async def serve_soundly(self, attempt: Attempt) -> bytes | None:
        await asyncio.sleep(self.work_s)
        attempt.ran = True
        return value_answer(b"for " + attempt.id)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                words, first_byte = await read_command(reader)
                if words[0] in (b"PING", b"CLIENT", b"SELECT"):
                    writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"+OK\r\n")
                    continue
                attempt = Attempt(self, words, first_byte)
                self.attempts.append(attempt)
                self.record(f"{self.name} got {b' '.join(words[:4]).decode()}")
                await self._answer(attempt, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def _answer(self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        serving = asyncio.ensure_future(self.serve(attempt))
        try:
            while not serving.done():
                await asyncio.wait([serving], timeout=0.005)
                if reader.at_eof() or writer.transport.is_closing():
                    attempt.ended = min(attempt.ended, now())
                    self.record(f"{self.name} attempt of {attempt.id.decode()} was given up")
                    raise ConnectionError
            answer = serving.result()
            attempt.ended = min(attempt.ended, now())
            if answer is None:
                self.record(f"{self.name} resets the connection under {attempt.id.decode()}")
                raise ConnectionError
            if self.vanished:
                await asyncio.Event().wait()
            writer.write(answer)
            self.record(f"{self.name} answers {attempt.id.decode()}: {answer[:40]!r}")
        finally:
            serving.cancel()

    def stop(self) -> None:
        """End like a process that dies: refuse connections and reset the open ones."""
        if self._listener:
            self._listener.close()
            self._listener = None
        for writer in list(self.connections):
            writer.transport.abort()


class Link:
    """The way from one gateway to a rate server. While it is cut, nothing passes and no new connection comes up."""

    def __init__(self, server: RateServer) -> None:
        self.server, self.port = server, 0
        self._passes = asyncio.Event()
        self._passes.set()
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        self._accepting = asyncio.ensure_future(self._accept())

    def entry(self) -> dict[str, Any]:
        return self.server.entry() | {"hostPort": f"127.0.0.1:{self.port}"}

    def cut(self) -> None:
        """Stop to pass anything; the queue of new connections is filled, so that no other comes up."""
        self._passes.clear()
        self._accepting.cancel()
        self._socket.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(filler)

    def heal(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        self._socket.listen(512)
        self._passes.set()
        self._accepting = asyncio.ensure_future(self._accept())

    async def _accept(self) -> None:
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self._socket)
            task = asyncio.ensure_future(self._serve(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            near = await asyncio.open_connection(sock=accepted)
            far = await asyncio.open_connection(self.server.host, self.server.port)
        except OSError:
            accepted.close()
            return
        await asyncio.wait([asyncio.ensure_future(self._pass_on(near[0], far[1])),
                            asyncio.ensure_future(self._pass_on(far[0], near[1]))])
        near[1].transport.abort()
        far[1].transport.abort()

    async def _pass_on(self, source: asyncio.StreamReader, target: asyncio.StreamWriter) -> None:
        try:
            while data := await source.read(1 << 16):
                await self._passes.wait()
                target.write(data)
        except ConnectionError:
            pass
        await self._passes.wait()
        target.close()


class Agent:
    """A gateway's discovery agent. While `silent` it says nothing; `send_head` says when it sends the head."""

    def __init__(self, servers: Sequence[RateServer | Link], record: Record) -> None:
        self.servers, self.record = servers, record
        self.generation, self.history = 41, list[tuple[int, bytes]]()
        self.silent = False
        self.head_at_once = False  # the head of the answer is sent as soon as the request has come
        self.watches: dict[asyncio.StreamWriter, int] = {}  # generation that each has been sent
        self._headed: set[asyncio.StreamWriter] = set()
        self.address, self.requests = "", 0
        self._listener: asyncio.Server

    async def listen(self) -> None:
        self._listener = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % self._listener.sockets[0].getsockname()[1]
        self._beats = asyncio.ensure_future(self._heartbeats())

    def whole(self) -> dict[str, Any]:
        entries = [entry for server in self.servers if (entry := server.entry())["lifecycle"] != "DELETED"]
        return {"generation": self.generation, "reset": True, "instances": entries}

    def tell(self, *servers: RateServer) -> None:
        """Change the list; what is told is sent on all watches unless silent."""
        self.generation += 1
        entries = [server.entry() for server in servers]
        change = {"generation": self.generation, "reset": False, "instances": entries}
        self.history.append((self.generation, json.dumps(change).encode() + b"\n"))
        self.record("discovery has: " + ", ".join(f"{s.name} {s.lifecycle}" for s in servers))
        if not self.silent:
            for writer in list(self.watches):
                self._catch_up(writer)

    def resume(self) -> None:
        self.silent = False
        for writer in list(self.watches):
            self._catch_up(writer)

    def _head(self, writer: asyncio.StreamWriter) -> None:
        if writer not in self._headed:
            self._headed.add(writer)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
        if not writer.transport.is_closing():
            writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    def _catch_up(self, writer: asyncio.StreamWriter) -> None:
        self._head(writer)
        since = self.watches[writer]
        if since < 41:
            self._chunk(writer, json.dumps(self.whole()).encode() + b"\n")
        for generation, text in self.history:
            if generation > since >= 41:
                self._chunk(writer, text)
        if since == self.generation:
            self._chunk(writer, b"\n")
        self.watches[writer] = self.generation

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            match = re.search(rb"from=(\d+)", head)
            self.requests += 1
            self.watches[writer] = int(match[1]) if match else 0
            if self.head_at_once:
                self._head(writer)
            if not self.silent:
                self._catch_up(writer)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self.watches.pop(writer, None)
        self._headed.discard(writer)
        writer.transport.abort()

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            if not self.silent:
                for writer in list(self.watches):
                    self._chunk(writer, b"\n")


class Counter:
    """The shared counter; while `down` it says nothing."""

    def __init__(self) -> None:
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.down = False
        self.address = ""

    async def listen(self) -> None:
        self._listener = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % self._listener.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                while self.down:
                    await asyncio.sleep(0.02)
                writer.write(self._reply(line.split()))
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.transport.abort()

    def _reply(self, words: list[bytes]) -> bytes:
        if words == [b"ping"]:
            return b"pong\r\n"
        try:
            _, name, amount, life = words
            total, ends = self.totals.get(name, (0.0, 0.0))
            if ends <= now():
                total, ends = 0.0, now() + min(int(life), 60_000) / 1e3
            self.totals[name] = (total + float(amount), ends)
        except ValueError:
            return b"error\r\n"
        return b"ok %.7g\r\n" % self.totals[name][0]


SMALL_PLAN = {"name": "small", "quotaRate": 2.3, "mostAtOnce": 10.0, "neverOverRate": 0.0, "overCost": 1.2, "pays": 1.1}


def request_class(name: str, effect: str, gain: float = 1.0, **other: Any) -> dict[str, Any]:
    return {
        "name": name, "effect": effect, "gain": gain, "giveUpUs": 10_000_000, "goalTimeUs": 3_000_000,
        "group": "all", "lateWorth": 0.0, "streamed": False, "windowUs": 6_000_000,
    } | other


def settings(classes: list[dict[str, Any]], plans: list[dict[str, Any]], fleet: int, index: int, **limits: Any) -> dict[str, Any]:
    """Return the settings of one gateway, with the figures of the example of the wire page."""
    return {
        "areas": ["room-a", "room-b", "room-c"], "classes": classes, "clients": {"marksRetry": False},
        "extra": {"callPrice": 0.005, "countLimitUs": 80_000, "counter": True, "meterUs": 0, "truedUp": False, "unitsTop": 4},
        "family": "gate", "fleetSize": fleet, "kinds": ["full", "slow"],
        "limits": {"connIdleUs": 30_000_000, "connectTimeoutUs": 250_000, "maxAttempts": 3, "maxRetryAfterUs": 1_000_000,
                   "mayCancel": True, "mostHeld": 20_000, "multiplex": 32, "peers": False, "probing": True,
                   "retryAfter": True, "secondCopies": False} | limits,
        "packages": plans, "registryMode": "automatic", "report": {"fields": [], "via": "off"},
        "safety": {"answerSlackUs": 16_000, "askWithinUs": 10_000_000, "coldFrom": 0.19, "coldUs": 17_000_000,
                   "fallUs": 1_500_000, "stopSendingWithinUs": 500_000, "tipMultiple": 2.0},
        "selfIndex": index, "stages": ["rate-servers"], "tickUs": 4_000, "tier": 0, "weights": "off", "zone": 0,
    }


class Gateway:
    """A gateway process, started with the deploy file's `run`."""

    def __init__(self, name: str, folder: str, document: dict[str, Any], record: Record) -> None:
        self.name, self.document, self.record = name, document, record
        self.folder = Path(folder)
        self.path, self.log = self.folder / f"{name}.json", self.folder / f"{name}.log"
        with socket.create_server(("127.0.0.1", 0)) as probe:
            self.port = probe.getsockname()[1]
        self.process: subprocess.Popen[bytes] | None = None
        self.ended = False

    def write_configuration(self) -> None:
        self.path.write_text(json.dumps(self.document | {"name": self.name, "listen": f"127.0.0.1:{self.port}"}))

    def start(self) -> None:
        self.write_configuration()
        scratch = tempfile.mkdtemp(dir=self.folder)
        environment = {**os.environ, "EDGE_CONFIG": str(self.path), "EDGE_NAME": self.name, "TMPDIR": scratch,
                       "EDGE_LISTEN": f"127.0.0.1:{self.port}", "EDGE_DISCOVERY": self.document["discovery"]}
        # The platform holds a gateway to its limit of descriptors.
        command = f"ulimit -n {self.document['limits']['sockets']}; {RUN}"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record(f"{self.name} starts as process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process
        self.record(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def ready(self) -> None:
        deadline = now() + 30
        while now() < deadline:
            assert self.process
            if self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} ended: {self.log.read_text()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(encode(b"PING"))
                answer = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.03)
        raise CouldNotRun(f"{self.name} is not ready after 30 s")

    def copy_log(self) -> None:
        """Copy the first and the last lines of what it wrote into the record."""
        lines = self.log.read_text(errors="replace").splitlines() if self.log.exists() else []
        for line in lines if len(lines) <= 10 else [*lines[:5], "...", *lines[-5:]]:
            self.record(f"{self.name} wrote: {line[:300]}")

    def kill(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return a whole answer: a value after `$`, or a line of another type; b"" if the connection ended first."""
    try:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return b""
        if line.startswith(b"$") and line != b"$-1\r\n":
            return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]
        return line[:-2]
    except (ConnectionError, asyncio.IncompleteReadError):
        return b""


class Sent:
    """A request as its client sees it."""

    def __init__(self, gateway: Gateway, request_id: bytes, class_name: str, wait_s: float) -> None:
        self.gateway, self.id, self.class_name, self.wait_s = gateway, request_id, class_name, wait_s
        self.sent_at = now()
        self.answer: bytes | None = None
        self.answered_at = float("inf")
        self.left_at = float("inf")  # when its client closed the connection

    @property
    def kind(self) -> str:
        if self.answer is None or self.answer == b"":
            return "none"
        return {b"$": "served", b"*": "served"}.get(self.answer[:1], "refused" if self.answer.startswith(b"-BUSY") else "failed")


class Front:
    """Clients: they keep their connections and open more when all are busy."""

    def __init__(self, record: Record) -> None:
        self.record, self.sent = record, list[Sent]()
        self._idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self._count = 0

    def command(self, class_name: str, safe: bool, wait_s: float, customer: int, options: str, body: bytes) -> tuple[bytes, bytes]:
        self._count += 1
        request_id = b"%016x" % (self._count * 7919)
        text = f"c={class_name},t=small,d={int(wait_s * 1000)},{options}".encode()
        words = [b"CALL.GET" if safe else b"CALL.POST", b"%016x" % customer, request_id, text]
        return request_id, encode(*words, *([] if safe else [body]))

    async def request(self, gateway: Gateway, class_name: str, safe: bool, wait_s: float, customer: int = 7,
                      options: str = "units=1,spread=1,first=0", body: bytes = b"BODY", key: bool = False,
                      leave_s: float | None = None, slack_s: float = 1.0) -> Sent:
        """Send a request; wait for its answer until `slack_s` after its time."""
        if key:
            options += f",k={self._count + 1:016x}"
        request_id, data = self.command(class_name, safe, wait_s, customer, options, body)
        sent = Sent(gateway, request_id, class_name, wait_s)
        self.sent.append(sent)
        self.record(f"client sends {request_id.decode()} {class_name} d={wait_s:g} s to {gateway.name}")
        for _ in range(2):  # once more, if a close has crossed the request
            connection = await self._connection(gateway)
            if connection is None:
                break
            reader, writer = connection
            try:
                writer.write(data)
                limit = leave_s if leave_s is not None else wait_s + slack_s
                sent.answer = await asyncio.wait_for(read_answer(reader), limit)
            except TimeoutError:
                sent.left_at = now()
                writer.transport.abort()
                break
            except ConnectionError:
                sent.answer = b""
            if sent.answer:
                sent.answered_at = now()
                self._idle.setdefault(gateway.name, []).append(connection)
                break
            writer.transport.abort()
        self.record(f"client got for {request_id.decode()}: {(sent.answer or b'nothing')[:60]!r}")
        return sent

    async def _connection(self, gateway: Gateway) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        idle = self._idle.setdefault(gateway.name, [])
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.transport.abort()
        try:
            return await asyncio.wait_for(asyncio.open_connection("127.0.0.1", gateway.port), 5)
        except (OSError, TimeoutError):
            return None

    def forget(self, gateway: Gateway) -> None:
        for _, writer in self._idle.pop(gateway.name, []):
            writer.transport.abort()


def client_connections(port: int) -> int:
    """Return how many connections clients hold to this port, as the system's table of connections shows."""
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table.readlines()[1:]]
    return sum(row[3] == "01" and int(row[2].rpartition(":")[2], 16) == port for row in rows)


def descriptors(process_id: int) -> int:
    return len(os.listdir(f"/proc/{process_id}/fd"))


def run_case(folder: str, case: Callable[[Record, bool, str], Awaitable[bool]], limit_s: float = 110) -> None:
    """Run a case: it gets the record, whether there is trouble, and a scratch folder; true means that the rule held.

    All gateways that it started are killed at the end, also after SIGTERM or SIGINT.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    started: list[Gateway] = []
    start_process = Gateway.start

    def start(gateway: Gateway) -> None:
        if gateway not in started:
            started.append(gateway)
        start_process(gateway)

    Gateway.start = start  # type: ignore[method-assign]
    status = EXIT_COULD_NOT_RUN

    async def bounded(scratch: str) -> bool:
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        task = asyncio.ensure_future(case(record, trouble, scratch))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, limit_s)

    scratch = tempfile.mkdtemp()
    loop = asyncio.new_event_loop()
    try:
        status = EXIT_HELD if loop.run_until_complete(bounded(scratch)) else EXIT_BROKEN
    except BaseException as error:  # noqa: BLE001 - any error means that the case could not run
        say(record, f"could not run: {type(error).__name__}: {error}")
    finally:
        for gateway in started:
            gateway.kill()
            gateway.copy_log()
        shutil.rmtree(scratch, ignore_errors=True)
    say(record, {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[status])
    sys.stdout.flush()
    os._exit(status)  # without waiting for the stand-ins' open connections
