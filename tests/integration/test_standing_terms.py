"""The standing terms on real connections: what is told, clients that have gone, crowds, hard starts."""

import asyncio
import contextlib
import itertools
import json
import random
import select
import signal
import socket
import struct
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any, cast

import pytest

from rushroad.policy.actions import Action, CounterAdd, SetTimer, StartAttempt
from rushroad.policy.events import (
    AttemptOutcome,
    ClientDisconnected,
    CounterReply,
    EndpointUpdate,
    Event,
    Request,
    Result,
    TimerFired,
)
from rushroad.proxy import discovery, engine
from rushroad.proxy.client_connection import MAX_UNANSWERED, BlockReason
from rushroad.proxy.client_listener import ClientListener
from rushroad.proxy.discovery import Discovery
from rushroad.proxy.engine import Engine
from rushroad.proxy.upstream import Upstream
from tests.integration.test_process import (
    GATEWAY,
    PATIENCE,
    RUN,
    accept,
    config,
    connect,
    free_port,
    listener,
    start,
)
from tests.proxy.test_engine import Module
from tests.proxy.test_upstream import LONG, OK, at
from tests.support.gateway_driver import SETTINGS
from tests.support.loopback import LOCAL, NAMES, SCHEMA, Heard, Peer, call, resp, run

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets
PING, PONG = resp(b"PING"), b"+PONG\r\n"
SOCKETS = 128
CROWD = 400  # clients that idle: more than there are descriptors
TOLD = 6.0  # seconds after which what discovery has counts as told
ALLOWED = 0.1  # seconds after a close in which an attempt may still begin
Script = Callable[[Event], Iterator[Action]]


def send_after_waits(event: Event) -> Iterator[Action]:
    """A count, a first attempt, a pause after its outcome, a further attempt."""
    match event:
        case Request():
            yield CounterAdd(event.id, 1.0, 1_000)
        case CounterReply():
            yield StartAttempt(event.name, "s-1", LONG)
        case AttemptOutcome(final=False):
            yield SetTimer(0, event.request_id)
        case TimerFired():
            yield StartAttempt(event.token, "s-1", LONG)


class Noted:
    """A loop that notes after what spans it is asked to look for clients that have left."""

    def __init__(self) -> None:
        self._loop, self.spans = asyncio.get_running_loop(), list[float]()

    def call_later(self, span: float, what: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        if what.__name__ == "_poll":
            self.spans.append(span)
        return self._loop.call_later(span, what, *args)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


class Held:
    """Stands in for a counter that answers when the test says so."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.asked: list[int] = []

    def add(self, name: int, amount: float, lifetime: int) -> None:
        self.asked.append(name)

    def tell(self) -> None:
        """All totals, with no turn of the loop between them."""
        asked, self.asked = self.asked, []
        for name in asked:
            self.engine.post(CounterReply(name, Result.OK, 0, 1.0))


class Line:
    """A gateway between one server and clients whose sockets act at once, between turns of the loop."""

    def __init__(self, engine: Engine, peer: Peer, clients: ClientListener, servers: Upstream) -> None:
        self.peer, self.clients, self.servers = peer, clients, servers
        self.counts = engine.counter = Held(engine)
        self.client = self.connect()

    def connect(self) -> socket.socket:
        """One more client."""
        client = socket.create_connection((LOCAL, self.clients.port))
        client.setblocking(False)
        return client

    async def serve(self, client: socket.socket, number: int) -> bytes:
        """What the server hears before a request of this client is served; its connection rests then."""
        client.sendall(call(number))
        await until(lambda: bool(self.counts.asked))
        self.counts.tell()
        heard = b""
        while b"%016x" % number not in heard:
            writer, data = await self.peer.came.get()
            heard += data
        writer.write(OK)
        assert (await asyncio.get_running_loop().sock_recv(client, 4096)).startswith(b"$")
        return heard


def play(
    monkeypatch: pytest.MonkeyPatch, script: Script, scenario: Callable[[Line], Awaitable[None]]
) -> None:
    """Play a scenario on an idle connection to the server, which an attempt takes at once."""
    monkeypatch.setattr("rushroad.proxy.upstream.SETTLE", 0.0)
    monkeypatch.setattr(engine, "Gateway", Module)
    Module.script, Module.events = staticmethod(script), []

    async def start() -> None:
        loop = asyncio.get_running_loop()
        engine = Engine(SETTINGS, 1, loop)
        async with Peer() as peer:
            servers = engine.backend = Upstream(engine, SETTINGS, 15_000_000, 8, loop)
            servers.update_endpoints(at(peer.port), True)
            clients = ClientListener(engine, SCHEMA, 8, loop)
            await clients.listen(LOCAL, 0)
            line = Line(engine, peer, clients, servers)
            await line.serve(line.client, 1)
            await scenario(line)
            line.client.close()
            servers.close()

    run(start)


class Instant:
    """A loop on which something happens in the very turn in which a connect comes up."""

    def __init__(self, then: Callable[[], None]) -> None:
        self._loop, self._then = asyncio.get_running_loop(), then

    async def create_connection(self, *args: Any) -> Any:
        made = await self._loop.create_connection(*args)
        self._then()
        return made

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


async def until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0)


def leave(client: socket.socket, abrupt: bool) -> None:
    if abrupt:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    client.close()


def ended() -> int:
    """Requests that the module has been told to forget."""
    return sum(isinstance(event, ClientDisconnected) for event in Module.events)


@pytest.mark.parametrize("abrupt", [True, False])
@pytest.mark.parametrize(
    ("wait", "requests"),
    [(Request, 3), (CounterReply, 1), (CounterReply, 200), (AttemptOutcome, 1), (TimerFired, 1)],
)
def test_no_attempt_begins_once_its_client_has_closed(
    monkeypatch: pytest.MonkeyPatch, wait: type[Event], requests: int, abrupt: bool
) -> None:
    # The close comes while the module is at work: the loop has no turn to read it before the next action.
    leaving: list[socket.socket] = []

    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, wait) and leaving:
            leave(leaving.pop(), abrupt)
        yield from send_after_waits(event)

    async def scenario(line: Line) -> None:
        taken = min(requests, MAX_UNANSWERED)
        if wait is Request:
            leaving.append(line.client)
        with line.connect() as other:
            line.client.sendall(b"".join(call(2 + number) for number in range(requests)))
            await until(lambda: len(line.counts.asked) == taken)
            if wait is CounterReply:
                leaving.append(line.client)
            line.counts.tell()
            if wait in (AttemptOutcome, TimerFired):
                writer, _ = await line.peer.hear()
                leaving.append(line.client)
                writer.write(b"-ERR failed\r\n")
            await until(lambda: ended() >= taken)
            assert (await line.serve(other, 1_000)).count(b"CALL.GET") == 1  # nothing came before it

    play(monkeypatch, script, scenario)


@pytest.mark.parametrize("abrupt", [True, False])
def test_a_connection_that_comes_up_after_the_close_carries_nothing_of_that_client(
    monkeypatch: pytest.MonkeyPatch, abrupt: bool
) -> None:
    async def scenario(line: Line) -> None:
        line.servers.loop = cast(asyncio.AbstractEventLoop, Instant(lambda: leave(line.client, abrupt)))
        line.servers.drop_idle(line.servers.loop.time() + 60.0)
        with line.connect() as other:
            line.client.sendall(call(2))
            await until(lambda: bool(line.counts.asked))
            line.counts.tell()
            await until(lambda: ended() == 1)
            line.servers.loop = asyncio.get_running_loop()
            assert (await line.serve(other, 3)).count(b"CALL.GET") == 1  # nothing came before it

    play(monkeypatch, send_after_waits, scenario)


@pytest.mark.parametrize("abrupt", [True, False])
def test_no_attempt_begins_for_a_client_that_closes_while_the_gateway_stops(
    monkeypatch: pytest.MonkeyPatch, abrupt: bool
) -> None:
    leaving: list[socket.socket] = []

    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, CounterReply) and leaving:
            leave(leaving.pop(), abrupt)
        yield from send_after_waits(event)

    async def scenario(line: Line) -> None:
        line.client.sendall(call(2) + call(3) + call(4)[:-5])
        await until(lambda: len(line.counts.asked) == 2)
        stop = asyncio.create_task(line.clients.stop(0.0, 60.0))
        await until(lambda: line.clients.connections.shutting_down)
        leaving.append(line.client)
        line.counts.tell()
        await until(lambda: ended() == 2)
        await stop
        line.servers.close()
        assert (await line.peer.came.get())[1] == b""  # the end of the idle connection, and nothing before

    play(monkeypatch, script, scenario)


@pytest.mark.parametrize("abrupt", [True, False])
def test_what_waits_unread_behind_a_close_is_not_taken(monkeypatch: pytest.MonkeyPatch, abrupt: bool) -> None:
    # It would take its units of the quota, and perhaps be sent.
    # Answers make room before the next poll.
    monkeypatch.setattr("rushroad.proxy.disconnect_poll.POLL_INTERVAL", 60.0)

    async def scenario() -> None:
        heard = Heard()
        clients = ClientListener(cast(Engine, heard), SCHEMA, 8, asyncio.get_running_loop())
        await clients.listen(LOCAL, 0)
        client = socket.create_connection((LOCAL, clients.port))
        client.sendall(b"".join(call(number) for number in range(200)))
        taken = [await heard.calls.get() for _ in range(MAX_UNANSWERED)]
        await until(lambda: taken[0].connection._blocked_by == BlockReason.PIPELINE_FULL)
        leave(client, abrupt)
        for got in reversed(taken):  # one write: only a second one would show that nobody reads
            got.fail()
        assert heard.calls.empty()

    run(scenario)


def test_a_client_that_is_not_read_is_looked_at_well_before_it_must_have_been_noticed() -> None:
    async def scenario() -> None:
        heard, loop = Heard(), Noted()
        clients = ClientListener(cast(Engine, heard), SCHEMA, 8, cast(asyncio.AbstractEventLoop, loop))
        await clients.listen(LOCAL, 0)
        client = socket.create_connection((LOCAL, clients.port))
        client.sendall(b"".join(call(number) for number in range(200)))
        for _ in range(MAX_UNANSWERED):
            await heard.calls.get()
        client.close()
        for _ in range(MAX_UNANSWERED):
            await heard.left.get()
        assert loop.spans and max(loop.spans) <= ALLOWED / 2  # the rest is for a busy loop

    run(scenario)


def port_of(peer: socket.socket) -> int:
    port: int = peer.getsockname()[1]
    return port


def tell_list(watch: socket.socket, server: int) -> None:
    """Answer a watch with a whole list of one server."""
    entry = {"instanceId": "s-2", "hostPort": f"{LOCAL}:{server}", "lifecycle": "SERVING"}
    text = json.dumps({"generation": 42, "reset": True, "instances": [entry]}).encode() + b"\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    watch.sendall(head + b"%x\r\n%b\r\n" % (len(text), text))


@pytest.mark.parametrize("moved", [True, False])
def test_a_crowd_of_idle_clients_keeps_neither_discovery_nor_the_counter_out(
    tmp_path: Path, moved: bool
) -> None:
    # They come while the watch and the counter are down, faster than the process can shut any.
    with contextlib.ExitStack() as stack:
        discovery, elsewhere, counter, server = (stack.enter_context(listener()) for _ in range(4))
        listen = free_port()
        text = config(port_of(discovery), port_of(counter), listen)
        text["limits"]["sockets"] = SOCKETS
        process = stack.enter_context(start(tmp_path, json.dumps(text), f"ulimit -n {SOCKETS}; {RUN}"))
        watch, first = accept(discovery, process), connect(listen, process)
        first.sendall(PING)
        assert first.recv(64) == PONG
        lines = [accept(counter, process) for _ in range(2)]
        process.send_signal(signal.SIGSTOP)
        for end in [watch, *lines]:
            end.close()
        if moved:
            (tmp_path / "config.json").write_text(
                json.dumps(text | {"discovery": f"{LOCAL}:{port_of(elsewhere)}"})
            )
            process.send_signal(signal.SIGHUP)
        for _ in range(CROWD):
            stack.enter_context(socket.create_connection((GATEWAY, listen))).sendall(PING)
        process.send_signal(signal.SIGCONT)

        for _ in range(2):
            stack.enter_context(accept(counter, process))
        watch = stack.enter_context(accept(elsewhere if moved else discovery, process))
        assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 ")
        tell_list(watch, port_of(server))
        client = stack.enter_context(connect(listen, process))
        numbers, last = itertools.count(1), time.monotonic() + PATIENCE
        while not select.select([server], [], [], 0)[0]:  # until the list is known
            client.sendall(call(next(numbers), b"c=lookup,t=basic,d=900,units=1,spread=1,first=0"))
            assert client.recv(64)
            assert time.monotonic() < last, "the new list is not sent to"
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=PATIENCE) == 0


@pytest.mark.parametrize(
    ("agent", "counter"),
    [("none", "full"), ("silent", "silent"), ("full", "none"), ("full", "full"), ("odd", "silent")],
)
def test_a_start_waits_for_neither_discovery_nor_the_counter(
    tmp_path: Path, agent: str, counter: str
) -> None:
    with contextlib.ExitStack() as stack:
        peers = {how: stack.enter_context(listener()) for how in ("silent", "full", "odd")}
        fill(peers["full"], stack)
        ports = {how: port_of(peer) for how, peer in peers.items()} | {"none": 1}
        listen = free_port()
        text = json.dumps(config(ports[agent], ports[counter], listen), indent="\t")
        process = stack.enter_context(start(tmp_path, "\r\n " + text))
        if agent == "odd":
            accept(peers["odd"], process).sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}")
        client = stack.enter_context(connect(listen, process))
        client.sendall(PING)
        assert client.recv(64) == PONG
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=PATIENCE) == 0


def fill(peer: socket.socket, stack: contextlib.ExitStack) -> None:
    """Let no further connection to it come up: what a lost or hanging machine looks like."""
    peer.listen(0)
    for _ in range(4):
        end = stack.enter_context(socket.socket())
        end.setblocking(False)
        end.connect_ex(peer.getsockname())


def test_an_agent_that_could_not_be_reached_is_asked_long_before_its_news_counts_as_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Refused, reset, failed, given up as silent: after each call the next comes at once, however many failed.
    pauses: list[float] = []
    sleep = asyncio.sleep

    async def noted(span: float) -> None:
        pauses.append(span)
        await sleep(0)

    async def scenario() -> None:
        told, loop = asyncio.Queue[EndpointUpdate](), asyncio.get_running_loop()
        with socket.socket() as agent:
            agent.bind((LOCAL, 0))  # it does not listen: connects are refused
            agent.setblocking(False)
            address, chance = agent.getsockname(), random.Random(1)
            watch = Discovery(address, 41, NAMES, lambda news, _: told.put_nowait(news), loop, chance)
            while len(pauses) < 40:
                await sleep(0)
            agent.listen()
            for answer in (b"", b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"):
                with (await loop.sock_accept(agent))[0] as end:
                    end.sendall(answer)
            silent, _ = await loop.sock_accept(agent)
            end, _ = await loop.sock_accept(agent)
            tell_list(end, 81)
            assert (await told.get()).version == 42
            watch.close()
            silent.close()
            end.close()

    monkeypatch.setattr("rushroad.proxy.discovery.asyncio.sleep", noted)
    run(scenario)
    longest = max(pauses)
    assert longest <= discovery.MAX_RECONNECT_PAUSE
    # A watch falls silent, another is opened, which finds an agent that just then could not be reached.
    assert (
        discovery.SILENCE_TIMEOUT + discovery.RESPONSE_TIMEOUT + 2 * longest + discovery.RESPONSE_TIMEOUT
        < TOLD
    )
