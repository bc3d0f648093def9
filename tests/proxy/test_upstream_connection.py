"""Connections on loopback sockets: which data closes them, and the result of an attempt when one breaks."""

import asyncio
import socket

import pytest

from rushroad.policy.events import Result
from tests.support.attempts import OK, UpstreamHarness, run_upstream_scenario
from tests.support.loopback import LOOPBACK, Peer, resp, run

pytestmark = pytest.mark.usefixtures("no_settle_time")


@pytest.mark.parametrize(
    "response",
    [
        b"what is this\r\n",
        OK + b"+more\r\n",
        OK + b"$9\r\nhal",
        OK + OK,
        b"*1\r\n$1\r\nx\r\n",
        b"-ERR odd\r\n",
        b"-BUSY \xff\r\n",
    ],
)
def test_connection_is_closed_after_a_malformed_unknown_or_duplicate_response(response: bytes) -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        await peer.respond(response)
        await harness.next_result()
        assert (await peer.receive())[1] == b""

    run_upstream_scenario(scenario)


def test_idle_connection_is_closed_when_data_arrives() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        await peer.respond(OK)
        await harness.next_result()
        peer.writers[0].write(b"+hello\r\n")
        assert (await peer.receive())[1] == b""

    run_upstream_scenario(scenario)


def test_break_after_the_command_was_written_is_a_reset() -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        (await peer.receive())[0].transport.abort()
        assert await harness.next_result() == (1, Result.RESET)

    run_upstream_scenario(scenario)


def test_break_before_the_whole_command_was_written_is_connect_failed() -> None:
    async def scenario() -> None:
        with socket.create_server((LOOPBACK, 0)) as listener:
            listener.setblocking(False)
            harness = UpstreamHarness(listener.getsockname()[1])
            harness.send(size=32 << 20)  # more than the socket buffers hold
            connection, _ = await asyncio.get_running_loop().sock_accept(listener)
            await asyncio.get_running_loop().sock_recv(connection, 10)
            connection.close()
            assert await harness.next_result() == (1, Result.CONNECT_FAILED)

    run(scenario)


def test_closing_connection_is_not_used() -> None:
    # The transport would drop the command and the attempt would count as reset, so a request that is not
    # idempotent could not be retried although it was never sent.
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        await peer.respond(OK)
        await harness.next_result()
        for transport in harness.transports():
            transport.close()
        harness.send(size=12)
        while (received := (await peer.receive())[1]) == b"":
            pass
        peer.writers[-1].write(OK)
        assert received == resp(b"CALL.GET", b"x" * 12)
        assert await harness.next_result() == (2, Result.OK)

    run_upstream_scenario(scenario)


def test_connection_with_unread_bytes_is_not_used() -> None:
    # If the event loop was busy, a duplicate response may still be unread in the socket.
    async def scenario() -> None:
        with socket.create_server((LOOPBACK, 0)) as listener:
            harness = UpstreamHarness(listener.getsockname()[1])
            loop = asyncio.get_running_loop()
            listener.setblocking(False)
            harness.send()
            endpoint, _ = await loop.sock_accept(listener)
            assert await loop.sock_recv(endpoint, 100) != b""
            endpoint.send(OK)
            await harness.next_result()
            endpoint.send(OK)  # not read by the event loop before the next attempt
            harness.send(size=12)
            other, _ = await loop.sock_accept(listener)
            assert await loop.sock_recv(other, 100) == resp(b"CALL.GET", b"x" * 12)
            endpoint.close()
            other.close()

    run(scenario)
