"""Client connections: order of answers, limits on input, and closing after malformed input."""

import asyncio

import pytest

from rushroad.proxy.buffer_limit import READ_BYTES
from rushroad.proxy.client_connection import MAX_UNANSWERED
from tests.support.client_side import PING, PONG, ClientSide, RunScenario
from tests.support.loopback import call, resp

COMMANDS = 1_000  # of one connection at once; more than it may read ahead with the least memory


def test_answers_keep_the_order_of_the_commands(run_scenario: RunScenario) -> None:
    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(call(1) + call(2) + PING + call(3))
        first, second, third = [await gateway.engine.calls.get() for _ in range(3)]
        third.fail()
        second.reject(1_200)
        first.succeed(b"one\r\n")
        expected = b"$5\r\none\r\n\r\n" + b"-BUSY 2\r\n" + PONG + b"-ERR failed\r\n"
        assert await reader.readexactly(len(expected)) == expected
        writer.write(call(4))
        (await gateway.engine.calls.get()).reject(0)
        assert await reader.readexactly(7) == b"-BUSY\r\n"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"hello\r\n",
        b"PING\r\n",
        b":1\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*1\r\n:3\r\n",
        b"*1\r\n$-1\r\n",
        b"*2\r\n$4\r\nPING\r\n*1\r\n$1\r\nx\r\n",
        b"*1\r\n$x\r\n",
        b"*99999999999\r\n",
        b"*1000000000\r\n",
        PING + b"*1\r\n*1000000000\r\n",
        b"*2\r\n$4\r\nPING\r\n$62914560\r\n",
        b"*2\r\n$4\r\nPING\r\n$99999999\r\n" + b"x" * 200_000,
        resp(b"CALL.POST", b"x" * 65_537),
    ],
)
def test_malformed_input_is_answered_after_earlier_commands_and_closes_the_connection(
    run_scenario: RunScenario, data: bytes
) -> None:
    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(call(1))
        command = await gateway.engine.calls.get()
        writer.write(data)
        other_reader, other = await gateway.connect()  # other connections are not affected
        other.write(PING)
        assert await other_reader.readline() == PONG
        command.succeed(b"")
        assert await reader.readexactly(6) == b"$0\r\n\r\n"
        if data.startswith(PING):
            assert await reader.readline() == PONG
        assert (await reader.readline()).startswith(b"-ERR ")
        assert await reader.read() == b""

    run_scenario(scenario)


def test_disconnect_cancels_unanswered_requests_and_drops_their_answers(run_scenario: RunScenario) -> None:
    async def scenario(gateway: ClientSide) -> None:
        _, writer = await gateway.connect()
        writer.write(call(1) + call(2))
        first, second = await gateway.engine.calls.get(), await gateway.engine.calls.get()
        second.fail()
        writer.transport.abort()
        assert await gateway.engine.disconnected.get() == 1
        first.succeed(b"late")
        assert gateway.engine.disconnected.empty()
        assert not gateway.connections.open

    run_scenario(scenario)


def test_id_of_a_request_in_flight_is_refused(run_scenario: RunScenario) -> None:
    # A rate server would treat it as a duplicate of the request in flight with the same ID.
    async def scenario(gateway: ClientSide) -> None:
        gateway.engine.ids_in_flight.add(b"%016x" % 1)
        reader, writer = await gateway.connect()
        writer.write(call(1) + PING)
        assert (await reader.readline()).startswith(b"-ERR ")
        assert await reader.readline() == PONG
        assert gateway.engine.calls.empty()

    run_scenario(scenario)


def test_input_after_a_malformed_command_is_not_read(run_scenario: RunScenario) -> None:
    # A client may continue to send at full speed while an earlier answer is due; reading that costs CPU time.
    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(call(1) + b"nonsense")
        command = await gateway.engine.calls.get()
        (connection,) = gateway.connections.open
        while connection.transport.is_reading():  # until the second turn of the connection
            await asyncio.sleep(0)
        command.fail()
        assert await reader.read() == b"-ERR failed\r\n-ERR Protocol error: an unexpected type\r\n"

    run_scenario(scenario)


def test_unanswered_commands_of_a_connection_are_limited_and_all_are_answered(
    run_scenario: RunScenario,
) -> None:
    # Hundreds of commands at once would fill memory and delay other clients, so most wait in the socket.
    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(b"".join(call(number) for number in range(COMMANDS)) + PING)
        first = await gateway.engine.calls.get()
        (connection,) = gateway.connections.open
        while len(connection.unanswered) < MAX_UNANSWERED:  # for some turns of the connection
            await asyncio.sleep(0)
        for _ in range(3):
            await asyncio.sleep(0)
            assert len(connection.unanswered) == MAX_UNANSWERED
        assert not connection.transport.is_reading()
        assert connection.input.unread_bytes <= gateway.connections.buffers.max_read_ahead_bytes + READ_BYTES
        first.fail()
        for _ in range(COMMANDS - 1):
            (await gateway.engine.calls.get()).fail()
        for _ in range(COMMANDS):
            assert await reader.readline() == b"-ERR failed\r\n"
        assert await reader.readline() == PONG
        assert connection.transport.is_reading()

    run_scenario(scenario, memory_limit=0)


def test_reading_pauses_after_an_invalid_command(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A client that resends an invalid command immediately must not take CPU time from other clients.
    monkeypatch.setattr("rushroad.proxy.client_connection.INVALID_COMMAND_PAUSE_S", 0.02)

    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(resp(b"GET", b"x"))
        assert (await reader.readline()).startswith(b"-ERR ")
        (connection,) = gateway.connections.open
        assert not connection.transport.is_reading()
        writer.write(PING)
        assert await reader.readline() == PONG
        assert connection.transport.is_reading()

    run_scenario(scenario)
