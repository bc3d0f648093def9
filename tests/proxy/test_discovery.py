"""The watch on a loopback peer: requests, reconnects, silence, address changes and order of versions."""

import asyncio
import json
import random
from typing import Any, cast

import pytest

from rushroad.policy.events import EndpointState, EndpointUpdate, UpdateKind
from rushroad.proxy import discovery as discovery_module
from rushroad.proxy.discovery import Discovery, WatchConnection
from rushroad.proxy.endpoint_decoder import ListedEndpoint
from tests.support.loopback import LOOPBACK, PROXY_SETTINGS, DelayedConnectLoop, Peer, run
from tests.support.watch import (
    LONG_LIST_VERSION,
    RESPONSE_HEAD,
    WatchHarness,
    chunk,
    list_line,
    long_list,
    run_watch_scenario,
)

EMPTY_SNAPSHOT = b'{"generation":3,"reset":true,"instances":[]}\n'
pytestmark = pytest.mark.usefixtures("fresh_log")


def test_new_watch_resumes_from_the_current_version_and_a_list_with_reset_is_a_snapshot() -> None:
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD + chunk(list_line(77)))
        await watch.next_update()
        watch.peer.writers[0].transport.abort()
        assert (await watch.peer.receive())[1] == b""
        assert b"from=77 " in await watch.peer.respond(RESPONSE_HEAD + chunk(list_line(90, reset=True)))
        assert (await watch.next_update()).kind is UpdateKind.SNAPSHOT

    run_watch_scenario(scenario)


@pytest.mark.parametrize(
    ("response", "logged"),
    [
        (b"what is this\r\n\r\n", 1),
        (b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", 1),
        (RESPONSE_HEAD + b"zz\r\n", 1),
        (RESPONSE_HEAD + chunk(b"{nope\n"), 0),  # may be incomplete
        (RESPONSE_HEAD + chunk(b"[]\n"), 1),
        (RESPONSE_HEAD + chunk(b"{}\n"), 1),
        (RESPONSE_HEAD + b"0\r\n\r\n", 0),  # a regular end of the response
    ],
)
def test_response_without_an_endpoint_list_is_followed_by_another_watch(
    response: bytes, logged: int, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(response)
        assert b"from=41 " in await watch.next_request()
        assert not watch.updates

    run_watch_scenario(scenario)
    line = "rushroad: discovery sent a watch response that can't be read; closing it and opening another: "
    assert capfd.readouterr().err.count(line) == logged


def test_update_whose_handler_fails_is_followed_by_another_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_module, "SILENCE_TIMEOUT_S", 60.0)

    async def scenario(watch: WatchHarness) -> None:
        def fail_on_a_later_part(update: EndpointUpdate, listed: list[ListedEndpoint]) -> None:
            if update.is_first_part:
                watch.on_update(update, listed)
                return
            watch.discovery._on_update = watch.on_update
            raise KeyError(update.version)

        watch.discovery._on_update = fail_on_a_later_part
        await watch.peer.respond(RESPONSE_HEAD + chunk(long_list()))
        await watch.next_request()
        watch.peer.writers[-1].write(RESPONSE_HEAD + chunk(list_line(43)))
        await watch.wait_for_version(43)

    run_watch_scenario(scenario)


def test_failing_watches_back_off_until_one_receives_a_list(monkeypatch: pytest.MonkeyPatch) -> None:
    # When the watches of a whole fleet fail, the gateways must not all reconnect at the same time.
    delays: list[float] = []
    sleep = asyncio.sleep

    async def record_delay(delay: float) -> None:
        delays.append(delay)
        await sleep(0)

    async def scenario(watch: WatchHarness) -> None:
        for _ in range(8):
            await watch.peer.respond(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
            assert (await watch.peer.receive())[1] == b""
        writer, _ = await watch.peer.receive()
        writer.write(RESPONSE_HEAD + chunk(list_line(42)))
        await watch.next_update()
        writer.transport.abort()
        assert (await watch.peer.receive())[1] == b""
        await watch.peer.receive()

    monkeypatch.setattr("rushroad.proxy.discovery.asyncio.sleep", record_delay)
    run_watch_scenario(scenario)
    initial_delay, max_delay = (
        discovery_module.INITIAL_RECONNECT_DELAY_S,
        discovery_module.MAX_RECONNECT_DELAY_S,
    )
    expected = [min(max_delay, initial_delay * 2**n) for n in range(8)] + [initial_delay]
    assert all(limit / 2 <= delay <= limit for delay, limit in zip(delays, expected, strict=True))


def test_silent_watch_is_read_until_another_receives_data(monkeypatch: pytest.MonkeyPatch) -> None:
    # Updates that a silent watch misses soon count as notified, so another is opened. Those that it still
    # sends are valid.
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD + chunk(list_line(42)))
        await watch.next_update()
        writer, data = await watch.peer.receive()  # the silent watch was not closed before
        assert b"from=42 " in data
        monkeypatch.setattr(discovery_module, "SILENCE_TIMEOUT_S", 9.0)
        watch.peer.writers[0].write(chunk(list_line(43)))
        assert (await watch.next_update()).version == 43
        writer.write(RESPONSE_HEAD + chunk(b"\n"))
        while (await watch.peer.receive())[1] != b"":
            pass
        writer.write(chunk(list_line(44)))
        assert (await watch.next_update()).version == 44

    # More than two heartbeat intervals of 2 s, and 1 s is left to open another watch before the 6 s after
    # which the gateway counts as notified of an update.
    assert 2 * 2.0 < discovery_module.SILENCE_TIMEOUT_S < 6.0 - 1.0
    monkeypatch.setattr(discovery_module, "SILENCE_TIMEOUT_S", 0.05)
    run_watch_scenario(scenario)


def test_watch_without_a_response_stays_open_beside_the_next_and_either_may_get_one() -> None:
    # After an outage an agent answers at once, possibly on a connection accepted before.
    async def scenario(watch: WatchHarness) -> None:
        first, _ = await watch.peer.receive()
        second, data = await watch.peer.receive()
        assert data.startswith(b"GET ")
        assert second is not first
        first.write(RESPONSE_HEAD + chunk(list_line(42)))
        assert (await watch.next_update()).version == 42
        while (ended := await watch.peer.receive())[1] != b"":
            pass
        assert ended[0] is not first

    # 0.5 s is the shortest drain grace in any known settings.
    assert discovery_module.RESPONSE_TIMEOUT_S + discovery_module.MAX_RECONNECT_DELAY_S <= 0.5
    run_watch_scenario(scenario)


def test_pending_watches_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_module, "RESPONSE_TIMEOUT_S", 0.001)
    monkeypatch.setattr(discovery_module, "MAX_RECONNECT_DELAY_S", 0.001)
    monkeypatch.setattr(discovery_module, "INITIAL_RECONNECT_DELAY_S", 0.001)
    limit = discovery_module.MAX_PENDING_WATCHES

    async def scenario(watch: WatchHarness) -> None:
        opened = closed = 0
        while opened < 3 * limit or closed < limit:
            data = (await watch.peer.receive())[1]
            opened, closed = opened + (data != b""), closed + (data == b"")
            assert len(watch.discovery._pending_watches) <= limit

    run_watch_scenario(scenario)


def shorten_reconnects(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    """Make the time until another watch is opened, and the delay before it, this short."""
    for name in ("RESPONSE_TIMEOUT_S", "MAX_RECONNECT_DELAY_S", "INITIAL_RECONNECT_DELAY_S"):
        monkeypatch.setattr(discovery_module, name, seconds)


def test_first_watch_is_kept_however_many_follow_it_without_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against: a slow agent is never heard, as each request is closed before its response comes.
    shorten_reconnects(monkeypatch, 0.001)

    async def scenario(watch: WatchHarness) -> None:
        first, _ = await watch.peer.receive()
        while len(watch.peer.writers) < 4 * discovery_module.MAX_PENDING_WATCHES:
            ended, data = await watch.peer.receive()
            assert data or ended is not first
        first.write(RESPONSE_HEAD + chunk(list_line(42)))
        assert (await watch.next_update()).version == 42

    run_watch_scenario(scenario)


def test_each_watch_is_kept_for_the_time_after_which_its_updates_count_as_notified(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against: after an outage that the first requests did not survive, a slow agent is never heard.
    assert discovery_module.MIN_PENDING_TIME_S >= 6.0
    interval_s = discovery_module.RESPONSE_TIMEOUT_S + 0.75 * discovery_module.MAX_RECONNECT_DELAY_S
    assert (discovery_module.MAX_PENDING_WATCHES - 2) * interval_s >= discovery_module.MIN_PENDING_TIME_S
    shorten_reconnects(monkeypatch, 0.02)
    min_pending_s = 0.2
    monkeypatch.setattr(discovery_module, "MIN_PENDING_TIME_S", min_pending_s)

    async def scenario(watch: WatchHarness) -> None:
        ages_s: list[float] = []
        close = WatchConnection.close

        def record_age(connection: WatchConnection) -> None:
            ages_s.append(asyncio.get_running_loop().time() - connection.opened_at_s)
            close(connection)

        monkeypatch.setattr(WatchConnection, "close", record_age)
        while len(ages_s) < discovery_module.MAX_PENDING_WATCHES:
            await watch.peer.receive()
        assert min(ages_s) >= min_pending_s

    run_watch_scenario(scenario)


def test_slow_response_from_an_earlier_address_is_read_until_the_new_one_responds() -> None:
    # Guards against: with new configurations in quick succession, no slow agent is ever heard.
    async def scenario(watch: WatchHarness) -> None:
        earlier, _ = await watch.peer.receive()
        async with Peer() as other:
            watch.discovery.set_address((LOOPBACK, other.port))
            later, _ = await other.receive()
            earlier.write(RESPONSE_HEAD + chunk(list_line(42)))
            assert (await watch.next_update()).version == 42
            earlier.write(chunk(list_line(43)))
            assert (await watch.next_update()).version == 43
            later.write(RESPONSE_HEAD + chunk(list_line(44)))
            assert (await watch.next_update()).version == 44
            while (ended := await watch.peer.receive())[1] != b"":
                pass
            assert ended[0] is earlier
            watch.discovery.close()

    run_watch_scenario(scenario)


def test_watch_with_a_response_head_but_no_body_is_not_established() -> None:
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD)
        assert b"from=41 " in await watch.next_request()
        assert watch.discovery._watch is None

    run_watch_scenario(scenario)


@pytest.mark.parametrize("end", [b"zz\r\n", b"", chunk(b"\n\n"), chunk(list_line(51))])
def test_incomplete_list_has_no_last_part_and_is_requested_again(end: bytes) -> None:
    # It removes no endpoint that it doesn't name; its received entries, including drains, stay valid.
    async def scenario(watch: WatchHarness) -> None:
        text = long_list()
        cut = text[: text.index(b'{"instanceId": "s-9000"')].rstrip(b", ")
        await watch.peer.respond(RESPONSE_HEAD + chunk(cut) + end)
        if not end:
            watch.peer.writers[0].close()
        assert b"from=41 " in await watch.next_request()
        assert watch.endpoint_names() == [f"s-{n}" for n in range(9000)]
        assert not any(update.is_last_part for update in watch.updates)
        assert watch.discovery.version == 41

    run_watch_scenario(scenario)


def test_older_version_never_overrides_a_newer_one(capfd: pytest.CaptureFixture[str]) -> None:
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD + chunk(list_line(45, lifecycle="DRAINING")))
        assert (await watch.next_update()).endpoints[0].state is EndpointState.DRAINING
        async with Peer() as other:  # an agent with an older version
            watch.discovery.set_address((LOOPBACK, other.port))
            older = chunk(list_line(44, reset=True)) + chunk(list_line(44))
            await other.respond(RESPONSE_HEAD + older + chunk(list_line(46)))
            assert (await watch.next_update()).version == 46
            assert watch.discovery.version == 46
            watch.discovery.close()

    run_watch_scenario(scenario)
    line = "rushroad: discovery sent endpoint list version 44, older than 45; keeping the newer one\n"
    assert capfd.readouterr().err == 2 * line


def test_snapshot_of_a_new_numbering_is_taken_once_nothing_newer_has_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against: the list of an agent that counts anew after its restart is passed over for good, and no
    # request reaches the endpoints that it names.
    monkeypatch.setattr("rushroad.proxy.discovery.RENUMBERING_TIME_S", 0.05)

    async def scenario(watch: WatchHarness) -> None:
        restarted = RESPONSE_HEAD + chunk(list_line(3, reset=True, instanceId="new"))
        assert b"from=41 " in await watch.peer.respond(restarted)
        assert b"from=0 " in await watch.next_request()
        assert not watch.updates
        watch.peer.writers[-1].write(restarted + chunk(list_line(4, instanceId="newer")))
        await watch.wait_for_version(4)
        assert watch.endpoint_names() == ["new", "newer"]

    run_watch_scenario(scenario)


@pytest.mark.parametrize("older", [list_line(3, reset=True), list_line(3), EMPTY_SNAPSHOT])
def test_agent_that_catches_up_or_knows_nothing_yet_has_no_new_numbering(
    monkeypatch: pytest.MonkeyPatch, older: bytes
) -> None:
    # Guards against: an agent that lags behind brings back endpoints that are draining or removed.
    monkeypatch.setattr("rushroad.proxy.discovery.RENUMBERING_TIME_S", 0.05)

    async def scenario(watch: WatchHarness) -> None:
        catches_up = chunk(list_line(45)) if older.startswith(list_line(3, reset=True)) else b""
        await watch.peer.respond(RESPONSE_HEAD + chunk(older) + catches_up)
        await asyncio.sleep(0.1)
        assert watch.discovery.version == (45 if catches_up else 41)

    run_watch_scenario(scenario)


def test_older_long_list_is_ignored() -> None:
    async def scenario(watch: WatchHarness) -> None:
        assert LONG_LIST_VERSION < 60
        await watch.peer.respond(
            RESPONSE_HEAD + chunk(list_line(60)) + chunk(long_list()) + chunk(list_line(61))
        )
        await watch.wait_for_version(61)
        assert [update.version for update in watch.updates] == [60, 61]

    run_watch_scenario(scenario)


def test_drains_of_an_incomplete_list_are_not_undone_by_an_older_list() -> None:
    def incomplete_list(version: int, lifecycle: str, end: str) -> bytes:
        listed = [{"instanceId": name, "hostPort": "h:1", "lifecycle": lifecycle} for name in ("s-1", "x")]
        text = json.dumps({"generation": version, "reset": True, "instances": listed})
        return chunk(text.removesuffix("]}").encode() + end.encode())

    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD + incomplete_list(50, "DRAINING", "\n\n"))
        assert b"from=41 " in await watch.next_request()
        older = incomplete_list(49, "SERVING", "]}\n") + chunk(list_line(49, instanceId="y"))
        watch.peer.writers[-1].write(RESPONSE_HEAD + older)
        await watch.wait_for_version(49)
        watch.peer.writers[-1].write(chunk(list_line(50)))
        await watch.wait_for_version(50)
        assert [[(e.name, e.state) for e in update.endpoints] for update in watch.updates] == [
            [("s-1", EndpointState.DRAINING), ("x", EndpointState.DRAINING)],
            [],
            [("y", EndpointState.READY)],
            [("s-1", EndpointState.READY)],
        ]

    run_watch_scenario(scenario)


def test_connect_that_completes_after_an_address_change_sends_no_request() -> None:
    async def scenario() -> None:
        async with Peer() as peer, Peer() as other:
            delayed_loop = DelayedConnectLoop()
            loop = cast(asyncio.AbstractEventLoop, delayed_loop)
            address, rng = (LOOPBACK, peer.port), random.Random(1)
            updates: list[Any] = []
            discovery = Discovery(
                address, 41, PROXY_SETTINGS, lambda *update: updates.append(update), loop, rng
            )
            await delayed_loop.connect_requested.wait()
            discovery.set_address((LOOPBACK, other.port))
            await delayed_loop.cancelled_connect_done.wait()
            assert (await peer.receive())[1] == b""  # closed without a request
            delayed_loop.connect_allowed.set()
            assert b"from=41 " in (await other.receive())[1]
            discovery.close()

    run(scenario)


def test_address_change_opens_a_watch_at_the_new_address_from_the_current_version() -> None:
    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD + chunk(list_line(77)))
        await watch.next_update()
        async with Peer() as other:
            watch.discovery.set_address((LOOPBACK, other.port))
            watch.discovery.set_address((LOOPBACK, other.port))
            assert b"from=77 " in await other.respond(RESPONSE_HEAD + chunk(list_line(78)))
            assert (await watch.next_update()).version == 78
            assert (await watch.peer.receive())[1] == b""
            assert len(other.writers) == 1
            watch.discovery.close()

    run_watch_scenario(scenario)


def test_old_watch_is_read_until_the_new_address_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_module, "INITIAL_RECONNECT_DELAY_S", 0.01)

    async def scenario(watch: WatchHarness) -> None:
        await watch.peer.respond(RESPONSE_HEAD + chunk(list_line(77)))
        await watch.next_update()
        watch.discovery.set_address((LOOPBACK, 1))  # connection refused
        watch.peer.writers[0].write(chunk(list_line(78)))
        assert (await watch.next_update()).version == 78
        watch.discovery.set_address((LOOPBACK, watch.peer.port))
        assert b"from=78 " in await watch.peer.respond(RESPONSE_HEAD)

    run_watch_scenario(scenario)
