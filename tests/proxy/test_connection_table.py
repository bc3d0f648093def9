"""The limits that the table enforces: number of connections, idle time, timeouts and unread answers."""

import asyncio
from dataclasses import replace

import pytest

from rushroad.proxy.client_connection import ClientConnection
from tests.support.client_side import PING, PONG, ClientSide, RunScenario
from tests.support.loopback import SCHEMA, call


def test_new_connection_over_the_limit_closes_the_longest_idle_one(run_scenario: RunScenario) -> None:
    async def scenario(gateway: ClientSide) -> None:
        busy, idle = await gateway.connect(), await gateway.connect()
        busy[1].write(call(1))
        command = await gateway.engine.calls.get()
        idle[1].write(PING)
        assert await idle[0].readline() == PONG
        third = await gateway.connect()
        assert await idle[0].read() == b""
        third[1].write(PING)
        assert await third[0].readline() == PONG
        command.fail()
        assert await busy[0].readline() == b"-ERR failed\r\n"

    run_scenario(scenario, max_connections=2)


def test_connection_with_unread_input_is_not_closed_as_idle(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a request that has arrived, but not been read, is lost as its connection is closed.
    monkeypatch.setattr("rushroad.proxy.connection_table.CLIENT_TIMEOUT_S", 0.0)
    monkeypatch.setattr("rushroad.proxy.connection_table.MIN_IDLE_TIME_S", 0.0)
    monkeypatch.setattr("rushroad.proxy.connection_table.MAX_IDLE_FRACTION", 0.0)

    async def scenario(gateway: ClientSide) -> None:
        silent, idle = await gateway.connect(), await gateway.connect()
        idle[1].write(PING)
        assert await idle[0].readline() == PONG
        for connection in gateway.connections.open:
            connection.transport.pause_reading()  # what the clients send now stays in the kernel
        for _, writer in (silent, idle):
            writer.write(PING)
        for connection in list(gateway.connections.open):
            connection.time_out()
        gateway.connections.sweep()
        third = await gateway.connect()
        assert await third[0].read() == b""  # closed instead, as it is over the limit
        for connection in gateway.connections.open:
            connection.transport.resume_reading()
        for reader, _ in (silent, idle):
            assert await reader.readline() == PONG

    run_scenario(scenario, max_connections=2)


@pytest.mark.parametrize("start", [b"", call(1)[:-5], PING + call(1)[:-5]])
def test_connection_with_an_unfinished_command_times_out(
    run_scenario: RunScenario, start: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("rushroad.proxy.connection_table.CLIENT_TIMEOUT_S", 0.02)
    monkeypatch.setattr("rushroad.proxy.connection_table.SWEEP_INTERVAL_S", 0.01)

    async def scenario(gateway: ClientSide) -> None:
        idle_reader, idle = await gateway.connect()
        idle.write(PING)
        assert await idle_reader.readline() == PONG
        reader, writer = await gateway.connect()
        writer.write(start)
        answer = (await reader.read()).removeprefix(PONG)
        assert answer.startswith(b"-ERR the rest") if start else answer == b""
        while len(gateway.connections.open) > 1:  # aborted, although the client has not closed
            await asyncio.sleep(0)
        assert len(gateway.connections.open) == 1  # the idle connection stays open
        idle.write(PING)
        assert await idle_reader.readline() == PONG

    run_scenario(scenario)


def test_many_silent_connections_close_only_each_other(run_scenario: RunScenario) -> None:
    async def scenario(gateway: ClientSide) -> None:
        served = [await gateway.connect() for _ in range(4)]
        for reader, writer in served:
            writer.write(PING)
            assert await reader.readline() == PONG
        silent = [await gateway.connect() for _ in range(20)]
        for reader, _ in silent[:16]:  # the oldest ones; silent clients keep four of the eight connections
            assert await reader.read() == b""
        assert len(gateway.connections.open) == 8
        for reader, writer in served + silent[16:]:
            writer.write(PING)
            assert await reader.readline() == PONG

    run_scenario(scenario)


def test_new_connection_over_the_limit_is_closed_when_all_others_are_busy(run_scenario: RunScenario) -> None:
    async def scenario(gateway: ClientSide) -> None:
        clients = [await gateway.connect() for _ in range(2)]
        for number, (_, writer) in enumerate(clients):
            writer.write(call(number))
        open_calls = [await gateway.engine.calls.get() for _ in clients]
        reader, _ = await gateway.connect()
        assert await reader.read() == b""
        for command, (reader, _) in zip(open_calls, clients, strict=True):
            command.fail()
            assert await reader.readline() == b"-ERR failed\r\n"

    run_scenario(scenario, max_connections=2)


@pytest.mark.parametrize(
    ("longest_deadline_s", "max_unread_mib", "kept"), [(60.0, 64, True), (0.0, 64, False), (60.0, 1, False)]
)
def test_unread_answers_are_kept_until_the_longest_deadline_within_a_memory_limit(
    run_scenario: RunScenario,
    longest_deadline_s: float,
    max_unread_mib: int,
    kept: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # If aborted earlier, the client would lose answers that it still waits for; their memory is limited.
    monkeypatch.setattr("rushroad.proxy.connection_table.SWEEP_INTERVAL_S", 0.01)
    monkeypatch.setattr("rushroad.proxy.connection_table.CLIENT_TIMEOUT_S", 0.0)
    monkeypatch.setattr("rushroad.proxy.connection_table.MAX_UNREAD_BYTES", max_unread_mib << 20)
    timed_out = asyncio.Event()

    async def scenario(gateway: ClientSide) -> None:
        gateway.connections.schema = replace(SCHEMA, longest_deadline_s=longest_deadline_s)
        reader, writer = await gateway.connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(call(1) + call(2))
        first, second = await gateway.engine.calls.get(), await gateway.engine.calls.get()
        time_out = ClientConnection.time_out

        def time_out_and_notify(connection: ClientConnection) -> None:
            time_out(connection)
            timed_out.set()

        monkeypatch.setattr(ClientConnection, "time_out", time_out_and_notify)
        first.succeed(b"x" * (16 << 20))  # more than the sockets' buffers hold
        await timed_out.wait()
        assert (second.connection in gateway.connections.open) is kept
        second.fail()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        if kept:
            assert await reader.readline() == b"$%d\r\n" % (16 << 20)
            assert (await reader.readexactly((16 << 20) + 2)).endswith(b"x\r\n")
            assert await reader.readline() == b"-ERR failed\r\n"

    run_scenario(scenario)


def test_connections_idle_for_longest_are_closed_if_too_many_are_idle(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Some clients send one request and keep their connection open; new clients must still be able to connect.
    monkeypatch.setattr("rushroad.proxy.connection_table.MIN_IDLE_TIME_S", 0.0)
    monkeypatch.setattr("rushroad.proxy.connection_table.SWEEP_INTERVAL_S", 0.01)

    async def scenario(gateway: ClientSide) -> None:
        clients = [await gateway.connect() for _ in range(4)]
        for reader, writer in clients:
            writer.write(PING)
            assert await reader.readline() == PONG
        for reader, _ in clients[:2]:
            assert await reader.read() == b""
        for reader, writer in clients[2:]:  # a quarter of the limit
            writer.write(PING)
            assert await reader.readline() == PONG

    run_scenario(scenario)


def test_ended_connection_whose_client_never_closes_times_out(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Otherwise it would hold its descriptor forever: a connection that is not idle is not evicted.
    monkeypatch.setattr("rushroad.proxy.connection_table.SWEEP_INTERVAL_S", 0.01)

    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(call(1) + b"nonsense")
        command = await gateway.engine.calls.get()
        (connection,) = gateway.connections.open
        while connection.transport.is_reading():  # until the second turn of the connection
            await asyncio.sleep(0)
        command.succeed(b"x" * (16 << 20))  # more than the sockets' buffers hold
        assert connection.ended_at is not None and connection.transport.get_write_buffer_size()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert (await reader.read()).endswith(b"unexpected type\r\n")
        monkeypatch.setattr("rushroad.proxy.connection_table.CLIENT_TIMEOUT_S", 0.0)
        while gateway.connections.open:
            await asyncio.sleep(0)

    run_scenario(scenario)


def test_command_that_waits_for_its_turn_does_not_time_out(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a request that has arrived is refused as incomplete while other clients are served.
    monkeypatch.setattr("rushroad.proxy.connection_table.CLIENT_TIMEOUT_S", 0.0)
    monkeypatch.setattr("rushroad.proxy.command_scheduler.ITERATION_COST", 0)  # no turns

    async def scenario(gateway: ClientSide) -> None:
        scheduler = gateway.connections.scheduler
        scheduler._available = 0
        reader, writer = await gateway.connect()
        writer.write(call(1))
        while not (connections := list(gateway.connections.open)) or not connections[0]._blocked_by:
            await asyncio.sleep(0)
        gateway.connections.sweep()
        monkeypatch.setattr("rushroad.proxy.command_scheduler.ITERATION_COST", 1_024)
        (await gateway.engine.calls.get()).succeed(b"")
        assert await reader.readline() == b"$0\r\n"

    run_scenario(scenario)
