"""The standing terms on real connections: what a gateway still sends once a client has gone."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, cast

import pytest

from lynxreel import gateway
from lynxreel.clients import MOST_OPEN, Clients, Connection
from lynxreel.gateway import Engine
from lynxreel.servers import Servers
from mothgap import interface as api
from tests.helpers import SETTINGS
from tests.net import LOCAL, TERMS, Heard, Peer, call, run
from tests.test_engine import Module
from tests.test_servers import LONG, OK, at

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets
ALLOWED = 0.1  # seconds after a close in which an attempt may still begin
Script = Callable[[api.Event], Iterator[api.Action]]


def send_after_waits(event: api.Event) -> Iterator[api.Action]:
    """A count, a first attempt, a pause after its outcome, a further attempt."""
    match event:
        case api.Request():
            yield api.Count(event.id, 1.0, 1_000)
        case api.Counted():
            yield api.Send(event.name, "s-1", LONG)
        case api.Outcome(final=False):
            yield api.SetTimer(0, event.request)
        case api.Timer():
            yield api.Send(event.token, "s-1", LONG)


class Noted:
    """A loop that notes after what spans it is asked to look for clients that have left."""

    def __init__(self) -> None:
        self._loop, self.spans = asyncio.get_running_loop(), list[float]()

    def call_later(self, span: float, what: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        if what.__name__ == "_look":
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
            self.engine.post(api.Counted(name, api.Result.OK, 0, 1.0))


class Line:
    """A gateway between one server and clients whose sockets act at once, between turns of the loop."""

    def __init__(self, engine: Engine, peer: Peer, clients: Clients) -> None:
        self.peer, self.clients = peer, clients
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
    monkeypatch.setattr("lynxreel.servers.SETTLE", 0.0)
    monkeypatch.setattr(gateway, "Gateway", Module)
    Module.script, Module.events = staticmethod(script), []

    async def start() -> None:
        loop = asyncio.get_running_loop()
        engine = Engine(SETTINGS, 1, loop)
        async with Peer() as peer:
            servers = engine.backend = Servers(engine, SETTINGS, 15_000_000, 8, loop)
            servers.update(at(peer.port), True)
            clients = Clients(engine, TERMS, 8, loop)
            await clients.listen(LOCAL, 0)
            line = Line(engine, peer, clients)
            await line.serve(line.client, 1)
            await scenario(line)
            line.client.close()
            servers.close()

    run(start)


async def until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0)


def leave(client: socket.socket, abrupt: bool) -> None:
    if abrupt:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    client.close()


def ended() -> int:
    """Requests that the module has been told to forget."""
    return sum(isinstance(event, api.Expired) for event in Module.events)


@pytest.mark.parametrize("abrupt", [True, False])
@pytest.mark.parametrize(
    ("wait", "requests"),
    [(api.Request, 3), (api.Counted, 1), (api.Counted, 200), (api.Outcome, 1), (api.Timer, 1)],
)
def test_no_attempt_begins_once_its_client_has_closed(
    monkeypatch: pytest.MonkeyPatch, wait: type[api.Event], requests: int, abrupt: bool
) -> None:
    # The close comes while the module is at work: the loop has no turn to read it before the next action.
    leaving: list[socket.socket] = []

    def script(event: api.Event) -> Iterator[api.Action]:
        if isinstance(event, wait) and leaving:
            leave(leaving.pop(), abrupt)
        yield from send_after_waits(event)

    async def scenario(line: Line) -> None:
        taken = min(requests, MOST_OPEN)
        if wait is api.Request:
            leaving.append(line.client)
        with line.connect() as other:
            line.client.sendall(b"".join(call(2 + number) for number in range(requests)))
            await until(lambda: len(line.counts.asked) == taken)
            if wait is api.Counted:
                leaving.append(line.client)
            line.counts.tell()
            if wait in (api.Outcome, api.Timer):
                writer, _ = await line.peer.hear()
                leaving.append(line.client)
                writer.write(b"-ERR failed\r\n")
            await until(lambda: ended() >= taken)
            assert (await line.serve(other, 1_000)).count(b"CALL.GET") == 1  # nothing came before it

    play(monkeypatch, script, scenario)


@pytest.mark.parametrize("abrupt", [True, False])
def test_what_waits_unread_behind_a_close_is_not_taken(monkeypatch: pytest.MonkeyPatch, abrupt: bool) -> None:
    # It would take its units of the quota, and perhaps be sent.
    monkeypatch.setattr("lynxreel.clients.LOOK", 60.0)  # answers make room before the next look

    async def scenario() -> None:
        heard = Heard()
        clients = Clients(cast(Engine, heard), TERMS, 8, asyncio.get_running_loop())
        await clients.listen(LOCAL, 0)
        client = socket.create_connection((LOCAL, clients.port))
        client.sendall(b"".join(call(number) for number in range(200)))
        taken = [await heard.calls.get() for _ in range(MOST_OPEN)]
        await until(lambda: taken[0].connection._holds == Connection.FULL)
        leave(client, abrupt)
        for got in reversed(taken):  # one write: only a second one would show that nobody reads
            got.failed()
        assert heard.calls.empty()

    run(scenario)


def test_a_client_that_is_not_read_is_looked_at_well_before_it_must_have_been_noticed() -> None:
    async def scenario() -> None:
        heard, loop = Heard(), Noted()
        clients = Clients(cast(Engine, heard), TERMS, 8, cast(asyncio.AbstractEventLoop, loop))
        await clients.listen(LOCAL, 0)
        client = socket.create_connection((LOCAL, clients.port))
        client.sendall(b"".join(call(number) for number in range(200)))
        for _ in range(MOST_OPEN):
            await heard.calls.get()
        client.close()
        for _ in range(MOST_OPEN):
            await heard.left.get()
        assert loop.spans and max(loop.spans) <= ALLOWED / 2  # the rest is for a busy loop

    run(scenario)
