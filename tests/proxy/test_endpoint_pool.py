"""Connection pools on loopback sockets: which connection an attempt gets, and when idle ones are closed."""

import asyncio

import pytest

from rushroad.policy.events import EndpointState, Result
from tests.support.attempts import OK, UpstreamHarness, endpoint_at, run_upstream_scenario
from tests.support.gateway_driver import NOT_IDEMPOTENT
from tests.support.loopback import Peer

pytestmark = pytest.mark.usefixtures("no_settle_time")


def test_connection_carries_one_attempt_at_a_time_and_is_reused() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        first, _ = await peer.receive()
        harness.send()
        second, _ = await peer.receive()
        assert first is not second
        second.write(OK)
        assert await harness.next_result() == (2, Result.OK)
        harness.send()
        assert (await peer.receive())[0] is second

    run_upstream_scenario(scenario)


def test_duplicate_response_within_the_settle_time_is_not_served_to_the_next_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The duplicate may arrive in a later read, when the connection would carry another attempt.
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        first, _ = await peer.receive()
        first.write(OK)
        await harness.next_result()
        harness.send()  # the first connection is within its settle time
        second, _ = await peer.receive()
        assert second is not first
        first.write(OK)
        assert (await peer.receive()) == (first, b"")
        second.write(OK.replace(b"value", b"other"))
        assert (await harness.engine.outcomes.get())[2] == b"other"

    monkeypatch.setattr("rushroad.proxy.endpoint_pool.SETTLE_TIME_S", 60.0)
    run_upstream_scenario(scenario)


def test_idle_connection_closes_before_the_endpoint_closes_it() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        await peer.respond(OK)
        await harness.next_result()
        now = harness.upstream.loop.time()
        # The endpoint closes idle connections after 60 s, the gateway after half of that.
        for idle_s, stays_open in ((25.0, True), (35.0, False)):
            harness.upstream.close_idle(now + idle_s)
            harness.send()
            writer, data = await peer.receive()
            assert (data != b"") is stays_open
            if stays_open:
                writer.write(OK)
                await harness.next_result()

    run_upstream_scenario(scenario)


def test_removed_endpoint_finishes_its_attempts_and_its_idle_connections_are_closed() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        writer, _ = await peer.receive()
        harness.upstream.update_endpoints([], True)  # a snapshot without the endpoint
        writer.write(OK)
        assert await harness.next_result() == (1, Result.OK)
        assert (await peer.receive())[1] == b""

    run_upstream_scenario(scenario)


def test_idle_connections_are_closed_when_their_endpoint_restarts() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        await peer.respond(OK)
        await harness.next_result()
        harness.upstream.update_endpoints(endpoint_at(peer.port, started_at=7), False)
        assert (await peer.receive())[1] == b""

    run_upstream_scenario(scenario)


def test_connection_in_use_is_closed_after_its_response_when_its_endpoint_restarted() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        writer, _ = await peer.receive()
        harness.upstream.update_endpoints(endpoint_at(peer.port, started_at=7), False)
        writer.write(OK)
        assert await harness.next_result() == (1, Result.OK)
        assert await peer.receive() == (writer, b"")

    run_upstream_scenario(scenario)


@pytest.mark.parametrize("abandoned", [1, 2])
def test_idle_connections_are_closed_after_two_abandoned_attempts_without_data(abandoned: int) -> None:
    # When a host fails, its connections stay open without traffic, and are reset later. A single timeout is
    # more often a slow response, and a new connection costs the endpoint work.
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        for _ in range(3):
            harness.send()
        received = [await peer.receive() for _ in range(3)]
        for writer, _ in received:
            writer.write(OK)
        for _ in range(3):
            await harness.next_result()
        for _ in range(abandoned):
            attempt = harness.send()
            assert (await peer.receive())[1] != b""
            harness.upstream.cancel(attempt)
            assert await harness.next_result() == (attempt.request_id, Result.CANCELLED)
            assert (await peer.receive())[1] == b""
        if abandoned == 2:
            assert (await peer.receive())[1] == b""  # the third connection, which was idle
        harness.send()
        writer, data = await peer.receive()
        assert data != b""
        assert (writer in [previous for previous, _ in received]) is (abandoned == 1)

    run_upstream_scenario(scenario)


def test_idle_connections_stay_open_after_one_slow_response_of_an_endpoint_that_responds_to_others() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        first, _ = await peer.receive()
        slow = harness.send()
        second, _ = await peer.receive()
        first.write(OK)
        assert await harness.next_result() == (1, Result.OK)
        harness.upstream.cancel(slow)
        assert await harness.next_result() == (2, Result.CANCELLED)
        assert (await peer.receive()) == (second, b"")
        harness.send()
        assert (await peer.receive())[0] is first

    run_upstream_scenario(scenario)


def test_non_idempotent_request_gets_a_new_connection_after_resets_of_idle_ones() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        for _ in range(3):  # each connection is reset at its second request
            harness.send()
            writer = await respond(peer, OK)
            await harness.next_result()
            harness.send()
            while not (again := await peer.receive())[1]:
                pass
            assert again[0] is writer
            writer.transport.abort()
            assert (await harness.next_result())[1] is Result.RESET
        harness.send()
        writer = await respond(peer, OK)
        await harness.next_result()
        harness.send(class_index=NOT_IDEMPOTENT)
        assert await respond(peer, OK) is not writer
        assert (await harness.next_result())[1] is Result.OK

    run_upstream_scenario(scenario)


def test_pool_of_a_removed_endpoint_is_deleted_after_its_last_attempt() -> None:
    # Endpoints are constantly replaced under new names, so pools that are kept would fill the memory.
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        upstream = harness.upstream
        harness.send()
        writer, _ = await peer.receive()
        upstream.update_endpoints(endpoint_at(peer.port, EndpointState.REMOVED), False)
        upstream._sweep_idle()
        assert set(upstream._pools) == {"s-1"}
        writer.write(OK)
        assert await harness.next_result() == (1, Result.OK)
        upstream._sweep_idle()
        assert not upstream._pools
        harness.send()
        assert await harness.next_result() == (2, Result.CONNECT_FAILED)

    run_upstream_scenario(scenario)


async def respond(peer: Peer, response: bytes) -> asyncio.StreamWriter:
    """Respond to the next command; returns the connection on which it arrived."""
    while not (received := await peer.receive())[1]:
        pass
    received[0].write(response)
    return received[0]
