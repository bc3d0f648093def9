"""The watch on a loopback socket: what is taken, how it resumes, and when it is dead."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rushroad.proxy import discovery as module
from rushroad.proxy import endpoint_decoder
from rushroad.proxy.address import Address
from rushroad.proxy.discovery import Discovery
from rushroad.proxy.nonblocking_log import NonBlockingLog
from tests.support.loopback import LOCAL, NAMES, Late, Peer, run

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
Told = asyncio.Queue[tuple[EndpointUpdate, list[tuple[Endpoint, Address]]]]


@pytest.fixture(autouse=True)
def fresh_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """What other tests have logged in the same second must not crowd out the lines of this one."""
    log = NonBlockingLog()
    monkeypatch.setattr(module, "log", log)
    monkeypatch.setattr(endpoint_decoder, "log", log)


def line(generation: int, reset: bool = False, **fields: Any) -> bytes:
    entry = {
        "instanceId": "s-1",
        "hostPort": "127.0.0.1:81",
        "zone": "room",
        "machineType": "box",
        "cell": 3,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": 5,
    }
    text = {"generation": generation, "reset": reset, "instances": [entry | fields]}
    return json.dumps(text).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def play(scenario: Callable[[Peer, Told, Discovery], Awaitable[None]]) -> None:
    async def start() -> None:
        told: Told = asyncio.Queue()
        async with Peer() as peer:
            loop = asyncio.get_running_loop()
            address, chance = (LOCAL, peer.port), random.Random(1)
            watch = Discovery(address, 41, NAMES, lambda *news: told.put_nowait(news), loop, chance)
            await scenario(peer, told, watch)
            watch.close()

    run(start)


def test_news_comes_in_lines_however_they_are_cut() -> None:
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        data = await peer.answer(HEAD)
        assert data.startswith(b"GET /v1/servers?watch=1&from=41 HTTP/1.1\r\nHost: ")
        text = b"\n" + line(42) + b"\n" + line(43, lifecycle="DRAINING")
        for part in (text[:50], text[50:]):
            peer.writers[0].write(chunk(part))
        members, lines = await told.get()
        member = Endpoint(
            "s-1", EndpointState.READY, endpoint_class=1, zone=0, cell=3, started_at=5_000, weight=1.0
        )
        assert members == EndpointUpdate(UpdateKind.DELTA, 42, (member,))
        assert lines == [(member, (LOCAL, 81))]
        assert (await told.get())[0].endpoints[0].state is EndpointState.DRAINING

    play(scenario)


def test_a_watch_that_ends_is_resumed_from_where_it_was_and_a_reset_replaces_the_list() -> None:
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)))
        await told.get()
        peer.writers[0].transport.abort()
        assert (await peer.hear())[1] == b""
        assert b"from=77 " in await peer.answer(HEAD + chunk(line(90, reset=True)))
        assert (await told.get())[0].kind is UpdateKind.SNAPSHOT

    play(scenario)


@pytest.mark.parametrize(
    "reply",
    [
        b"what is this\r\n\r\n",
        b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n",
        HEAD + b"zz\r\n",
        HEAD + chunk(b"{nope\n"),
        HEAD + chunk(b"[]\n"),
        HEAD + chunk(b"{}\n"),
        HEAD + b"0\r\n\r\n",
    ],
)
def test_what_is_no_watch_is_left_and_another_is_opened(reply: bytes) -> None:
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(reply)
        while (heard := (await peer.hear())[1]) == b"":
            pass
        assert b"from=41 " in heard
        assert told.empty()

    play(scenario)


def test_watches_that_fail_come_later_and_later_until_one_is_good(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards discovery against a fleet whose watches all fail because all of them ask again at once.
    pauses: list[float] = []
    sleep = asyncio.sleep

    async def noted(span: float) -> None:
        pauses.append(span)
        await sleep(0)

    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        for _ in range(8):
            await peer.answer(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
            assert (await peer.hear())[1] == b""
        writer, _ = await peer.hear()
        writer.write(HEAD + chunk(line(42)))
        await told.get()
        writer.transport.abort()
        assert (await peer.hear())[1] == b""
        await peer.hear()

    monkeypatch.setattr("rushroad.proxy.discovery.asyncio.sleep", noted)
    play(scenario)
    spans = [min(module.MAX_RECONNECT_PAUSE, module.FIRST_RECONNECT_PAUSE * 2**n) for n in range(8)] + [
        module.FIRST_RECONNECT_PAUSE
    ]
    assert all(span / 2 <= pause <= span for pause, span in zip(pauses, spans, strict=True))


def test_a_silent_watch_tells_on_until_another_speaks(monkeypatch: pytest.MonkeyPatch) -> None:
    # What a silent watch misses counts as told soon after; what it tells after all is no less true.
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(42)))
        await told.get()
        writer, heard = await peer.hear()  # nothing was closed before that
        assert b"from=42 " in heard
        monkeypatch.setattr(module, "SILENCE_TIMEOUT", 9.0)
        peer.writers[0].write(chunk(line(43)))
        assert (await told.get())[0].version == 43
        writer.write(HEAD + chunk(b"\n"))
        while (await peer.hear())[1] != b"":
            pass
        writer.write(chunk(line(44)))
        assert (await told.get())[0].version == 44

    assert (
        2 * 2.0 < module.SILENCE_TIMEOUT < 6.0 - 1.0
    )  # two heartbeats; with time to open another before it matters
    monkeypatch.setattr(module, "SILENCE_TIMEOUT", 0.05)
    play(scenario)


def test_an_agent_that_says_nothing_is_asked_again_and_may_answer_any_of_the_watches() -> None:
    # One that is back after an outage answers at once, perhaps on a connection it had taken before.
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        first, _ = await peer.hear()
        second, heard = await peer.hear()
        assert heard.startswith(b"GET ") and second is not first
        first.write(HEAD + chunk(line(42)))
        assert (await told.get())[0].version == 42
        while (ended := await peer.hear())[1] != b"":
            pass
        assert ended[0] is not first

    assert (
        module.RESPONSE_TIMEOUT + module.MAX_RECONNECT_PAUSE <= 0.5
    )  # the least grace of a drain that the settings have had
    play(scenario)


def test_watches_without_an_answer_do_not_pile_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "RESPONSE_TIMEOUT", 0.001)
    monkeypatch.setattr(module, "MAX_RECONNECT_PAUSE", 0.001)
    monkeypatch.setattr(module, "FIRST_RECONNECT_PAUSE", 0.001)

    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        opened = closed = 0
        while opened < 3 * module.MAX_PENDING_WATCHES or closed < module.MAX_PENDING_WATCHES:
            heard = (await peer.hear())[1]
            opened, closed = opened + (heard != b""), closed + (heard == b"")
            assert len(watch._pending) <= module.MAX_PENDING_WATCHES

    play(scenario)


INDENTED = json.dumps(json.loads(line(42)), indent=2).encode() + b"\n"
CUT = INDENTED[: INDENTED.index(b'"zone"')]


@pytest.mark.parametrize("step", [1, 7, 100_000])
@pytest.mark.parametrize("text", [INDENTED, b"\r\n" + INDENTED.replace(b"\n", b"\r\n"), INDENTED.strip()])
def test_an_object_may_come_indented_and_in_pieces(text: bytes, step: int) -> None:
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD)
        for at in range(0, len(text), step):
            peer.writers[0].write(chunk(text[at : at + step]))
            await asyncio.sleep(0)
        assert (await told.get())[0].endpoints[0].name == "s-1"
        peer.writers[0].write(chunk(b"\n" + line(43)))
        assert (await told.get())[0].version == 43

    play(scenario)


@pytest.mark.parametrize("text", [INDENTED + line(43), line(42).strip() + line(43), line(42) + line(43)[:-1]])
def test_objects_that_come_together_are_all_taken(text: bytes) -> None:
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(text))
        assert [(await told.get())[0].version for _ in range(2)] == [42, 43]

    play(scenario)


@pytest.mark.parametrize("rest", [b"\n\n", line(43), INDENTED, b"]}\n"])
def test_after_an_object_that_breaks_off_the_watch_is_opened_again(rest: bytes) -> None:
    # What follows would be taken for its rest, for as long as heartbeats keep the watch up.
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(42)) + chunk(CUT.rstrip(b" ")) + chunk(rest))
        assert (await told.get())[0].version == 42
        while (heard := (await peer.hear())[1]) == b"":
            pass
        assert b"from=42 " in heard
        assert told.empty()

    play(scenario)


def test_older_news_never_undoes_newer() -> None:
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(45, lifecycle="DRAINING")))
        assert (await told.get())[0].endpoints[0].state is EndpointState.DRAINING
        async with Peer() as other:  # moved to one that lags behind
            watch.move((LOCAL, other.port))
            await other.answer(HEAD + chunk(line(44, reset=True)) + chunk(line(44)) + chunk(line(46)))
            assert (await told.get())[0].version == 46
            assert watch.version == 46
            watch.close()

    play(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        {"reset": "false"},
        {"reset": None},
        {"generation": 1 << 80},
        {"generation": -1},
        {"generation": "43"},
        {"generation": 43.0},
        {"generation": True},
        {"instances": {}},
        {"instances": "none"},
        {"instances": None},
        {"reset": True, "instances": [3, {}]},
    ],
)
def test_an_odd_list_changes_nothing_and_the_watch_is_opened_again(fields: dict[str, Any]) -> None:
    # Taken for what it seems, it would leave nobody to send to, or make all later news look old.
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(json.dumps(json.loads(line(42)) | fields).encode() + b"\n"))
        while (heard := (await peer.hear())[1]) == b"":
            pass
        assert b"from=41 " in heard
        assert told.empty()

    play(scenario)


@pytest.mark.parametrize("lifecycle", ["DRAINING", "DELETED"])
@pytest.mark.parametrize(
    "fields", [{"hostPort": None}, {"hostPort": "x"}, {"weight": "x"}, {"cell": None}, {"zone": []}]
)
def test_one_to_be_sent_nothing_is_told_of_however_odd_its_entry(
    lifecycle: str, fields: dict[str, Any]
) -> None:
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(44, lifecycle=lifecycle, **fields)))
        (member,) = (await told.get())[0].endpoints
        assert (member.name, member.state) == ("s-1", endpoint_decoder.ENDPOINT_STATES[lifecycle])

    play(scenario)


def test_a_connect_that_comes_up_as_the_watch_moves_is_not_used() -> None:
    async def scenario() -> None:
        told: Told = asyncio.Queue()
        async with Peer() as peer, Peer() as other:
            late = Late()
            loop = cast(asyncio.AbstractEventLoop, late)
            address, chance = (LOCAL, peer.port), random.Random(1)
            watch = Discovery(address, 41, NAMES, lambda *news: told.put_nowait(news), loop, chance)
            await late.asked.wait()
            watch.move((LOCAL, other.port))
            await late.done.wait()
            assert (await peer.hear())[1] == b""  # closed with nothing asked
            late.go_on.set()
            assert b"from=41 " in (await other.hear())[1]
            watch.close()

    run(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        {"lifecycle": "ODD"},
        {"lifecycle": []},
        {"hostPort": "here"},
        {"hostPort": "h:99999"},
        {"weight": "x"},
        {"weight": float("nan")},
        {"cell": None},
        {"machineType": []},
        {"startedAtMs": float("inf")},
    ],
)
def test_an_entry_that_cannot_be_read_is_left_out_and_told(
    fields: dict[str, Any], capfd: pytest.CaptureFixture[str]
) -> None:
    # Guards the list: the watch would end at that line, now and each time it resumes from the version before.
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        text = json.loads(line(44))
        text["instances"] += [text["instances"][0] | {"instanceId": "s-2"} | fields, 3]
        await peer.answer(HEAD + chunk(json.dumps(text).encode() + b"\n") + chunk(line(45)))
        for _ in range(2):
            assert [member.name for member in (await told.get())[0].endpoints] == ["s-1"]
        assert watch.version == 45

    play(scenario)
    assert capfd.readouterr().err.count("can't be read") == 2


def test_one_that_is_gone_needs_no_address() -> None:
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(44, lifecycle="DELETED", hostPort="")))
        assert (await told.get())[0].endpoints[0].state is EndpointState.REMOVED

    play(scenario)


def test_a_move_watches_elsewhere_from_the_version_at_hand() -> None:
    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)))
        await told.get()
        async with Peer() as other:
            watch.move((LOCAL, other.port))
            watch.move((LOCAL, other.port))
            assert b"from=77 " in await other.answer(HEAD + chunk(line(78)))
            assert (await told.get())[0].version == 78
            assert (await peer.hear())[1] == b""
            assert len(other.writers) == 1
            watch.close()

    play(scenario)


def test_until_the_new_address_answers_the_old_watch_tells_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "FIRST_RECONNECT_PAUSE", 0.01)

    async def scenario(peer: Peer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)))
        await told.get()
        watch.move((LOCAL, 1))  # refused
        peer.writers[0].write(chunk(line(78)))
        assert (await told.get())[0].version == 78
        watch.move((LOCAL, peer.port))
        assert b"from=78 " in await peer.answer(HEAD)

    play(scenario)
