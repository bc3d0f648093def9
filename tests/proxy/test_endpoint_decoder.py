"""Lists of tens of thousands of servers: taken in parts, a turn of the loop for each, however they end."""

import asyncio
import contextlib
import gc
import json
import random
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, cast

import pytest

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, Result, UpdateKind
from rushroad.proxy import discovery as module
from rushroad.proxy import endpoint_decoder
from rushroad.proxy.configuration import READ_BYTES, read_document
from rushroad.proxy.discovery import Discovery
from rushroad.proxy.endpoint_decoder import MAX_ENDPOINTS_PER_PART, ListedEndpoint
from rushroad.proxy.engine import Attempt, Engine
from rushroad.proxy.garbage_collection import FREEZE_AFTER, EndpointFreezer
from rushroad.proxy.json_splitter import RUN_BYTES, JsonRun, JsonSplitter
from rushroad.proxy.nonblocking_log import NonBlockingLog
from rushroad.proxy.upstream import Connection, Upstream
from tests.proxy.test_discovery import HEAD, chunk, line
from tests.proxy.test_upstream import FAST, OK, held
from tests.support.gateway_process import configuration as config
from tests.support.gateway_process import connect, free_port
from tests.support.gateway_process import running_gateway as start
from tests.support.loopback import LOCAL, NAMES, Heard, Peer, call, run

LONG = 20_000  # entries
News = list[tuple[int, EndpointUpdate]]  # the turn of the loop in which it came, and what


@pytest.fixture(autouse=True)
def fresh(monkeypatch: pytest.MonkeyPatch) -> None:
    """What other tests have logged in the same second must not crowd out this one; connections don't rest."""
    fresh_log = NonBlockingLog()
    monkeypatch.setattr(module, "log", fresh_log)
    monkeypatch.setattr(endpoint_decoder, "log", fresh_log)
    monkeypatch.setattr("rushroad.proxy.upstream.SETTLE", 0.0)


def entries(count: int) -> list[dict[str, Any]]:
    """The last one drains."""
    lines = [
        {"instanceId": f"s-{n}", "hostPort": f"{LOCAL}:{n % 60_000 + 1}", "lifecycle": "SERVING"}
        for n in range(count)
    ]
    return [*lines[:-1], lines[-1] | {"lifecycle": "DRAINING"}]


def whole(count: int = LONG, reset: bool = True, indent: int | None = None) -> bytes:
    text = {"generation": 50, "reset": reset, "instances": entries(count)}
    return json.dumps(text, indent=indent).encode() + b"\n"


class Watched:
    """A watch on a peer, and what it told."""

    def __init__(self, peer: Peer, memory: int) -> None:
        loop = asyncio.get_running_loop()
        self.peer, self.news, self.turn = peer, News(), 0
        self.came = asyncio.Event()
        address, chance = (LOCAL, peer.port), random.Random(1)
        self.discovery = Discovery(address, 41, NAMES, self._note, loop, chance, memory)
        loop.call_soon(self._count_turn)

    def _count_turn(self) -> None:
        self.turn += 1
        asyncio.get_running_loop().call_soon(self._count_turn)

    def _note(self, members: EndpointUpdate, lines: list[ListedEndpoint]) -> None:
        assert members.endpoints == tuple(member for member, _ in lines)
        self.news.append((self.turn, members))
        self.came.set()

    async def until(self, version: int) -> None:
        while self.discovery.version != version:
            self.came.clear()
            await self.came.wait()
            await asyncio.sleep(0)

    async def asked_again(self) -> bytes:
        while (heard := (await self.peer.hear())[1]) == b"":
            pass
        return heard

    def named(self) -> list[str]:
        return [member.name for _, members in self.news for member in members.endpoints]


def play(
    scenario: Callable[[Watched], Awaitable[None]], memory: int = endpoint_decoder.DEFAULT_MEMORY_LIMIT
) -> None:
    async def start() -> None:
        async with Peer() as peer:
            watched = Watched(peer, memory)
            await scenario(watched)
            watched.discovery.close()

    run(start)


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("reset", [True, False])
def test_a_long_list_is_told_in_parts_that_each_have_a_turn_of_their_own(
    reset: bool, indent: int | None
) -> None:
    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD + chunk(whole(reset=reset, indent=indent)))
        await watched.until(50)
        events = [members for _, members in watched.news]
        assert watched.named() == [f"s-{n}" for n in range(LONG)]
        assert max(len(members.endpoints) for members in events) <= MAX_ENDPOINTS_PER_PART
        turns = [turn for turn, _ in watched.news]
        assert len(set(turns)) == len(turns) >= LONG / MAX_ENDPOINTS_PER_PART
        assert events[-1].last
        assert [m.name for e in events for m in e.endpoints if m.state is EndpointState.DRAINING] == [
            f"s-{LONG - 1}"
        ]
        if reset:
            assert {e.kind for e in events} == {UpdateKind.SNAPSHOT}
            assert [e.first for e in events] == [True] + [False] * (len(events) - 1)
            assert [e.last for e in events] == [False] * (len(events) - 1) + [True]
        else:  # each is whole in itself
            assert {(e.kind, e.first, e.last) for e in events} == {(UpdateKind.DELTA, True, True)}

    play(scenario)


def test_many_short_lists_at_once_have_a_turn_each() -> None:
    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD + chunk(b"".join(line(42 + n) for n in range(100))))
        await watched.until(141)
        turns = [turn for turn, _ in watched.news]
        assert len(set(turns)) == len(turns) == 100

    play(scenario)


@pytest.mark.parametrize("end", [b"zz\r\n", b"", chunk(b"\n\n"), chunk(line(51))])
def test_a_list_that_breaks_off_has_no_last_part_and_is_asked_for_again(end: bytes) -> None:
    # Nobody is gone for want of being named; but what came, also of drains, holds.
    async def scenario(watched: Watched) -> None:
        text = whole()
        cut = text[: text.index(b'{"instanceId": "s-9000"')].rstrip(b", ")
        await watched.peer.answer(HEAD + chunk(cut) + end)
        if not end:
            watched.peer.writers[0].close()
        assert b"from=41 " in await watched.asked_again()
        assert watched.named() == [f"s-{n}" for n in range(9000)]
        assert not any(members.last for _, members in watched.news)
        assert watched.discovery.version == 41

    play(scenario)


def test_one_whose_version_comes_behind_its_entries_is_held_until_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(watched: Watched) -> None:
        text = json.dumps({"instances": entries(LONG), "reset": True, "generation": 50}).encode()
        cuts: list[int] = []
        cut = JsonSplitter.next_run

        def noted(cutter: JsonSplitter) -> JsonRun | None:
            run = cut(cutter)
            cuts.extend([watched.turn] if run is not None else [])
            return run

        monkeypatch.setattr(JsonSplitter, "next_run", noted)
        await watched.peer.answer(HEAD + chunk(text[:-20]))
        while len(cuts) < len(text) // RUN_BYTES:
            await asyncio.sleep(0)
        assert len(set(cuts)) == len(cuts)  # each has a turn of its own
        assert watched.discovery._watch is not None  # though it has told nothing, it speaks
        assert not watched.news
        watched.peer.writers[0].write(chunk(text[-20:]))
        await watched.until(50)
        assert watched.named() == [f"s-{n}" for n in range(LONG)]
        assert [(m.first, m.last) for _, m in watched.news][:: len(watched.news) - 1] == [
            (True, False),
            (False, True),
        ]

    play(scenario)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (whole(), 4_000),
        (json.dumps({"instances": entries(LONG), "reset": True, "generation": 50}).encode(), 0),
    ],
)
def test_one_that_is_too_long_for_the_memory_is_left_with_one_line(
    text: bytes, told: int, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD + chunk(text))
        assert b"from=41 " in await watched.asked_again()
        assert (len(watched.named()) > told) is (told > 0)
        assert len(watched.named()) < LONG / 2
        assert not any(members.last for _, members in watched.news)

    play(scenario, memory=6 << 20)
    err = capfd.readouterr().err
    assert err.count("more than the memory limit allows") == err.count("\n") == 1


def test_an_older_long_list_tells_nothing() -> None:
    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD + chunk(line(60)) + chunk(whole()) + chunk(line(61)))
        await watched.until(61)
        assert [members.version for _, members in watched.news] == [60, 61]

    play(scenario)


def test_what_a_list_told_of_drains_before_it_broke_off_is_not_undone_by_an_older_one() -> None:
    def cut(version: int, lifecycle: str, end: str) -> bytes:
        listed = [{"instanceId": name, "hostPort": "h:1", "lifecycle": lifecycle} for name in ("s-1", "x")]
        text = json.dumps({"generation": version, "reset": True, "instances": listed})
        return chunk(text.removesuffix("]}").encode() + end.encode())

    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD + cut(50, "DRAINING", "\n\n"))
        assert b"from=41 " in await watched.asked_again()
        watched.peer.writers[-1].write(HEAD + cut(49, "SERVING", "]}\n") + chunk(line(49, instanceId="y")))
        await watched.until(49)
        watched.peer.writers[-1].write(chunk(line(50)))
        await watched.until(50)
        assert [[(m.name, m.state) for m in members.endpoints] for _, members in watched.news] == [
            [("s-1", EndpointState.DRAINING), ("x", EndpointState.DRAINING)],
            [],
            [("y", EndpointState.READY)],
            [("s-1", EndpointState.READY)],
        ]

    play(scenario)


AWKWARD: list[dict[str, Any]] = [
    {"instanceId": 'a "}],[{" \\', "hostPort": "h:1", "lifecycle": "SERVING", "more": {"x": [{}, "]}"]}},
    {"instanceId": "\u00e9\u20ac\U0001f600}", "hostPort": "h:2", "lifecycle": "SERVING", "instances": [1]},
    {"instanceId": '"instances": [', "hostPort": "h:3", "lifecycle": "SERVING", "weight": 1e3},
]


@pytest.mark.parametrize("step", [1, 2, 3, 50, 1 << 20])
@pytest.mark.parametrize("indent", [None, 1])
@pytest.mark.parametrize("before", [{}, {"note": '"instances": [', "other": {"instances": [{}], "x": None}}])
def test_text_is_cut_at_the_same_places_in_whatever_pieces_it_comes(
    before: dict[str, Any], indent: int | None, step: int
) -> None:
    data = {**before, "generation": 1, "reset": True, "instances": AWKWARD * 2, "after": {"instances": ["}"]}}
    text = 2 * (json.dumps(data, indent=indent, ensure_ascii=False) + "\n").encode()
    cutter, names, ends = JsonSplitter(("instances",)), [], 0
    for at in range(0, len(text), step):
        cutter.feed(text[at : at + step])
        while (run := cutter.next_run()) is not None:
            names += [entry["instanceId"] for entry in json.loads(b"[" + run.entries + b"]")]
            ends += run.ends_document
    assert names == [entry["instanceId"] for entry in AWKWARD * 4]
    assert ends == 2
    assert cutter.is_between_documents()


def test_a_watch_that_has_answered_but_told_nothing_does_not_count() -> None:
    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD)
        assert b"from=41 " in await watched.asked_again()
        assert watched.discovery._watch is None

    play(scenario)


class Sender:
    """The servers' side; all servers are one peer."""

    def __init__(self, peer: Peer, most: int = 100) -> None:
        self.heard, self.peer, self.count = Heard(), peer, 0
        self.servers = Upstream(cast(Engine, self.heard), FAST, 60_000_000, most, asyncio.get_running_loop())

    def tell(
        self,
        names: range,
        whole: bool,
        first: bool = True,
        last: bool = True,
        state: EndpointState = EndpointState.READY,
    ) -> None:
        lines = [(Endpoint(f"s-{n}", state), (LOCAL, self.peer.port)) for n in names]
        self.servers.update_endpoints(lines, whole, first, last)

    def send(self, server: int) -> None:
        self.count += 1
        attempt = Attempt(self.count, 0, f"s-{server}", held(10, 0), self.heard.clock.now())
        self.servers.start(attempt, 10_000_000)

    async def result(self) -> Result:
        return (await self.heard.ended.get())[1]

    async def served(self, server: int) -> asyncio.StreamWriter:
        """Send and have it answered; where that was."""
        self.send(server)
        while not (came := await self.peer.hear())[1]:
            pass
        came[0].write(OK)
        assert await self.result() is Result.OK
        return came[0]


def send_all(scenario: Callable[[Sender], Awaitable[None]], most: int = 100) -> None:
    async def start() -> None:
        async with Peer() as peer:
            await scenario(Sender(peer, most))

    run(start)


def test_only_servers_that_are_sent_to_have_pools_and_only_while_they_are_needed() -> None:
    async def scenario(sender: Sender) -> None:
        sender.tell(range(LONG), True)
        assert not sender.servers._pools
        await sender.served(7)
        assert list(sender.servers._pools) == ["s-7"]
        sender.servers.drop_idle(sender.servers.loop.time() + 60.0)
        assert (await sender.peer.hear())[1] == b""
        sender.servers._sweep()
        assert not sender.servers._pools
        await sender.served(7)

    send_all(scenario)


def test_a_whole_list_in_parts_makes_gone_what_none_of_them_names_and_only_at_its_end() -> None:
    async def scenario(sender: Sender) -> None:
        sender.tell(range(LONG), True)
        await sender.served(7)
        sender.tell(range(7), True, last=False)  # breaks off
        sender.tell(range(8, 100), True, last=False)  # begins anew
        sender.tell(range(100, LONG), True, first=False, last=False)
        await sender.served(7)
        sender.tell(range(0), True, first=False)
        assert (await sender.peer.hear())[1] == b""  # its idle connection
        sender.send(7)
        assert await sender.result() is Result.CONNECT_FAILED
        await sender.served(LONG - 1)

    send_all(scenario)


def test_where_the_limit_is_reached_the_one_that_has_idled_longest_makes_room() -> None:
    async def scenario(sender: Sender) -> None:
        sender.tell(range(4), True)
        first, second = await sender.served(0), await sender.served(1)
        assert await sender.served(0) is first
        third = await sender.served(2)  # in the place of the second
        assert await sender.served(0) is first
        assert await sender.served(2) is third
        assert await sender.served(1) is not second
        sender.tell(range(4), False, state=EndpointState.REMOVED)
        assert sender.servers.open == 0
        assert not sender.servers.idle

    send_all(scenario, most=2)


def test_of_thousands_that_go_at_once_none_is_sent_anything_after_the_part_that_tells(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    going = 4042
    gone: set[str] = set()
    late: list[str] = []
    carry = Connection.carry

    def noted(connection: Connection, attempt: Attempt, command: bytes) -> None:
        late.extend({attempt.endpoint} & gone)
        carry(connection, attempt, command)

    async def scenario(watched: Watched) -> None:
        async with Peer() as servers:
            sender, chance = Sender(servers, 1_000), random.Random(2)
            sender.tell(range(LONG), True)

            def told(members: EndpointUpdate, lines: list[ListedEndpoint]) -> None:
                gone.update(member.name for member in members.endpoints)
                sender.servers.update_endpoints(lines, False)
                watched._note(members, lines)

            watched.discovery._on_update = told
            entries = [{"instanceId": f"s-{n}", "lifecycle": "DELETED"} for n in range(going)]
            text = json.dumps({"generation": 50, "reset": False, "instances": entries}).encode()
            await watched.peer.answer(HEAD + chunk(text))
            while watched.discovery.version != 50 or sender.count < 100:
                sender.send(chance.randrange(going))  # some are connecting when their news comes
                await asyncio.sleep(0)
            await watched.until(50)
            for n in range(0, going, 100):
                sender.send(n)
            results = [await sender.result() for _ in range(sender.count - sender.servers.open)]
            assert results.count(Result.CONNECT_FAILED) >= going // 100
            assert max(len(members.endpoints) for _, members in watched.news) <= MAX_ENDPOINTS_PER_PART
            assert len({turn for turn, _ in watched.news}) == len(watched.news)
            await sender.served(going)
            sender.servers.close()

    monkeypatch.setattr(Connection, "carry", noted)
    play(scenario)
    assert len(gone) == going
    assert not late


def test_the_program_starts_from_97000_servers_within_its_memory(tmp_path: Path) -> None:
    with contextlib.ExitStack() as stack:
        peers = [stack.enter_context(socket.create_server((LOCAL, 0))) for _ in range(3)]
        discovery, counter, server = (peer.getsockname()[1] for peer in peers)
        text = config(discovery, counter, free_port())
        extra = {"zone": "a", "machineType": "m2", "cell": 3, "weight": 1.0, "startedAtMs": 0}
        listed = [entry | extra | {"hostPort": f"{LOCAL}:{server}"} for entry in entries(97_000)]
        known = json.dumps({"generation": 41, "reset": True, "instances": listed}, indent=2)
        text |= {"known": "KNOWN", "settings": text["settings"] | {"fleetSize": 4_900}}
        process = stack.enter_context(start(tmp_path, json.dumps(text).replace('"KNOWN"', known)))
        stack.callback(process.kill)
        watch = stack.enter_context(peers[0].accept()[0])
        assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 ")
        client = stack.enter_context(connect(int(text["listen"].split(":")[1]), process))
        client.sendall(call(1, b"c=lookup,t=basic,d=9000,units=1,spread=1,first=0"))
        attempt = stack.enter_context(peers[2].accept()[0])
        assert attempt.recv(4096) != b""
        attempt.sendall(OK)
        assert client.recv(64) == b"$5\r\nvalue\r\n"
        more = known.replace('"generation": 41', '"generation": 42') + "\n"
        watch.sendall(HEAD + chunk(more.encode()) + chunk(b"\n" + line(43, lifecycle="DRAINING")))
        watch.close()  # when all of it has been taken, another is opened
        while b"from=43 " not in stack.enter_context(peers[0].accept()[0]).recv(4096):
            pass
        status = Path(f"/proc/{process.pid}/status").read_text()
        assert int(status.split("VmHWM:")[1].split()[0]) < 128_000  # KB


def test_what_is_held_of_the_servers_is_left_out_of_collections(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        freezer = EndpointFreezer(asyncio.get_running_loop())
        for _ in range(3 * FREEZE_AFTER // MAX_ENDPOINTS_PER_PART):
            freezer.entries_added(MAX_ENDPOINTS_PER_PART)
            await asyncio.sleep(0)

    frozen: list[None] = []
    monkeypatch.setattr(gc, "freeze", lambda: frozen.append(None))
    run(scenario)
    assert len(frozen) == 3


def test_the_configuration_is_read_in_pieces_that_each_have_a_turn_and_without_its_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # At SIGHUP requests go on, and there may be no room for the whole text.
    text = json.dumps({"known": {"generation": 1, "instances": entries(LONG)}, "listen": "here"}) + "\n"
    turns: list[int] = []

    async def scenario() -> None:
        task = asyncio.create_task(read_document())
        while not task.done():
            turns.append(1)
            await asyncio.sleep(0)
        assert await task == {"known": {"generation": 1, "instances": []}, "listen": "here"}

    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "config.json"))
    (tmp_path / "config.json").write_text(text)
    run(scenario)
    assert len(turns) >= len(text) // READ_BYTES
    (tmp_path / "config.json").write_text(text + "{}")
    with pytest.raises(ValueError, match="one whole JSON object"):
        run(scenario)
