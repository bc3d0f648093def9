"""ClientListener on loopback sockets: what is a call, and the order and number of answers."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import cast

import pytest

from rushroad.proxy.client_connection import MAX_UNANSWERED, ClientConnection
from rushroad.proxy.client_listener import ClientListener
from rushroad.proxy.engine import Engine
from tests.support.loopback import LOCAL, SCHEMA, TENANT, Heard, call, resp, run

PING, PONG = resp(b"PING"), b"+PONG\r\n"
Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Scenario = Callable[[Heard, ClientListener, Callable[[], Awaitable[Ends]]], Awaitable[None]]


def play(scenario: Scenario, most: int = 8) -> None:
    async def start() -> None:
        heard = Heard()
        clients = ClientListener(cast(Engine, heard), SCHEMA, most, asyncio.get_running_loop())
        await clients.listen(LOCAL, 0)
        await scenario(heard, clients, lambda: asyncio.open_connection(LOCAL, clients.port))
        for connection in list(clients.connections.open):
            connection.transport.abort()

    run(start)


def test_answers_keep_the_order_of_the_commands() -> None:
    async def scenario(heard: Heard, __: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        reader, writer = await connect()
        writer.write(call(1) + call(2) + PING + call(3))
        first, second, third = [await heard.calls.get() for _ in range(3)]
        third.fail()
        second.reject(1_200)
        first.succeed(b"one\r\n")
        wanted = b"$5\r\none\r\n\r\n" + b"-BUSY 2\r\n" + PONG + b"-ERR failed\r\n"
        assert await reader.readexactly(len(wanted)) == wanted
        writer.write(call(4))
        (await heard.calls.get()).reject(0)
        assert await reader.readexactly(7) == b"-BUSY\r\n"

    play(scenario)


def test_a_call_in_pieces_is_read_and_goes_on_with_the_gateways_wait() -> None:
    async def scenario(heard: Heard, __: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        _, writer = await connect()
        terms = b"c=order,t=basic,d=480,units=1.5,spread=3,first=1,r=1,k=d=7"
        data = resp(b"CALL.POST", TENANT, b"9b1f03aa5c7e2d41", terms, b"b\r\n\0dy")
        for byte in range(len(data)):
            writer.write(data[byte : byte + 1])
            await writer.drain()
            await asyncio.sleep(0)
        got = await heard.calls.get()
        assert (got.class_index, got.plan_index, got.tenant, got.units) == (1, 0, 0xAB, 1.5)
        assert (got.time_remaining_ms, got.entry_points, got.first_entry, got.is_retry) == (480, 3, 1, True)
        assert got.forwarded_command(123_456) == data.replace(b",d=480,", b",d=123,")

    play(scenario)


@pytest.mark.parametrize(
    "words",
    [
        (b"GET", b"x"),
        (b"CALL.GET",),
        (b"CALL.GET", TENANT, b"1"),
        (b"CALL.POST", TENANT, b"1", b"c=order,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=nothing,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=nothing,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=\xff,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic"),
        (b"CALL.GET", TENANT, b"1", b""),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=0"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=x"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=nan"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=-1"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=inf"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=1_0"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=+1"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=4.5"),  # more than a request may count
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=1e9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=+9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d= 9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=1_0"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,odd=9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,r=2"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,spread=4"),  # more gateways than there are
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,first=3"),
        (b"CALL.GET", TENANT, b"", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"a b", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1" * 65, b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=order,t=basic,d=9"),  # must not be repeated
        (b"CALL.POST", TENANT, b"1", b"c=lookup,t=basic,d=9", b""),
        (b"call.get", TENANT, b"1", b"c=lookup,t=basic,d=9"),  # it would go on as it is
        (b"CALL.GET", b"+0000000000000ab", b"1", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", b"0000_0000_0000ab", b"1", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,spread=0"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,first=-1"),
        (b"CALL.GET", b"00000002000000000", b"1", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", b"0000000200000000", b"1", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", b"zz000000000000ab", b"1", b"c=lookup,t=basic,d=9"),
        (b"",),
    ],
)
def test_a_bad_command_gets_an_error_and_the_connection_goes_on(words: tuple[bytes, ...]) -> None:
    async def scenario(heard: Heard, __: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        reader, writer = await connect()
        writer.write(resp(*words) + PING)
        assert (await reader.readline()).startswith(b"-ERR ")
        assert await reader.readline() == PONG
        assert heard.calls.empty()

    play(scenario)


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
def test_malformed_input_gets_an_error_after_what_is_owed_and_the_end(data: bytes) -> None:
    async def scenario(heard: Heard, __: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        reader, writer = await connect()
        writer.write(call(1))
        got = await heard.calls.get()
        writer.write(data)
        other_reader, other = await connect()  # it harms no other connection
        other.write(PING)
        assert await other_reader.readline() == PONG
        got.succeed(b"")
        assert await reader.readexactly(6) == b"$0\r\n\r\n"
        if data.startswith(PING):
            assert await reader.readline() == PONG
        assert (await reader.readline()).startswith(b"-ERR ")
        assert await reader.read() == b""

    play(scenario)


def test_a_client_that_has_gone_is_told_to_the_engine_and_gets_no_answer() -> None:
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        _, writer = await connect()
        writer.write(call(1) + call(2))
        first, second = await heard.calls.get(), await heard.calls.get()
        second.fail()
        writer.transport.abort()
        assert await heard.left.get() == 1
        first.succeed(b"late")
        assert heard.left.empty()
        assert not clients.connections.open

    play(scenario)


def test_the_longest_idle_connection_makes_room() -> None:
    async def scenario(heard: Heard, __: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        busy, idle = await connect(), await connect()
        busy[1].write(call(1))
        got = await heard.calls.get()
        idle[1].write(PING)
        assert await idle[0].readline() == PONG
        third = await connect()
        assert await idle[0].read() == b""
        third[1].write(PING)
        assert await third[0].readline() == PONG
        got.fail()
        assert await busy[0].readline() == b"-ERR failed\r\n"

    play(scenario, most=2)


def test_after_the_stop_what_was_taken_is_answered_and_then_all_is_closed() -> None:
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        idle, busy = await connect(), await connect()
        busy[1].write(call(1))
        got = await heard.calls.get()
        stopping = asyncio.create_task(clients.stop(0.05, 5.0))
        late = await connect()  # new ones still come for a while
        late[1].write(call(2))
        last = await heard.calls.get()
        assert await idle[0].read() == b""
        got.succeed(b"x")
        assert await busy[0].read() == b"$1\r\nx\r\n"
        assert not stopping.done()
        last.fail()
        assert await late[0].read() == b"-ERR failed\r\n"
        await stopping
        with pytest.raises(ConnectionRefusedError):
            await connect()

    play(scenario)


def test_a_half_read_command_does_not_hold_the_stop_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rushroad.proxy.client_listener.PARTIAL_COMMAND_TIMEOUT", 0.02)

    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        reader, writer = await connect()
        writer.write(call(1) + call(2)[:-5])
        got = await heard.calls.get()
        stopping = asyncio.create_task(clients.stop(0.0, 5.0))
        got.succeed(b"x")
        assert await reader.read() == b"$1\r\nx\r\n"
        await stopping

    play(scenario)


def test_the_id_of_an_open_request_is_turned_away() -> None:
    # Guards rule 2: at a server it would be a second copy of the other one.
    async def scenario(heard: Heard, __: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        heard.taken.add(b"%016x" % 1)
        reader, writer = await connect()
        writer.write(call(1) + PING)
        assert (await reader.readline()).startswith(b"-ERR ")
        assert await reader.readline() == PONG
        assert heard.calls.empty()

    play(scenario)


def test_what_follows_a_malformed_command_is_not_read() -> None:
    # Guards the CPU: a client may go on sending at full speed while an answer before it is still due.
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        reader, writer = await connect()
        writer.write(call(1) + b"nonsense")
        got = await heard.calls.get()
        (connection,) = clients.connections.open
        assert not connection.transport.is_reading()
        got.fail()
        assert await reader.read() == b"-ERR failed\r\n-ERR Protocol error: an unexpected type\r\n"

    play(scenario)


def test_open_commands_of_a_connection_are_bounded_and_all_get_their_answers() -> None:
    # Guards memory and the others' share: hundreds of commands at once wait in the socket.
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        reader, writer = await connect()
        writer.write(b"".join(call(number) for number in range(200)) + PING)
        first = await heard.calls.get()
        (connection,) = clients.connections.open
        assert len(connection.unanswered) == MAX_UNANSWERED
        assert not connection.transport.is_reading()
        first.fail()
        for _ in range(199):
            (await heard.calls.get()).fail()
        for _ in range(200):
            assert await reader.readline() == b"-ERR failed\r\n"
        assert await reader.readline() == PONG
        assert connection.transport.is_reading()

    play(scenario)


def test_one_that_sends_what_is_no_call_is_not_read_for_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards the others' CPU against one that sends the same again as soon as it is turned away.
    monkeypatch.setattr("rushroad.proxy.client_connection.INVALID_COMMAND_PAUSE", 0.02)

    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        reader, writer = await connect()
        writer.write(resp(b"GET", b"x"))
        assert (await reader.readline()).startswith(b"-ERR ")
        (connection,) = clients.connections.open
        assert not connection.transport.is_reading()
        writer.write(PING)
        assert await reader.readline() == PONG
        assert connection.transport.is_reading()

    play(scenario)


@pytest.mark.parametrize("start", [b"", call(1)[:-5], PING + call(1)[:-5]])
def test_one_that_does_not_finish_a_command_is_ended(start: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rushroad.proxy.connection_table.CLIENT_TIMEOUT", 0.02)
    monkeypatch.setattr("rushroad.proxy.connection_table.SWEEP_INTERVAL", 0.01)

    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        idle_reader, idle = await connect()
        idle.write(PING)
        assert await idle_reader.readline() == PONG
        reader, writer = await connect()
        writer.write(start)
        answer = (await reader.read()).removeprefix(PONG)
        assert answer.startswith(b"-ERR the rest") if start else answer == b""
        while len(clients.connections.open) > 1:  # cut off, though this end has not closed
            await asyncio.sleep(0)
        assert len(clients.connections.open) == 1  # one that has been answered may idle
        idle.write(PING)
        assert await idle_reader.readline() == PONG

    play(scenario)


def test_many_that_say_nothing_make_room_among_themselves() -> None:
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        served = [await connect() for _ in range(4)]
        for reader, writer in served:
            writer.write(PING)
            assert await reader.readline() == PONG
        silent = [await connect() for _ in range(20)]
        for reader, _ in silent[:16]:  # the oldest; four of the eight are left to them
            assert await reader.read() == b""
        assert len(clients.connections.open) == 8
        for reader, writer in served + silent[16:]:
            writer.write(PING)
            assert await reader.readline() == PONG

    play(scenario)


def test_there_are_never_more_connections_than_allowed() -> None:
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        ends = [await connect() for _ in range(2)]
        for number, (_, writer) in enumerate(ends):
            writer.write(call(number))
        open_calls = [await heard.calls.get() for _ in ends]
        reader, _ = await connect()
        assert await reader.read() == b""
        for got, (reader, _) in zip(open_calls, ends, strict=True):
            got.fail()
            assert await reader.readline() == b"-ERR failed\r\n"

    play(scenario, most=2)


def test_one_that_never_reads_does_not_hold_the_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rushroad.proxy.client_listener.PARTIAL_COMMAND_TIMEOUT", 0.02)

    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        _, writer = await connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(call(1))
        (await heard.calls.get()).succeed(b"x" * (64 << 20))  # more than the sockets' buffers hold
        await clients.stop(0.0, 0.02)
        while clients.connections.open:
            await asyncio.sleep(0)

    play(scenario)


@pytest.mark.parametrize(
    ("longest", "bound", "whole"), [(60.0, 64, True), (0.0, 64, False), (60.0, 1, False)]
)
def test_a_client_may_read_its_answers_as_late_as_it_waits_for_them(
    longest: float, bound: int, whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Cut before, it would lose what is owed to it; the memory for that is bounded.
    monkeypatch.setattr("rushroad.proxy.connection_table.SWEEP_INTERVAL", 0.01)
    monkeypatch.setattr("rushroad.proxy.connection_table.CLIENT_TIMEOUT", 0.0)
    monkeypatch.setattr("rushroad.proxy.connection_table.MAX_UNREAD_BYTES", bound << 20)
    swept = asyncio.Event()

    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        clients.connections.schema = replace(SCHEMA, longest_deadline=longest)
        reader, writer = await connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(call(1) + call(2))
        first, second = await heard.calls.get(), await heard.calls.get()
        time_out = ClientConnection.time_out

        def noted(late: ClientConnection) -> None:
            time_out(late)
            swept.set()

        monkeypatch.setattr(ClientConnection, "time_out", noted)
        first.succeed(b"x" * (16 << 20))  # more than the sockets' buffers hold
        await swept.wait()
        assert (second.connection in clients.connections.open) is whole
        second.fail()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        if whole:
            assert await reader.readline() == b"$%d\r\n" % (16 << 20)
            assert (await reader.readexactly((16 << 20) + 2)).endswith(b"x\r\n")
            assert await reader.readline() == b"-ERR failed\r\n"

    play(scenario)


def test_of_many_that_have_idled_long_the_oldest_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards the room of clients that have more to ask: some ask once and keep their connection for good.
    monkeypatch.setattr("rushroad.proxy.connection_table.MIN_IDLE_TIME", 0.0)
    monkeypatch.setattr("rushroad.proxy.connection_table.SWEEP_INTERVAL", 0.01)

    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        ends = [await connect() for _ in range(4)]
        for reader, writer in ends:
            writer.write(PING)
            assert await reader.readline() == PONG
        for reader, _ in ends[:2]:
            assert await reader.read() == b""
        for reader, writer in ends[2:]:  # a quarter of the room
            writer.write(PING)
            assert await reader.readline() == PONG

    play(scenario)


@pytest.mark.parametrize("most_open", [1, MAX_UNANSWERED])
@pytest.mark.parametrize("abrupt", [True, False])
def test_a_client_that_leaves_a_connection_that_is_not_read_is_noticed(
    most_open: int, abrupt: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # What it has asked for would be sent to servers, and what waits behind that, too.
    monkeypatch.setattr("rushroad.proxy.client_connection.MAX_UNANSWERED", most_open)

    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        _, writer = await connect()
        writer.write(b"".join(call(number) for number in range(200)))
        for _ in range(most_open):
            got = await heard.calls.get()
        assert not got.connection.transport.is_reading()
        if abrupt:
            writer.transport.abort()
        else:
            writer.close()
        assert {await heard.left.get() for _ in range(most_open)} == set(range(1, most_open + 1))
        while clients.connections.open:
            await asyncio.sleep(0)
        assert heard.calls.empty()

    play(scenario)


def test_a_client_that_leaves_without_reading_its_answers_is_noticed() -> None:
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        _, writer = await connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(call(1) + call(2))
        first, second = await heard.calls.get(), await heard.calls.get()
        first.succeed(b"x" * (64 << 20))  # more than the sockets' buffers hold
        assert not second.connection.transport.is_reading()
        writer.write_eof()
        assert await heard.left.get() == 2

    play(scenario)


def while_stopping(monkeypatch: pytest.MonkeyPatch, happens: Callable[[], None]) -> None:
    """Let something happen just before the listener closes, with no turn of the loop between."""
    sleep = asyncio.sleep
    spans: list[float] = []

    async def noted(span: float) -> None:
        spans.append(span)
        if len(spans) == 1:
            happens()
        else:
            await sleep(span)

    monkeypatch.setattr("rushroad.proxy.client_listener.asyncio.sleep", noted)


async def hear(end: socket.socket, answer: bytes) -> None:
    loop = asyncio.get_running_loop()
    data = b""
    while more := await loop.sock_recv(end, 4096):
        data += more
    assert data == answer


def test_a_connection_that_comes_as_the_listener_closes_is_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        came = asyncio.Event()
        with socket.socket() as end:

            def come() -> None:
                end.connect((LOCAL, clients.port))
                end.setblocking(False)
                end.send(call(1))
                came.set()

            while_stopping(monkeypatch, come)
            stopping = asyncio.create_task(clients.stop(0.0, 5.0))
            await came.wait()
            await hear(end, b"-BUSY\r\n")
            end.close()
            await stopping

    play(scenario)


def test_a_request_that_has_come_on_an_idle_connection_is_answered_before_it_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        loop = asyncio.get_running_loop()
        with socket.create_connection((LOCAL, clients.port)) as end:
            end.setblocking(False)
            await loop.sock_sendall(end, PING)
            assert await loop.sock_recv(end, 64) == PONG
            while_stopping(monkeypatch, lambda: cast(None, end.send(call(1))))
            stopping = asyncio.create_task(clients.stop(0.0, 5.0))
            await hear(end, b"-BUSY\r\n")
            end.close()
            await stopping

    play(scenario)


def test_a_connection_that_stays_busy_is_refused_what_comes_after_the_listener_closed() -> None:
    # It would never run empty: clients send on every connection that stays open.
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        reader, writer = await connect()
        writer.write(call(1))
        got = await heard.calls.get()
        stopping = asyncio.create_task(clients.stop(0.0, 5.0))
        while not clients.connections.shutting_down:
            await asyncio.sleep(0)
        writer.write(call(2) + call(3)[:-5])
        writer.write(call(3)[-5:])
        while len(got.connection.unanswered) < 3:
            await asyncio.sleep(0)
        got.succeed(b"x")
        writer.write(call(4))  # crosses the end
        assert await reader.read() == b"$1\r\nx\r\n-BUSY\r\n-BUSY\r\n"
        assert heard.calls.empty()
        writer.close()
        await stopping

    play(scenario)


def test_what_is_open_when_the_process_may_be_killed_is_answered() -> None:
    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        reader, writer = await connect()
        writer.write(call(1) + call(2))
        heard.unanswered = [await heard.calls.get(), await heard.calls.get()]
        stopping = asyncio.create_task(clients.stop(0.0, 0.05))
        assert await reader.read() == b"-ERR failed\r\n-ERR failed\r\n"
        writer.close()
        await stopping

    play(scenario)


def test_one_that_reads_all_its_answers_late_and_never_closes_is_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    # Else it would keep its descriptor for good, and never be the one that makes room.
    monkeypatch.setattr("rushroad.proxy.connection_table.SWEEP_INTERVAL", 0.01)

    async def scenario(heard: Heard, clients: ClientListener, connect: Callable[[], Awaitable[Ends]]) -> None:
        reader, writer = await connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(call(1) + b"nonsense")
        (await heard.calls.get()).succeed(b"x" * (16 << 20))  # more than the sockets' buffers hold
        (connection,) = clients.connections.open
        assert connection.ended_at is not None and connection.transport.get_write_buffer_size()
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert (await reader.read()).endswith(b"unexpected type\r\n")
        monkeypatch.setattr("rushroad.proxy.connection_table.CLIENT_TIMEOUT", 0.0)
        while clients.connections.open:
            await asyncio.sleep(0)

    play(scenario)
