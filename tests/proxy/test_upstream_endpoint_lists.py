"""Endpoint lists applied by Upstream: connection pools, removal, and the connection limit."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import cast

import pytest

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, Result
from rushroad.proxy.endpoint_decoder import MAX_ENDPOINTS_PER_PART, ListedEndpoint
from rushroad.proxy.engine import Attempt, Engine
from rushroad.proxy.upstream import Upstream
from rushroad.proxy.upstream_connection import UpstreamConnection
from tests.support.attempts import ATTEMPT_SETTINGS, OK, request_in_flight
from tests.support.loopback import LOOPBACK, Peer, RecordingEngine, run
from tests.support.watch import LONG_LIST_SIZE, RESPONSE_HEAD, WatchHarness, chunk, run_watch_scenario

pytestmark = pytest.mark.usefixtures("no_settle_time")


class Sender:
    """Sends attempts through an Upstream whose endpoints s-0, s-1 and so on have the address of one peer."""

    def __init__(self, peer: Peer, max_connections: int = 100) -> None:
        self.engine, self.peer, self.attempt_count = RecordingEngine(), peer, 0
        loop = asyncio.get_running_loop()
        self.upstream = Upstream(
            cast(Engine, self.engine), ATTEMPT_SETTINGS, 60_000_000, max_connections, loop
        )

    def update(
        self,
        numbers: range,
        is_snapshot: bool,
        is_first_part: bool = True,
        is_last_part: bool = True,
        state: EndpointState = EndpointState.READY,
    ) -> None:
        listed = [(Endpoint(f"s-{n}", state), (LOOPBACK, self.peer.port)) for n in numbers]
        self.upstream.update_endpoints(listed, is_snapshot, is_first_part, is_last_part)

    def send(self, number: int) -> None:
        self.attempt_count += 1
        attempt = Attempt(
            self.attempt_count, 0, f"s-{number}", request_in_flight(10, 0), self.engine.clock.now_us()
        )
        self.upstream.start(attempt, 10_000_000)

    async def result(self) -> Result:
        return (await self.engine.outcomes.get())[1]

    async def send_and_respond(self, number: int) -> asyncio.StreamWriter:
        """Send an attempt and respond to it; return the peer's side of its connection."""
        self.send(number)
        while not (received := await self.peer.receive())[1]:
            pass
        received[0].write(OK)
        assert await self.result() is Result.OK
        return received[0]


def run_sender_scenario(scenario: Callable[[Sender], Awaitable[None]], max_connections: int = 100) -> None:
    async def start() -> None:
        async with Peer() as peer:
            await scenario(Sender(peer, max_connections))

    run(start)


def test_only_endpoints_with_attempts_have_pools_and_only_while_the_pools_are_needed() -> None:
    async def scenario(sender: Sender) -> None:
        sender.update(range(LONG_LIST_SIZE), True)
        assert not sender.upstream._pools
        await sender.send_and_respond(7)
        assert list(sender.upstream._pools) == ["s-7"]
        sender.upstream.close_idle(sender.upstream.loop.time() + 60.0)
        assert (await sender.peer.receive())[1] == b""
        sender.upstream._sweep_idle()
        assert not sender.upstream._pools
        await sender.send_and_respond(7)

    run_sender_scenario(scenario)


def test_snapshot_in_parts_removes_unnamed_endpoints_only_after_its_last_part() -> None:
    async def scenario(sender: Sender) -> None:
        sender.update(range(LONG_LIST_SIZE), True)
        await sender.send_and_respond(7)
        sender.update(range(7), True, is_last_part=False)  # never completed
        sender.update(range(8, 100), True, is_last_part=False)  # a new snapshot
        sender.update(range(100, LONG_LIST_SIZE), True, is_first_part=False, is_last_part=False)
        await sender.send_and_respond(7)
        sender.update(range(0), True, is_first_part=False)
        assert (await sender.peer.receive())[1] == b""  # the idle connection of s-7
        sender.send(7)
        assert await sender.result() is Result.CONNECT_FAILED
        await sender.send_and_respond(LONG_LIST_SIZE - 1)

    run_sender_scenario(scenario)


def test_at_the_connection_limit_the_longest_idle_connection_is_closed_for_a_new_one() -> None:
    async def scenario(sender: Sender) -> None:
        sender.update(range(4), True)
        first, second = await sender.send_and_respond(0), await sender.send_and_respond(1)
        assert await sender.send_and_respond(0) is first
        third = await sender.send_and_respond(2)  # replaces the second
        assert await sender.send_and_respond(0) is first
        assert await sender.send_and_respond(2) is third
        assert await sender.send_and_respond(1) is not second
        sender.update(range(4), False, state=EndpointState.REMOVED)
        assert sender.upstream.connection_limit.open_count == 0
        assert not sender.upstream.connection_limit.idle

    run_sender_scenario(scenario, max_connections=2)


@pytest.mark.usefixtures("fresh_log")
def test_no_attempt_is_written_to_an_endpoint_after_the_part_of_an_update_that_removes_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    removed_count = 4042
    removed: set[str] = set()
    sent_after_removal: list[str] = []
    send = UpstreamConnection.send

    def record_send(connection: UpstreamConnection, attempt: Attempt, command: bytes) -> None:
        sent_after_removal.extend({attempt.endpoint} & removed)
        send(connection, attempt, command)

    async def scenario(watch: WatchHarness) -> None:
        watch.count_loop_iterations()
        async with Peer() as peer:
            sender, rng = Sender(peer, 1_000), random.Random(2)
            sender.update(range(LONG_LIST_SIZE), True)

            def remove(update: EndpointUpdate, listed: list[ListedEndpoint]) -> None:
                removed.update(endpoint.name for endpoint in update.endpoints)
                sender.upstream.update_endpoints(listed, False)
                watch.on_update(update, listed)

            watch.discovery._on_update = remove
            entries = [{"instanceId": f"s-{n}", "lifecycle": "DELETED"} for n in range(removed_count)]
            text = json.dumps({"generation": 50, "reset": False, "instances": entries}).encode()
            await watch.peer.respond(RESPONSE_HEAD + chunk(text))
            while watch.discovery.version != 50 or sender.attempt_count < 100:
                sender.send(rng.randrange(removed_count))  # some endpoints are removed while connecting
                await asyncio.sleep(0)
            await watch.wait_for_version(50)
            for number in range(0, removed_count, 100):
                sender.send(number)
            results = [
                await sender.result()
                for _ in range(sender.attempt_count - sender.upstream.connection_limit.open_count)
            ]
            assert results.count(Result.CONNECT_FAILED) >= removed_count // 100
            assert max(len(update.endpoints) for update in watch.updates) <= MAX_ENDPOINTS_PER_PART
            assert len(set(watch.update_iterations)) == len(watch.updates)
            await sender.send_and_respond(removed_count)
            sender.upstream.close()

    monkeypatch.setattr(UpstreamConnection, "send", record_send)
    run_watch_scenario(scenario)
    assert len(removed) == removed_count
    assert not sent_after_removal
