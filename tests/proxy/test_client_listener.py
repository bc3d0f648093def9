"""Stopping the listener: which connections and requests are still served, and for how long."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import pytest

from rushroad.proxy.client_connection import MAX_UNANSWERED
from tests.support.client_side import PING, PONG, ClientSide, RunScenario
from tests.support.loopback import LOOPBACK, TENANT, call, resp


def test_stop_answers_requests_in_flight_then_closes_all_connections(run_scenario: RunScenario) -> None:
    async def scenario(gateway: ClientSide) -> None:
        idle, busy = await gateway.connect(), await gateway.connect()
        busy[1].write(call(1))
        command = await gateway.engine.calls.get()
        stopping = asyncio.create_task(gateway.listener.stop(0.05, 5.0))
        late = await gateway.connect()  # new connections are accepted until the listener closes
        late[1].write(call(2))
        last = await gateway.engine.calls.get()
        assert await idle[0].read() == b""
        command.succeed(b"x")
        assert await busy[0].read() == b"$1\r\nx\r\n"
        assert not stopping.done()
        last.fail()
        assert await late[0].read() == b"-ERR failed\r\n"
        await stopping
        with pytest.raises(ConnectionRefusedError):
            await gateway.connect()

    run_scenario(scenario)


def test_partial_command_delays_the_stop_for_a_limited_time(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("rushroad.proxy.client_listener.PARTIAL_COMMAND_TIMEOUT_S", 0.02)

    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(call(1) + call(2)[:-5])
        command = await gateway.engine.calls.get()
        stopping = asyncio.create_task(gateway.listener.stop(0.0, 5.0))
        command.succeed(b"x")
        assert await reader.read() == b"$1\r\nx\r\n"
        await stopping

    run_scenario(scenario)


def test_client_that_never_reads_does_not_delay_the_stop(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("rushroad.proxy.client_listener.PARTIAL_COMMAND_TIMEOUT_S", 0.02)

    async def scenario(gateway: ClientSide) -> None:
        _, writer = await gateway.connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(call(1))
        (await gateway.engine.calls.get()).succeed(b"x" * (64 << 20))  # more than the sockets' buffers hold
        await gateway.listener.stop(0.0, 0.02)
        while gateway.connections.open:
            await asyncio.sleep(0)

    run_scenario(scenario)


@pytest.fixture
def before_listener_closes(monkeypatch: pytest.MonkeyPatch) -> Callable[[Callable[[], None]], None]:
    """Returns a function that sets an action to run just before a stop closes the listener.

    The event loop does not run between the action and the close.
    """
    sleep = asyncio.sleep

    def arrange(action: Callable[[], None]) -> None:
        delays: list[float] = []

        async def sleep_or_act(delay: float) -> None:
            delays.append(delay)
            if len(delays) == 1:
                action()
            else:
                await sleep(delay)

        monkeypatch.setattr("rushroad.proxy.client_listener.asyncio.sleep", sleep_or_act)

    return arrange


async def receive_all(client: socket.socket) -> bytes:
    """Receive data until the end of the stream."""
    loop = asyncio.get_running_loop()
    data = b""
    while more := await loop.sock_recv(client, 4096):
        data += more
    return data


def test_connection_that_arrives_as_the_listener_closes_is_accepted(
    run_scenario: RunScenario, before_listener_closes: Callable[[Callable[[], None]], None]
) -> None:
    async def scenario(gateway: ClientSide) -> None:
        connected = asyncio.Event()
        with socket.socket() as client:

            def connect() -> None:
                client.connect((LOOPBACK, gateway.listener.port))
                client.setblocking(False)
                client.send(call(1))
                connected.set()

            before_listener_closes(connect)
            stopping = asyncio.create_task(gateway.listener.stop(0.0, 5.0))
            await connected.wait()
            assert await receive_all(client) == b"-BUSY\r\n"
            client.close()
            await stopping

    run_scenario(scenario)


def test_request_that_arrives_as_the_listener_closes_is_answered(
    run_scenario: RunScenario, before_listener_closes: Callable[[Callable[[], None]], None]
) -> None:
    async def scenario(gateway: ClientSide) -> None:
        loop = asyncio.get_running_loop()
        with socket.create_connection((LOOPBACK, gateway.listener.port)) as client:
            client.setblocking(False)
            await loop.sock_sendall(client, PING)
            assert await loop.sock_recv(client, 64) == PONG
            before_listener_closes(lambda: cast(None, client.send(call(1))))
            stopping = asyncio.create_task(gateway.listener.stop(0.0, 5.0))
            assert await receive_all(client) == b"-BUSY\r\n"
            client.close()
            await stopping

    run_scenario(scenario)


def test_further_requests_on_busy_connections_are_rejected_during_the_stop(run_scenario: RunScenario) -> None:
    # Otherwise the connection might never become idle, as clients send on every open connection.
    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(call(1))
        command = await gateway.engine.calls.get()
        stopping = asyncio.create_task(gateway.listener.stop(0.0, 5.0))
        while not gateway.connections.shutting_down:
            await asyncio.sleep(0)
        writer.write(call(2) + call(3)[:-5])
        writer.write(call(3)[-5:])
        while len(command.connection.unanswered) < 3:
            await asyncio.sleep(0)
        command.succeed(b"x")
        writer.write(call(4))  # arrives after the gateway has sent the end of the stream
        assert await reader.read() == b"$1\r\nx\r\n-BUSY\r\n-BUSY\r\n"
        assert gateway.engine.calls.empty()
        writer.close()
        await stopping

    run_scenario(scenario)


def test_requests_in_flight_are_answered_at_the_time_limit_of_the_stop(run_scenario: RunScenario) -> None:
    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(call(1) + call(2))
        gateway.engine.unanswered = [await gateway.engine.calls.get(), await gateway.engine.calls.get()]
        stopping = asyncio.create_task(gateway.listener.stop(0.0, 0.05))
        assert await reader.read() == b"-ERR failed\r\n-ERR failed\r\n"
        writer.close()
        await stopping

    run_scenario(scenario)


def post(request_id: int, body: bytes) -> bytes:
    """Encode a client's command for a request with a body."""
    return resp(b"CALL.POST", TENANT, b"%016x" % request_id, b"c=order,t=basic,d=900", body)


@pytest.mark.parametrize(
    "body_bytes", [4, 4_000]
)  # all fits in the gateway's buffer; most is in the kernel's
@pytest.mark.parametrize("answered_by", ["rate servers", "time limit of the stop"])
def test_stop_answers_all_pipelined_commands_that_arrived_before_it(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch, body_bytes: int, answered_by: str
) -> None:
    # Guards against: a stop closes a connection between two batches of commands that were sent at once.
    monkeypatch.setattr("rushroad.proxy.client_listener.PARTIAL_COMMAND_TIMEOUT_S", 0.0)
    monkeypatch.setattr("rushroad.proxy.client_listener.CLOSE_INTERVAL_S", 0.0)
    commands = 500

    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(b"".join(post(number, b"x" * body_bytes) for number in range(commands)))
        in_flight = [await gateway.engine.calls.get() for _ in range(MAX_UNANSWERED)]
        stopped_by_servers = answered_by == "rate servers"
        if not stopped_by_servers:
            gateway.engine.unanswered = in_flight
        stopping = asyncio.create_task(gateway.listener.stop(0.0, 5.0 if stopped_by_servers else 0.02))
        while not gateway.connections.shutting_down:
            await asyncio.sleep(0)
        if stopped_by_servers:
            for command in in_flight:
                command.fail()
        answers = await reader.read()
        assert answers == MAX_UNANSWERED * b"-ERR failed\r\n" + (commands - MAX_UNANSWERED) * b"-BUSY\r\n"
        writer.close()
        await stopping

    run_scenario(scenario)


def test_commands_that_were_read_are_answered_when_the_time_of_a_stop_is_over(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: the last step of a stop aborts a connection whose commands have been read.
    monkeypatch.setattr("rushroad.proxy.client_listener.LAST_INPUT_TIME_S", 0.0)

    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(b"".join(call(number) for number in range(100)))  # short enough for a single read
        gateway.engine.unanswered = [await gateway.engine.calls.get() for _ in range(MAX_UNANSWERED)]
        stopping = asyncio.create_task(gateway.listener.stop(0.0, 0.0))
        answers = await reader.read()
        assert answers.count(b"\r\n") == 100
        writer.close()
        await stopping

    run_scenario(scenario)
