"""The watch on a loopback peer: requests, reconnects, silence, moves and the order of versions."""

import asyncio
import json
import random
from typing import Any, cast

import pytest

from rushroad.policy.events import EndpointState, EndpointUpdate, UpdateKind
from rushroad.proxy import discovery as discovery_module
from rushroad.proxy.discovery import Discovery
from rushroad.proxy.endpoint_decoder import ListedEndpoint
from tests.support.loopback import LOCAL, NAMES, DelayedConnectLoop, Peer, run
from tests.support.watch import HEAD, LONG_LIST_VERSION, Watch, chunk, list_line, long_list, play_watch

pytestmark = pytest.mark.usefixtures("fresh_log")


def test_ended_watch_resumes_from_its_version_and_a_reset_sends_a_snapshot() -> None:
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + chunk(list_line(77)))
        await watch.next_update()
        watch.peer.writers[0].transport.abort()
        assert (await watch.peer.hear())[1] == b""
        assert b"from=77 " in await watch.peer.answer(HEAD + chunk(list_line(90, reset=True)))
        assert (await watch.next_update()).kind is UpdateKind.SNAPSHOT

    play_watch(scenario)


@pytest.mark.parametrize(
    ("reply", "logged"),
    [
        (b"what is this\r\n\r\n", 1),
        (b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", 1),
        (HEAD + b"zz\r\n", 1),
        (HEAD + chunk(b"{nope\n"), 0),  # its end may still come
        (HEAD + chunk(b"[]\n"), 1),
        (HEAD + chunk(b"{}\n"), 1),
        (HEAD + b"0\r\n\r\n", 0),  # a proper end
    ],
)
def test_response_without_an_endpoint_list_is_followed_by_another_watch(
    reply: bytes, logged: int, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(reply)
        assert b"from=41 " in await watch.next_request()
        assert not watch.updates

    play_watch(scenario)
    line = "rushroad: discovery sent a watch response that can't be read; closing it and opening another: "
    assert capfd.readouterr().err.count(line) == logged


def test_update_that_its_handler_fails_on_is_followed_by_another_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_module, "SILENCE_TIMEOUT", 60.0)

    async def scenario(watch: Watch) -> None:
        def fail_on_a_later_part(update: EndpointUpdate, listed: list[ListedEndpoint]) -> None:
            if update.is_first_part:
                watch.on_update(update, listed)
                return
            watch.discovery._on_update = watch.on_update
            raise KeyError(update.version)

        watch.discovery._on_update = fail_on_a_later_part
        await watch.peer.answer(HEAD + chunk(long_list()))
        await watch.next_request()
        watch.peer.writers[-1].write(HEAD + chunk(list_line(43)))
        await watch.until_version(43)

    play_watch(scenario)


def test_failing_watches_back_off_until_one_receives_a_list(monkeypatch: pytest.MonkeyPatch) -> None:
    # A fleet whose watches all fail must not ask discovery again at once, all together.
    pauses: list[float] = []
    sleep = asyncio.sleep

    async def record_pause(pause: float) -> None:
        pauses.append(pause)
        await sleep(0)

    async def scenario(watch: Watch) -> None:
        for _ in range(8):
            await watch.peer.answer(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
            assert (await watch.peer.hear())[1] == b""
        writer, _ = await watch.peer.hear()
        writer.write(HEAD + chunk(list_line(42)))
        await watch.next_update()
        writer.transport.abort()
        assert (await watch.peer.hear())[1] == b""
        await watch.peer.hear()

    monkeypatch.setattr("rushroad.proxy.discovery.asyncio.sleep", record_pause)
    play_watch(scenario)
    first, longest = discovery_module.FIRST_RECONNECT_PAUSE, discovery_module.MAX_RECONNECT_PAUSE
    expected = [min(longest, first * 2**n) for n in range(8)] + [first]
    assert all(limit / 2 <= pause <= limit for pause, limit in zip(pauses, expected, strict=True))


def test_silent_watch_is_read_until_another_receives_data(monkeypatch: pytest.MonkeyPatch) -> None:
    # What a silent watch misses counts as notified soon after; what it sends after all is no less true.
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + chunk(list_line(42)))
        await watch.next_update()
        writer, heard = await watch.peer.hear()  # nothing was closed before that
        assert b"from=42 " in heard
        monkeypatch.setattr(discovery_module, "SILENCE_TIMEOUT", 9.0)
        watch.peer.writers[0].write(chunk(list_line(43)))
        assert (await watch.next_update()).version == 43
        writer.write(HEAD + chunk(b"\n"))
        while (await watch.peer.hear())[1] != b"":
            pass
        writer.write(chunk(list_line(44)))
        assert (await watch.next_update()).version == 44

    # Over two heartbeats, with time to open another watch before an update counts as notified.
    assert 2 * 2.0 < discovery_module.SILENCE_TIMEOUT < 6.0 - 1.0
    monkeypatch.setattr(discovery_module, "SILENCE_TIMEOUT", 0.05)
    play_watch(scenario)


def test_unanswered_watch_stays_open_beside_the_next_and_either_may_be_answered() -> None:
    # An agent that is back after an outage answers at once, perhaps on a connection it had accepted before.
    async def scenario(watch: Watch) -> None:
        first, _ = await watch.peer.hear()
        second, heard = await watch.peer.hear()
        assert heard.startswith(b"GET ")
        assert second is not first
        first.write(HEAD + chunk(list_line(42)))
        assert (await watch.next_update()).version == 42
        while (ended := await watch.peer.hear())[1] != b"":
            pass
        assert ended[0] is not first

    # The shortest drain grace that the settings have had.
    assert discovery_module.RESPONSE_TIMEOUT + discovery_module.MAX_RECONNECT_PAUSE <= 0.5
    play_watch(scenario)


def test_pending_watches_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_module, "RESPONSE_TIMEOUT", 0.001)
    monkeypatch.setattr(discovery_module, "MAX_RECONNECT_PAUSE", 0.001)
    monkeypatch.setattr(discovery_module, "FIRST_RECONNECT_PAUSE", 0.001)
    limit = discovery_module.MAX_PENDING_WATCHES

    async def scenario(watch: Watch) -> None:
        opened = closed = 0
        while opened < 3 * limit or closed < limit:
            heard = (await watch.peer.hear())[1]
            opened, closed = opened + (heard != b""), closed + (heard == b"")
            assert len(watch.discovery._pending) <= limit

    play_watch(scenario)


def test_watch_with_a_response_head_but_no_body_is_not_established() -> None:
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD)
        assert b"from=41 " in await watch.next_request()
        assert watch.discovery._watch is None

    play_watch(scenario)


@pytest.mark.parametrize("end", [b"zz\r\n", b"", chunk(b"\n\n"), chunk(list_line(51))])
def test_list_that_breaks_off_has_no_last_part_and_is_requested_again(end: bytes) -> None:
    # No endpoint is removed because the list doesn't name it; but what came, also drains, stays valid.
    async def scenario(watch: Watch) -> None:
        text = long_list()
        cut = text[: text.index(b'{"instanceId": "s-9000"')].rstrip(b", ")
        await watch.peer.answer(HEAD + chunk(cut) + end)
        if not end:
            watch.peer.writers[0].close()
        assert b"from=41 " in await watch.next_request()
        assert watch.endpoint_names() == [f"s-{n}" for n in range(9000)]
        assert not any(update.is_last_part for update in watch.updates)
        assert watch.discovery.version == 41

    play_watch(scenario)


def test_older_version_never_undoes_a_newer_one(capfd: pytest.CaptureFixture[str]) -> None:
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + chunk(list_line(45, lifecycle="DRAINING")))
        assert (await watch.next_update()).endpoints[0].state is EndpointState.DRAINING
        async with Peer() as other:  # moved to an agent that lags behind
            watch.discovery.move((LOCAL, other.port))
            older = chunk(list_line(44, reset=True)) + chunk(list_line(44))
            await other.answer(HEAD + older + chunk(list_line(46)))
            assert (await watch.next_update()).version == 46
            assert watch.discovery.version == 46
            watch.discovery.close()

    play_watch(scenario)
    line = "rushroad: discovery sent endpoint list version 44, older than 45; keeping the newer one\n"
    assert capfd.readouterr().err == 2 * line


def test_older_long_list_is_ignored() -> None:
    async def scenario(watch: Watch) -> None:
        assert LONG_LIST_VERSION < 60
        await watch.peer.answer(HEAD + chunk(list_line(60)) + chunk(long_list()) + chunk(list_line(61)))
        await watch.until_version(61)
        assert [update.version for update in watch.updates] == [60, 61]

    play_watch(scenario)


def test_drains_of_a_list_that_broke_off_are_not_undone_by_an_older_list() -> None:
    def cut_list(version: int, lifecycle: str, end: str) -> bytes:
        listed = [{"instanceId": name, "hostPort": "h:1", "lifecycle": lifecycle} for name in ("s-1", "x")]
        text = json.dumps({"generation": version, "reset": True, "instances": listed})
        return chunk(text.removesuffix("]}").encode() + end.encode())

    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + cut_list(50, "DRAINING", "\n\n"))
        assert b"from=41 " in await watch.next_request()
        older = cut_list(49, "SERVING", "]}\n") + chunk(list_line(49, instanceId="y"))
        watch.peer.writers[-1].write(HEAD + older)
        await watch.until_version(49)
        watch.peer.writers[-1].write(chunk(list_line(50)))
        await watch.until_version(50)
        assert [[(e.name, e.state) for e in update.endpoints] for update in watch.updates] == [
            [("s-1", EndpointState.DRAINING), ("x", EndpointState.DRAINING)],
            [],
            [("y", EndpointState.READY)],
            [("s-1", EndpointState.READY)],
        ]

    play_watch(scenario)


def test_connect_that_completes_after_a_move_sends_no_request() -> None:
    async def scenario() -> None:
        async with Peer() as peer, Peer() as other:
            late = DelayedConnectLoop()
            loop = cast(asyncio.AbstractEventLoop, late)
            address, generator = (LOCAL, peer.port), random.Random(1)
            updates: list[Any] = []
            discovery = Discovery(address, 41, NAMES, lambda *update: updates.append(update), loop, generator)
            await late.asked.wait()
            discovery.move((LOCAL, other.port))
            await late.done.wait()
            assert (await peer.hear())[1] == b""  # closed without a request
            late.go_on.set()
            assert b"from=41 " in (await other.hear())[1]
            discovery.close()

    run(scenario)


def test_move_watches_at_the_new_address_from_the_current_version() -> None:
    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + chunk(list_line(77)))
        await watch.next_update()
        async with Peer() as other:
            watch.discovery.move((LOCAL, other.port))
            watch.discovery.move((LOCAL, other.port))
            assert b"from=77 " in await other.answer(HEAD + chunk(list_line(78)))
            assert (await watch.next_update()).version == 78
            assert (await watch.peer.hear())[1] == b""
            assert len(other.writers) == 1
            watch.discovery.close()

    play_watch(scenario)


def test_old_watch_is_read_until_the_new_address_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_module, "FIRST_RECONNECT_PAUSE", 0.01)

    async def scenario(watch: Watch) -> None:
        await watch.peer.answer(HEAD + chunk(list_line(77)))
        await watch.next_update()
        watch.discovery.move((LOCAL, 1))  # connection refused
        watch.peer.writers[0].write(chunk(list_line(78)))
        assert (await watch.next_update()).version == 78
        watch.discovery.move((LOCAL, watch.peer.port))
        assert b"from=78 " in await watch.peer.answer(HEAD)

    play_watch(scenario)
