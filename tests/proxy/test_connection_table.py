"""Limits over all client connections: their number, idle time, time-outs and unread answers."""

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
        while len(gateway.connections.open) > 1:  # aborted, though this end has not closed
            await asyncio.sleep(0)
        assert len(gateway.connections.open) == 1  # one that was answered may be idle
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
        for reader, _ in silent[:16]:  # the oldest ones; four of the eight connections are theirs
            assert await reader.read() == b""
        assert len(gateway.connections.open) == 8
        for reader, writer in served + silent[16:]:
            writer.write(PING)
            assert await reader.readline() == PONG

    run_scenario(scenario)


def test_new_connection_over_the_limit_is_closed_when_all_others_are_busy(run_scenario: RunScenario) -> None:
    async def scenario(gateway: ClientSide) -> None:
        ends = [await gateway.connect() for _ in range(2)]
        for number, (_, writer) in enumerate(ends):
            writer.write(call(number))
        open_calls = [await gateway.engine.calls.get() for _ in ends]
        reader, _ = await gateway.connect()
        assert await reader.read() == b""
        for command, (reader, _) in zip(open_calls, ends, strict=True):
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
    # Aborted earlier, the client would lose answers that it still waits for; the memory for them is bounded.
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

        def time_out_and_tell(connection: ClientConnection) -> None:
            time_out(connection)
            timed_out.set()

        monkeypatch.setattr(ClientConnection, "time_out", time_out_and_tell)
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


def test_oldest_of_many_idle_connections_are_closed(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Some clients ask once and keep their connection for good: others must find room.
    monkeypatch.setattr("rushroad.proxy.connection_table.MIN_IDLE_TIME_S", 0.0)
    monkeypatch.setattr("rushroad.proxy.connection_table.SWEEP_INTERVAL_S", 0.01)

    async def scenario(gateway: ClientSide) -> None:
        ends = [await gateway.connect() for _ in range(4)]
        for reader, writer in ends:
            writer.write(PING)
            assert await reader.readline() == PONG
        for reader, _ in ends[:2]:
            assert await reader.read() == b""
        for reader, writer in ends[2:]:  # a quarter of the limit
            writer.write(PING)
            assert await reader.readline() == PONG

    run_scenario(scenario)


def test_ended_connection_whose_client_never_closes_times_out(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Otherwise it would keep its descriptor for good: it is not idle, so it makes room for no other.
    monkeypatch.setattr("rushroad.proxy.connection_table.SWEEP_INTERVAL_S", 0.01)

    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(call(1) + b"nonsense")
        (await gateway.engine.calls.get()).succeed(b"x" * (16 << 20))  # more than the sockets' buffers hold
        (connection,) = gateway.connections.open
        assert connection.ended_at is not None and connection.transport.get_write_buffer_size()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert (await reader.read()).endswith(b"unexpected type\r\n")
        monkeypatch.setattr("rushroad.proxy.connection_table.CLIENT_TIMEOUT_S", 0.0)
        while gateway.connections.open:
            await asyncio.sleep(0)

    run_scenario(scenario)
