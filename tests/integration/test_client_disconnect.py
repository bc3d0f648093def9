"""Clients that disconnect with requests in flight: no further attempt of these requests may start."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, cast

import pytest

from rushroad.policy.actions import Action, CounterAdd, SetTimer, StartAttempt
from rushroad.policy.events import (
    AttemptFinished,
    ClientDisconnected,
    CounterReply,
    Event,
    Request,
    Result,
    TimerFired,
)
from rushroad.proxy.block_reason import BlockReason
from rushroad.proxy.client_connection import MAX_UNANSWERED
from rushroad.proxy.client_listener import ClientListener
from rushroad.proxy.engine import Engine
from rushroad.proxy.upstream import Upstream
from tests.support.attempts import LONG_TIMEOUT_US, OK, endpoint_at
from tests.support.client_side import ClientSide
from tests.support.gateway_driver import SETTINGS
from tests.support.loopback import LOOPBACK, MEMORY_LIMIT, SCHEMA, TENANT, Peer, call, resp, run
from tests.support.scripted_policy import Script, ScriptedPolicy, install_policy

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # for SO_LINGER
ALLOWED_DELAY_S = 0.1  # an attempt may still start this long after its client closed
PIPELINE = b"".join(call(number) for number in range(200))  # more than a connection may have unanswered
LONG_PIPELINE = b"".join(call(number) for number in range(1_000))  # more than it may read with little memory


def retry_after_pause(event: Event) -> Iterator[Action]:
    """Add to the counter, start an attempt on the reply, and another one after a timer on its failure.

    The request ID is also the name of the total and the timer token.
    """
    match event:
        case Request():
            yield CounterAdd(event.id, 1.0, 1_000)
        case CounterReply():
            yield StartAttempt(event.total_name, "s-1", LONG_TIMEOUT_US)
        case AttemptFinished(is_final=False):
            yield SetTimer(0, event.request_id)
        case TimerFired():
            yield StartAttempt(event.token, "s-1", LONG_TIMEOUT_US)


def start_on_counter_reply(event: Event) -> Iterator[Action]:
    """Add to the counter, and start an attempt on the reply; the request ID is the name of the total."""
    match event:
        case Request():
            yield CounterAdd(event.id, 1.0, 1_000)
        case CounterReply():
            yield StartAttempt(event.total_name, "s-1", LONG_TIMEOUT_US)


class ManualCounter:
    """A counter that replies when the test calls `reply_all`."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.pending: list[int] = []  # names of the totals of additions without a reply

    def add(self, total_name: int, _amount: float, _lifetime_us: int) -> None:
        self.pending.append(total_name)

    def reply_all(self) -> None:
        """Reply to all additions within one iteration of the event loop."""
        pending, self.pending = self.pending, []
        for total_name in pending:
            self._engine.post(CounterReply(total_name, Result.OK, 0, 1.0))


class GatewayHarness:
    """A gateway between one endpoint and clients with plain sockets, which need no iteration of the loop."""

    def __init__(self, policy: ScriptedPolicy, engine: Engine, endpoint: Peer) -> None:
        loop = asyncio.get_running_loop()
        self.policy, self.endpoint = policy, endpoint
        # Endpoints close idle connections after 15 s; each side may have 8 connections.
        self.upstream = engine.backend = Upstream(engine, SETTINGS, 15_000_000, 8, loop)
        self.upstream.update_endpoints(endpoint_at(endpoint.port), True)
        self.counter = engine.counter = ManualCounter(engine)
        self.listener = ClientListener(engine, SCHEMA, 8, MEMORY_LIMIT, loop)
        self.client: socket.socket

    def connect(self) -> socket.socket:
        """Connect another client."""
        client = socket.create_connection((LOOPBACK, self.listener.port))
        client.setblocking(False)
        return client

    async def serve(self, client: socket.socket, request_id: int) -> bytes:
        """Serve a request, which leaves the upstream connection idle; return what the endpoint received."""
        client.sendall(call(request_id))
        await wait_until(lambda: bool(self.counter.pending))
        self.counter.reply_all()
        received = b""
        while b"%016x" % request_id not in received:
            writer, data = await self.endpoint.received_chunks.get()
            received += data
        writer.write(OK)
        assert (await asyncio.get_running_loop().sock_recv(client, 4096)).startswith(b"$")
        return received

    def disconnected_request_count(self) -> int:
        """Return how many requests the policy was told have lost their client."""
        return sum(isinstance(event, ClientDisconnected) for event in self.policy.events)


Scenario = Callable[[GatewayHarness], Awaitable[None]]
RunGateway = Callable[[Script, Scenario], None]


@pytest.fixture
def run_gateway_scenario(monkeypatch: pytest.MonkeyPatch) -> RunGateway:
    """Runs a scenario with an idle connection to the endpoint, which the next attempt uses immediately."""

    def run_gateway(script: Script, scenario: Scenario) -> None:
        monkeypatch.setattr("rushroad.proxy.endpoint_pool.SETTLE_TIME_S", 0.0)
        policy = install_policy(monkeypatch, script)

        async def start() -> None:
            engine = Engine(SETTINGS, 1, asyncio.get_running_loop())
            async with Peer() as endpoint:
                gateway = GatewayHarness(policy, engine, endpoint)
                await gateway.listener.listen(LOOPBACK, 0)
                gateway.client = gateway.connect()
                await gateway.serve(gateway.client, 1)
                await scenario(gateway)
                gateway.client.close()
                gateway.upstream.close()

        run(start)

    return run_gateway


class ConnectHookLoop:
    """An event loop that runs an action in the same iteration in which a connection opens."""

    def __init__(self, action: Callable[[], None]) -> None:
        self._loop, self._action = asyncio.get_running_loop(), action

    async def create_connection(self, *args: Any) -> Any:
        connection = await self._loop.create_connection(*args)
        self._action()
        return connection

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


class PollRecordingLoop:
    """An event loop that records the delays of disconnect polls."""

    def __init__(self) -> None:
        self._loop, self.delays = asyncio.get_running_loop(), list[float]()

    def call_later(self, delay: float, callback: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        if callback.__name__ == "_poll":
            self.delays.append(delay)
        return self._loop.call_later(delay, callback, *args)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0)


def close(client: socket.socket, with_reset: bool) -> None:
    if with_reset:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.close()


@pytest.mark.parametrize("with_reset", [True, False])
@pytest.mark.parametrize(
    ("closes_on", "requests"),
    [(Request, 3), (CounterReply, 1), (CounterReply, 200), (AttemptFinished, 1), (TimerFired, 1)],
)
def test_no_attempt_starts_after_its_client_closed(
    run_gateway_scenario: RunGateway, closes_on: type[Event], requests: int, with_reset: bool
) -> None:
    # The client closes while the policy handles an event: the loop cannot notice it before the next action.
    closing: list[socket.socket] = []

    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, closes_on) and closing:
            close(closing.pop(), with_reset)
        yield from retry_after_pause(event)

    async def scenario(gateway: GatewayHarness) -> None:
        submitted_count = min(requests, MAX_UNANSWERED)
        if closes_on is Request:
            closing.append(gateway.client)
        with gateway.connect() as other:
            gateway.client.sendall(b"".join(call(2 + number) for number in range(requests)))
            await wait_until(lambda: len(gateway.counter.pending) == submitted_count)
            if closes_on is CounterReply:
                closing.append(gateway.client)
            gateway.counter.reply_all()
            if closes_on in (AttemptFinished, TimerFired):
                writer, _ = await gateway.endpoint.receive()
                closing.append(gateway.client)
                writer.write(b"-ERR failed\r\n")
            await wait_until(lambda: gateway.disconnected_request_count() >= submitted_count)
            # No attempt for the client that closed was received before this one.
            assert (await gateway.serve(other, 1_000)).count(b"CALL.GET") == 1

    run_gateway_scenario(script, scenario)


@pytest.mark.parametrize("with_reset", [True, False])
def test_connection_that_opens_after_the_client_closed_is_not_used_for_its_attempts(
    run_gateway_scenario: RunGateway, with_reset: bool
) -> None:
    async def scenario(gateway: GatewayHarness) -> None:
        upstream = gateway.upstream
        upstream.loop = cast(
            asyncio.AbstractEventLoop, ConnectHookLoop(lambda: close(gateway.client, with_reset))
        )
        upstream.close_idle(upstream.loop.time() + 60.0)
        with gateway.connect() as other:
            gateway.client.sendall(call(2))
            await wait_until(lambda: bool(gateway.counter.pending))
            gateway.counter.reply_all()
            await wait_until(lambda: gateway.disconnected_request_count() == 1)
            upstream.loop = asyncio.get_running_loop()
            # No attempt for the client that closed was received before this one.
            assert (await gateway.serve(other, 3)).count(b"CALL.GET") == 1

    run_gateway_scenario(retry_after_pause, scenario)


@pytest.mark.parametrize("with_reset", [True, False])
def test_no_attempt_starts_for_a_client_that_closes_during_shutdown(
    run_gateway_scenario: RunGateway, with_reset: bool
) -> None:
    closing: list[socket.socket] = []

    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, CounterReply) and closing:
            close(closing.pop(), with_reset)
        yield from retry_after_pause(event)

    async def scenario(gateway: GatewayHarness) -> None:
        gateway.client.sendall(call(2) + call(3) + call(4)[:-5])
        await wait_until(lambda: len(gateway.counter.pending) == 2)
        stop = asyncio.create_task(gateway.listener.stop(0.0, 60.0))
        await wait_until(lambda: gateway.listener.connections.shutting_down)
        closing.append(gateway.client)
        gateway.counter.reply_all()
        await wait_until(lambda: gateway.disconnected_request_count() == 2)
        await stop
        gateway.upstream.close()
        # The idle connection has ended, and nothing was received before that.
        assert (await gateway.endpoint.received_chunks.get())[1] == b""

    run_gateway_scenario(script, scenario)


@pytest.mark.parametrize("with_reset", [True, False])
def test_unread_commands_of_a_client_that_closed_are_not_submitted(
    monkeypatch: pytest.MonkeyPatch, with_reset: bool
) -> None:
    # Answers make room in the pipeline before the next disconnect poll. Commands submitted then would use
    # quota and might be forwarded.
    monkeypatch.setattr("rushroad.proxy.disconnect_poller.POLL_INTERVAL_S", 60.0)

    async def scenario() -> None:
        gateway = ClientSide()
        await gateway.listener.listen(LOOPBACK, 0)
        client = socket.create_connection((LOOPBACK, gateway.listener.port))
        client.sendall(PIPELINE)
        submitted = [await gateway.engine.calls.get() for _ in range(MAX_UNANSWERED)]
        await wait_until(lambda: submitted[0].connection._blocked_by == BlockReason.PIPELINE_FULL)
        close(client, with_reset)
        # The answers go out in one write; only a second write would fail and reveal the close.
        for command in reversed(submitted):
            command.fail()
        assert gateway.engine.calls.empty()

    run(scenario)


def test_disconnects_are_polled_well_within_the_allowed_delay() -> None:
    async def scenario() -> None:
        loop = PollRecordingLoop()
        gateway = ClientSide(loop=cast(asyncio.AbstractEventLoop, loop), memory_limit=0)
        await gateway.listener.listen(LOOPBACK, 0)
        client = socket.create_connection((LOOPBACK, gateway.listener.port))
        client.sendall(LONG_PIPELINE)
        for _ in range(MAX_UNANSWERED):
            await gateway.engine.calls.get()
        client.close()
        for _ in range(MAX_UNANSWERED):
            await gateway.engine.disconnected.get()
        # The other half of the allowed delay is for a busy event loop.
        assert loop.delays and max(loop.delays) <= ALLOWED_DELAY_S / 2

    run(scenario)


def send_all_that_fits(client: socket.socket, data: bytes) -> None:
    """Send until the buffers of both systems are full."""
    client.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while data:
            data = data[client.send(data) :]


@pytest.mark.parametrize("with_reset", [True, False])
@pytest.mark.parametrize("body_bytes", [40, 8_000, 60_000])
def test_close_behind_unread_input_cancels_the_requests_in_flight(with_reset: bool, body_bytes: int) -> None:
    # Guards against: a client's close stays behind input that the gateway does not read, so that further
    # attempts start for a client that has left.
    options = b"c=order,t=basic,d=900"
    commands = [
        resp(b"CALL.POST", TENANT, b"%016x" % number, options, b"x" * body_bytes) for number in range(2_000)
    ]

    async def scenario() -> None:
        gateway = ClientSide()
        await gateway.listener.listen(LOOPBACK, 0)
        client = socket.create_connection((LOOPBACK, gateway.listener.port))
        send_all_that_fits(client, b"".join(commands))
        submitted = [await gateway.engine.calls.get() for _ in range(MAX_UNANSWERED)]
        close(client, with_reset)
        for _ in submitted:  # none of them is answered
            await gateway.engine.disconnected.get()

    run(scenario)


def test_no_attempt_starts_while_unread_input_may_hide_a_close(
    run_gateway_scenario: RunGateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: where memory forbids to read on, an attempt starts for a client that may have left.
    monkeypatch.setattr("rushroad.proxy.buffer_limit.READ_AHEAD_FRACTION", 0.0)
    monkeypatch.setattr("rushroad.proxy.read_control.MAX_CLOSE_HIDDEN_S", 0.0)

    async def scenario(gateway: GatewayHarness) -> None:
        with gateway.connect() as other:
            send_all_that_fits(gateway.client, LONG_PIPELINE)
            await wait_until(lambda: len(gateway.counter.pending) == MAX_UNANSWERED)
            gateway.counter.reply_all()
            results = [event for event in gateway.policy.events if isinstance(event, AttemptFinished)]
            while len(results) < 1 + MAX_UNANSWERED:  # the first served the request before this scenario
                await asyncio.sleep(0)
                results = [event for event in gateway.policy.events if isinstance(event, AttemptFinished)]
            assert {event.result for event in results[1:]} == {Result.NOT_FORWARDED}
            # No attempt for the client whose close may be hidden was received before this one.
            assert (await gateway.serve(other, 10_000)).count(b"CALL.GET") == 1

    run_gateway_scenario(start_on_counter_reply, scenario)
