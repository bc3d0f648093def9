"""Connections to a counter on loopback sockets: commands, ordered replies, pings, and closing."""

import asyncio

import pytest

from rushroad.policy.events import Result
from rushroad.proxy import counter_client, counter_connection
from rushroad.proxy.counter_client import CounterClient
from tests.support.counter_client_scenarios import (
    LONG_TIMEOUT_US,
    RecordedReplies,
    run_with_counter_client,
    wait_until_connected,
)
from tests.support.loopback import Peer


@pytest.mark.parametrize(
    ("reply", "result", "total"),
    [
        (b"ok 12.5\r\n", Result.OK, 12.5),
        (b"busy\r\n", Result.OVERLOADED, 0.0),
        (b"error\r\n", Result.OVERLOADED, 0.0),
        (b"what\r\n", Result.RESET, 0.0),
        (b"ok nan\r\n", Result.RESET, 0.0),
        (b"ok\r\n", Result.RESET, 0.0),
        (b"\xff" * 1_000, Result.RESET, 0.0),
    ],
)
def test_reply_gives_its_result_and_total(reply: bytes, result: Result, total: float) -> None:
    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        client.add(0xABC, -2.5, 4_000_001)
        assert await peer.respond(reply) == b"bump abc -2.500000 4001\r\n"
        received = await replies.get()
        assert (received.total_name, received.result, received.total) == (0xABC, result, total)

    run_with_counter_client(scenario, LONG_TIMEOUT_US)


def test_calls_of_one_name_share_a_connection_and_get_their_replies_in_order() -> None:
    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        for amount in (1.0, 2.0, 3.0):
            client.add(8, amount, 1_000_000)
        writer, data = await peer.receive()
        while data.count(b"\r\n") < 3:
            data += (await peer.receive())[1]
        writer.write(b"ok 1\r\nok 3\r")
        writer.write(b"\nok 6\r\n")
        assert [(await replies.get()).total for _ in range(3)] == [1.0, 3.0, 6.0]

    run_with_counter_client(scenario, LONG_TIMEOUT_US)


def test_idle_connection_is_kept_open_by_pings(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counter_connection, "IDLE_PING_AFTER_S", 0.0)
    monkeypatch.setattr(counter_client, "MONITOR_INTERVAL_S", 0.01)

    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        writer, data = await peer.receive()
        assert data == b"ping\r\n"
        total_name = next(n for n in range(9) if client.connection_for(n) is client.connection_for(0))
        writer.write(b"pong\r\n")
        client.add(total_name, 1.0, 1_000)
        assert replies.empty()

    run_with_counter_client(scenario, LONG_TIMEOUT_US)


def test_connection_without_replies_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counter_connection, "UNRESPONSIVE_AFTER_S", 0.0)
    monkeypatch.setattr(counter_client, "MONITOR_INTERVAL_S", 0.01)

    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        client.add(8, 1.0, 1_000_000)
        assert (await peer.receive())[1] != b""
        assert (await peer.receive())[1] == b""
        assert (await replies.get()).result is Result.RESET

    run_with_counter_client(scenario, LONG_TIMEOUT_US)


def test_counter_that_replies_late_is_heard_after_some_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: a slow counter is never heard, as each connection is closed before its reply comes.
    reply_timeout_s = 0.02
    monkeypatch.setattr(counter_connection, "UNRESPONSIVE_AFTER_S", reply_timeout_s)
    monkeypatch.setattr(counter_client, "MONITOR_INTERVAL_S", reply_timeout_s / 4)

    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        async def reply_late() -> None:
            while True:
                writer, data = await peer.receive()
                for _ in range(data.count(b"\r\n")):
                    loop = asyncio.get_running_loop()
                    loop.call_later(5 * reply_timeout_s, writer.write, b"ok 1\r\n")

        replying = asyncio.create_task(reply_late())
        client.add(8, 1.0, 1_000_000)
        while (await replies.get()).result is not Result.OK:
            await wait_until_connected(client)
            client.add(8, 1.0, 1_000_000)
        replying.cancel()

    run_with_counter_client(scenario, LONG_TIMEOUT_US)


def test_call_while_all_connections_are_closing_is_connect_failed() -> None:
    # The transport would drop the call's data, as the peer has closed the connection.
    async def scenario(client: CounterClient, _peer: Peer, replies: RecordedReplies) -> None:
        while (connection := client.connection_for(8)) is not None:
            assert connection._transport is not None
            connection._transport.close()
        client.add(8, 1.0, 1_000_000)
        assert (await replies.get()).result is Result.CONNECT_FAILED

    run_with_counter_client(scenario, LONG_TIMEOUT_US)
