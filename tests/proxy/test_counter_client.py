"""Calls to a counter on loopback sockets: late replies, reconnects, and a change of address."""

import asyncio

import pytest

from rushroad.policy.actions import CounterAdd
from rushroad.policy.events import LateCounterReply, Result
from rushroad.proxy import counter_client
from rushroad.proxy.counter_client import CounterClient
from tests.support.counter_client_scenarios import (
    LONG_TIMEOUT_US,
    SHORT_TIMEOUT_US,
    RecordedReplies,
    run_with_counter_client,
    wait_until_connected,
)
from tests.support.gateway_driver import Driver, action_names
from tests.support.loopback import LOOPBACK, Peer


def test_late_reply_finishes_no_other_call_and_is_reported_as_late() -> None:
    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        client.add(8, 1.0, 1_000_000)
        writer, _ = await peer.receive()
        assert (await replies.get()).result is Result.TIMEOUT
        client.add(8, 2.0, 1_000_000)
        await peer.receive()
        writer.write(b"ok 1\r\nok 3\r\n")
        reply = await replies.get()
        assert (reply.result, reply.total) == (Result.OK, 3.0)
        assert replies.empty()
        assert replies.late.get_nowait() == LateCounterReply(8, 1.0, 1.0)
        assert replies.late.empty()

    run_with_counter_client(scenario, SHORT_TIMEOUT_US)


def test_late_total_over_the_quota_makes_the_policy_reject_the_next_request() -> None:
    # If most replies are late, the gateway would otherwise not see what other gateways have forwarded.
    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        driver = Driver()
        (call,) = driver.request()
        assert isinstance(call, CounterAdd)
        client.add(call.total_name, call.amount, call.lifetime)
        writer, _ = await peer.receive()
        # The call timed out, so the request is forwarded without its total.
        assert action_names(driver.handle(await replies.get())) == ["StartAttempt"]
        writer.write(b"ok 9\r\n")  # the other gateways used 8 of 8
        driver.handle(await replies.late.get())
        assert action_names(driver.request()) == ["Reject"]

    run_with_counter_client(scenario, SHORT_TIMEOUT_US)


def test_call_on_a_broken_connection_is_reset_and_without_a_connection_is_connect_failed() -> None:
    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        client.add(8, 1.0, 1_000_000)
        await peer.receive()
        for writer in peer.writers:
            writer.transport.abort()
        assert (await replies.get()).result is Result.RESET
        while client.connection_for(8) is not None:
            await asyncio.sleep(0)
        client.add(8, 1.0, 1_000_000)
        assert (await replies.get()).result is Result.CONNECT_FAILED
        await wait_until_connected(client)  # the client reconnects by itself
        client.add(8, 1.0, 1_000_000)
        while (received := await peer.receive())[1] == b"":
            pass
        received[0].write(b"ok 1\r\n")
        assert (await replies.get()).result is Result.OK

    run_with_counter_client(scenario, LONG_TIMEOUT_US)


def test_calls_for_a_name_move_in_order_to_the_other_connection_after_an_invalid_reply() -> None:
    # Otherwise requests of that name would be admitted uncounted until the reconnect.
    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        client.add(8, 1.0, 1_000_000)
        first, _ = await peer.receive()
        first.write(b"what\r\n")
        assert (await replies.get()).result is Result.RESET
        client.add(8, 2.0, 1_000_000)
        while (received := await peer.receive())[1] == b"":
            pass
        assert received[0] is not first
        client.add(8, 3.0, 1_000_000)  # stays on that connection while a call of the name is in flight
        while (again := await peer.receive())[1] == b"":
            pass
        assert again == (received[0], b"bump 8 3.000000 1000\r\n")
        received[0].write(b"ok 3\r\nok 6\r\n")
        assert [(await replies.get()).total for _ in range(2)] == [3.0, 6.0]

    run_with_counter_client(scenario, LONG_TIMEOUT_US)


def test_lost_connection_that_had_replied_is_replaced_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counter_client, "INITIAL_RECONNECT_DELAY_S", 60.0)

    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        client.add(8, 1.0, 1_000_000)
        first, _ = await peer.receive()
        first.write(b"ok 1\r\nwhat\r\n")
        assert (await replies.get()).result is Result.OK
        assert await peer.receive() == (first, b"")
        while len(peer.writers) < 3:
            await asyncio.sleep(0.001)

    run_with_counter_client(scenario, LONG_TIMEOUT_US)


def test_calls_in_flight_finish_at_the_old_address_and_new_ones_go_to_the_new_one_once_connected() -> None:
    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        client.add(8, 1.0, 1_000_000)
        writer, _ = await peer.receive()
        async with Peer() as other:
            client.set_address((LOOPBACK, other.port))
            client.set_address((LOOPBACK, other.port))  # the same address again changes nothing
            client.add(7, 1.0, 1_000_000)  # goes to the old address, as the new one is not connected yet
            assert (await peer.receive())[1] == b"bump 7 1.000000 1000\r\n"
            while len(other.writers) < 2:
                await asyncio.sleep(0.001)
            client.add(9, 2.0, 1_000_000)
            received = await other.receive()
            assert received[1] == b"bump 9 2.000000 1000\r\n"
            received[0].write(b"ok 2\r\n")
            assert (await replies.get()).total == 2.0
            writer.write(b"ok 1\r\n")
            assert (await replies.get()).total == 1.0
            assert await peer.receive() == (writer, b"")  # closed once no call is in flight on it
            client.close()

    run_with_counter_client(scenario, LONG_TIMEOUT_US)


def test_late_total_from_the_old_address_is_not_reported() -> None:
    # It would be taken for the usage at the new address, where the total may have started again from 0.
    async def scenario(client: CounterClient, peer: Peer, replies: RecordedReplies) -> None:
        client.add(8, 1.0, 1_000_000)
        writer, _ = await peer.receive()
        assert (await replies.get()).result is Result.TIMEOUT
        async with Peer() as other:
            before = list(client._connections)
            client.set_address((LOOPBACK, other.port))
            while any(connection is None or connection in before for connection in client._connections):
                await asyncio.sleep(0.001)
            writer.write(b"ok 9\r\n")
            while (await peer.receive())[0] is not writer:  # until that connection is closed
                pass
            assert replies.late.empty()
            client.close()

    run_with_counter_client(scenario, SHORT_TIMEOUT_US)
