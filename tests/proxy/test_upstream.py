"""Attempts on loopback sockets: the result of each, and when nothing may be written."""

import asyncio
import errno
import socket
from types import SimpleNamespace
from typing import cast

import pytest

from rushroad.policy.events import EndpointState, Result
from tests.support.attempts import OK, UpstreamHarness, endpoint_at, run_upstream_scenario
from tests.support.loopback import LOOPBACK, DelayedConnectLoop, Peer, resp, run

pytestmark = pytest.mark.usefixtures("no_settle_time")


def test_refused_connect_is_connect_failed() -> None:
    async def scenario() -> None:
        with socket.socket() as bound:  # not listening
            bound.bind((LOOPBACK, 0))
            harness = UpstreamHarness(bound.getsockname()[1])
            harness.send()
            assert await harness.next_result() == (1, Result.CONNECT_FAILED)

    run(scenario)


def test_timed_out_attempt_closes_its_connection() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        await peer.respond(OK)  # the connection is established, so the timeout can't occur while connecting
        await harness.next_result()
        harness.send(timeout_us=20_000)
        assert (await peer.receive())[1] != b""
        assert await harness.next_result() == (2, Result.TIMEOUT)
        assert (await peer.receive())[1] == b""

    run_upstream_scenario(scenario)


def test_attempt_cancelled_or_timed_out_while_connecting_writes_nothing_later() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.upstream.cancel(harness.send(size=11))
        assert await harness.next_result() == (1, Result.CONNECT_FAILED)
        timed_out = harness.send(timeout_us=0, size=12)
        assert await harness.next_result() == (timed_out.request_id, Result.CONNECT_FAILED)
        harness.send(size=13)
        while (received := (await peer.receive())[1]) == b"":
            pass
        assert received == resp(b"CALL.GET", b"x" * 13)

    run_upstream_scenario(scenario)


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_connection_established_after_its_endpoint_drains_or_is_removed_is_not_used(
    state: EndpointState,
) -> None:
    # Not even within the drain grace, which starts when the agent learns of the drain: a gateway
    # may learn of it later.
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send(size=11)
        harness.upstream.update_endpoints(endpoint_at(peer.port, state), False)
        assert await harness.next_result() == (1, Result.CONNECT_FAILED)
        harness.upstream.update_endpoints(endpoint_at(peer.port), False)
        harness.send(size=12)
        while (received := (await peer.receive())[1]) == b"":
            pass
        assert received == resp(b"CALL.GET", b"x" * 12)

    run_upstream_scenario(scenario)


def test_connection_established_after_its_endpoint_restarted_is_not_used() -> None:
    # Another endpoint may have this address by then, so its result must not count for this one.
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        loop = DelayedConnectLoop()
        harness.upstream.loop = cast(asyncio.AbstractEventLoop, loop)
        harness.send(size=11)
        await loop.connect_requested.wait()
        harness.upstream.update_endpoints(endpoint_at(peer.port, started_at=7), False)
        loop.connect_allowed.set()
        assert await harness.next_result() == (1, Result.NOT_FORWARDED)
        assert (await peer.receive())[1] == b""

    run_upstream_scenario(scenario)


def test_attempt_beyond_the_connection_limit_is_not_forwarded() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        writer, _ = await peer.receive()
        harness.send()
        assert await harness.next_result() == (2, Result.NOT_FORWARDED)
        writer.write(OK)
        assert await harness.next_result() == (1, Result.OK)

    run_upstream_scenario(scenario, max_connections=1)


def test_attempt_without_a_free_file_descriptor_is_not_forwarded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        harness = UpstreamHarness(1)

        async def fail_to_connect(*_: object) -> None:
            raise OSError(errno.EMFILE, "too many open files")

        loop = SimpleNamespace(
            create_connection=fail_to_connect,
            create_task=asyncio.create_task,
            time=harness.upstream.loop.time,
            call_later=asyncio.get_running_loop().call_later,
        )
        monkeypatch.setattr(harness.upstream, "loop", loop)
        harness.send()
        assert await harness.next_result() == (1, Result.NOT_FORWARDED)

    run(scenario)
