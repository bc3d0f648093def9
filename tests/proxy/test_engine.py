"""The engine between a client and a rate server on real sockets, with a scripted policy."""

import asyncio
import re
import time
import typing
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace

import pytest

import rushroad.policy.gateway
import rushroad.proxy.engine
from rushroad.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CounterAdd,
    Fail,
    Reject,
    SetTimer,
    StartAttempt,
)
from rushroad.policy.events import (
    AttemptFinished,
    ClientDisconnected,
    CounterReply,
    EndpointUpdate,
    Event,
    Request,
    Result,
    TimerFired,
    UpdateKind,
)
from rushroad.proxy.client_listener import ClientListener
from rushroad.proxy.engine import NETWORK_ALLOWANCE_US, Engine
from rushroad.proxy.in_flight import Call
from rushroad.proxy.upstream import Upstream
from tests.support.attempts import LONG_TIMEOUT_US, OK, endpoint_at
from tests.support.gateway_driver import SETTINGS
from tests.support.loopback import (
    LOOPBACK,
    MEMORY_LIMIT,
    SCHEMA,
    TENANT,
    DelayedConnectLoop,
    Peer,
    call,
    resp,
    run,
)
from tests.support.scripted_policy import Script, ScriptedPolicy, install_policy


class InstantCounter:
    """Replies to each addition immediately."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def add(self, total_name: int, amount: float, _lifetime_us: int) -> None:
        self._engine.post(CounterReply(total_name, Result.OK, 0, amount))


@dataclass
class EngineHarness:
    """An engine with one connected client and one rate server."""

    engine: Engine
    policy: ScriptedPolicy
    endpoint: Peer
    reader: asyncio.StreamReader  # of the client
    writer: asyncio.StreamWriter


Scenario = Callable[[EngineHarness], Awaitable[None]]
RunEngineScenario = Callable[[Script, Scenario], list[Event]]


@pytest.fixture
def run_engine_scenario(monkeypatch: pytest.MonkeyPatch) -> RunEngineScenario:
    """Runs a scenario with a scripted policy and returns the events that the policy received."""

    def run_scenario(script: Script, scenario: Scenario) -> list[Event]:
        policy = install_policy(monkeypatch, script)

        async def start() -> None:
            loop = asyncio.get_running_loop()
            engine = Engine(SETTINGS, 1, loop)
            async with Peer() as endpoint:
                upstream = engine.backend = Upstream(engine, SETTINGS, 15_000_000, 8, loop)
                upstream.update_endpoints(endpoint_at(endpoint.port), True)
                engine.counter = InstantCounter(engine)
                listener = ClientListener(engine, SCHEMA, 8, MEMORY_LIMIT, loop)
                await listener.listen(LOOPBACK, 0)
                client = await asyncio.open_connection(LOOPBACK, listener.port)
                await scenario(EngineHarness(engine, policy, endpoint, *client))
                upstream.close()

        run(start)
        return policy.events

    return run_scenario


def set_monotonic_time(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    """Set the time from which the engine computes how long a command has waited."""
    clocks = SimpleNamespace(monotonic=lambda: seconds, time_ns=time.time_ns, monotonic_ns=time.monotonic_ns)
    monkeypatch.setattr(rushroad.proxy.engine, "time", clocks)


@pytest.fixture
def no_waiting_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the engine compute a waiting time of 0 for all commands."""
    set_monotonic_time(monkeypatch, 0.0)


def start_attempt(event: Event) -> Iterator[Action]:
    if isinstance(event, Request):
        yield StartAttempt(event.id, "s-1", LONG_TIMEOUT_US)


@pytest.mark.usefixtures("no_waiting_time")
def test_request_is_forwarded_and_its_response_returned(run_engine_scenario: RunEngineScenario) -> None:
    async def scenario(gateway: EngineHarness) -> None:
        reader, writer = gateway.reader, gateway.writer
        writer.write(call(1))
        data = await gateway.endpoint.respond(OK)
        deadline = re.search(rb",d=(\d+),", data)
        assert deadline is not None
        assert 0 < int(deadline[1]) <= 890  # the client's deadline, which is shorter than the timeout
        assert data == call(1).replace(b",d=900,", deadline[0])
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"

    request, finished = run_engine_scenario(start_attempt, scenario)
    assert request == Request(1, 0, 0, 0xAB, 2.0, 890_000, 2, 1, False)
    assert isinstance(finished, AttemptFinished)
    assert (finished.result, finished.is_final, finished.load_report) == (Result.OK, True, (2.0, 7.0))


def test_error_in_the_policy_fails_its_request_and_the_next_is_served(
    run_engine_scenario: RunEngineScenario, capfd: pytest.CaptureFixture[str]
) -> None:
    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request) and event.id == 1:
            raise ZeroDivisionError("boom")
        yield from start_attempt(event)

    async def scenario(gateway: EngineHarness) -> None:
        reader, writer = gateway.reader, gateway.writer
        writer.write(call(1) + call(2))
        assert await reader.readline() == b"-ERR failed\r\n"
        await gateway.endpoint.respond(OK)
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"

    events = run_engine_scenario(script, scenario)
    assert ClientDisconnected(1) in events
    assert "boom" in capfd.readouterr().err


def test_unsupported_action_is_logged_and_the_request_answered(
    run_engine_scenario: RunEngineScenario, capfd: pytest.CaptureFixture[str]
) -> None:
    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request):
            yield CheckHealth("s-1")

    async def scenario(gateway: EngineHarness) -> None:
        gateway.writer.write(call(1))
        assert await gateway.reader.readline() == b"-ERR failed\r\n"

    run_engine_scenario(script, scenario)
    assert "NotImplementedError" in capfd.readouterr().err


def test_engine_supports_every_action_that_the_policy_uses() -> None:
    code = Path(rushroad.proxy.engine.__file__).read_text()
    directory = Path(rushroad.policy.gateway.__file__).parent
    policy = "".join(file.read_text() for file in directory.glob("*.py") if file.name != "actions.py")
    for action in typing.get_args(Action):
        if re.search(rf"\b{action.__name__}\(", policy):
            assert f"case {action.__name__}()" in code


def test_request_that_the_policy_never_answers_fails_after_its_deadline(
    run_engine_scenario: RunEngineScenario, capfd: pytest.CaptureFixture[str]
) -> None:
    def script(_: Event) -> Iterator[Action]:
        return iter(())

    async def scenario(gateway: EngineHarness) -> None:
        gateway.writer.write(call(1, b"c=lookup,t=basic,d=40"))
        assert await gateway.reader.readline() == b"-ERR failed\r\n"

    assert ClientDisconnected(1) in run_engine_scenario(script, scenario)
    assert "the policy did not answer request 1 before its deadline" in capfd.readouterr().err


def test_request_without_time_remaining_is_still_answered_by_the_policy(
    run_engine_scenario: RunEngineScenario, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    # The request waited unread past its deadline, so its timer is due before the policy gets the request.
    set_monotonic_time(monkeypatch, 1e12)
    monkeypatch.setattr(rushroad.proxy.engine, "DEADLINE_GRACE_US", 0)

    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request):
            assert event.time_remaining == 0
            yield Reject(event.id)

    async def scenario(gateway: EngineHarness) -> None:
        gateway.writer.write(call(1))
        assert await gateway.reader.readline() == b"-BUSY\r\n"

    run_engine_scenario(script, scenario)
    assert capfd.readouterr().err == ""


def test_request_gets_one_answer_when_the_policy_gives_several(
    run_engine_scenario: RunEngineScenario,
) -> None:
    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request):
            yield from (Reject(event.id, 5_000), Fail(event.id), Reject(event.id))

    async def scenario(gateway: EngineHarness) -> None:
        gateway.writer.write(call(1) + resp(b"PING"))
        assert await gateway.reader.readline() == b"-BUSY 5\r\n"
        assert await gateway.reader.readline() == b"+PONG\r\n"

    run_engine_scenario(script, scenario)


def test_attempt_for_a_disconnected_client_is_not_forwarded(run_engine_scenario: RunEngineScenario) -> None:
    done = asyncio.Event()

    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, AttemptFinished):
            done.set()
        yield from start_attempt(event)

    async def scenario(gateway: EngineHarness) -> None:
        stub = typing.cast(Call, UnanswerableCall())
        gateway.engine.client_disconnected(gateway.engine.submit(stub))  # before the policy gets the request
        await done.wait()
        assert gateway.endpoint.received_chunks.empty()

    events = run_engine_scenario(script, scenario)
    not_forwarded = AttemptFinished(1, 0, "s-1", Result.NOT_FORWARDED, 0, True)
    assert [type(events[0]), *events[1:]] == [Request, ClientDisconnected(1), not_forwarded]


@pytest.mark.parametrize("end", ["disconnected", "answered"])
def test_attempt_without_a_connection_is_not_forwarded_once_its_request_is_finished(
    run_engine_scenario: RunEngineScenario, end: str
) -> None:
    # A connect that is cancelled just as it completes can still open the connection, as happens here.
    done = asyncio.Event()

    def script(event: Event) -> Iterator[Action]:
        yield from start_attempt(event)
        if isinstance(event, TimerFired):
            yield Fail(event.token)
        if isinstance(event, AttemptFinished):
            done.set()

    async def scenario(gateway: EngineHarness) -> None:
        assert isinstance(gateway.engine.backend, Upstream)
        delayed_loop = DelayedConnectLoop()
        gateway.engine.backend.loop = typing.cast(asyncio.AbstractEventLoop, delayed_loop)
        gateway.writer.write(call(1))
        await delayed_loop.connect_requested.wait()
        if end == "disconnected":
            gateway.writer.close()
        else:
            gateway.engine.post(TimerFired(1))
        await delayed_loop.cancelled_connect_done.wait()
        await done.wait()
        assert (await gateway.endpoint.receive())[1] == b""  # closed without a byte written

    events = run_engine_scenario(script, scenario)
    (finished,) = [event for event in events if isinstance(event, AttemptFinished)]
    assert (finished.result, finished.is_final) == (Result.NOT_FORWARDED, True)


def test_answer_all_answers_every_request_in_flight(run_engine_scenario: RunEngineScenario) -> None:
    # Rate servers may never respond, and a request that is unanswered when the process is killed is lost.
    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request) and event.id == 1:
            yield from start_attempt(event)

    async def scenario(gateway: EngineHarness) -> None:
        gateway.writer.write(call(1) + call(2))
        await gateway.endpoint.receive()
        gateway.engine.answer_all()
        assert await gateway.reader.readline() == b"-ERR failed\r\n"  # it may have been executed
        assert await gateway.reader.readline() == b"-BUSY\r\n"  # it was never forwarded

    run_engine_scenario(script, scenario)


class UnanswerableCall:
    """A call without the methods that answer it, so that any answer raises an error."""

    id = b"1"
    class_index = plan_index = tenant = first_entry_point = 0
    units, time_remaining_ms, entry_point_count, is_retry = 1.0, 1_000, 1, False
    arrived_at_s = time.monotonic()


def test_endpoint_update_is_processed_before_requests_queued_earlier(
    run_engine_scenario: RunEngineScenario,
) -> None:
    processed = asyncio.Event()
    update = EndpointUpdate(UpdateKind.DELTA, 2, ())

    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request):
            processed.set()
        return iter(())

    async def scenario(gateway: EngineHarness) -> None:
        gateway.engine.submit(typing.cast(Call, UnanswerableCall()))
        gateway.engine.endpoints_updated(update)
        await processed.wait()

    events = run_engine_scenario(script, scenario)
    assert events[0] == update


def test_counter_add_timer_and_cancelled_attempt_end_in_events(
    run_engine_scenario: RunEngineScenario,
) -> None:
    done = asyncio.Event()

    def script(event: Event) -> Iterator[Action]:
        match event:
            case Request(id=request):
                yield CounterAdd(9, 2.0, 1_000_000)
                yield StartAttempt(request, "s-1", LONG_TIMEOUT_US)
            case CounterReply():
                yield SetTimer(20_000, 3)
            case TimerFired(token=3):
                yield CancelAttempt(1, 0)
            case AttemptFinished():
                yield Fail(1)
                done.set()

    async def scenario(gateway: EngineHarness) -> None:
        gateway.writer.write(call(1))
        assert (await gateway.endpoint.receive())[1] != b""
        assert await gateway.reader.readline() == b"-ERR failed\r\n"
        assert (await gateway.endpoint.receive())[1] == b""
        await done.wait()

    events = run_engine_scenario(script, scenario)
    assert [type(event) for event in events] == [Request, CounterReply, TimerFired, AttemptFinished]
    assert isinstance(events[-1], AttemptFinished)
    assert (events[-1].result, events[-1].is_final) == (Result.CANCELLED, False)


def test_call_id_stays_in_use_while_an_attempt_is_in_flight(run_engine_scenario: RunEngineScenario) -> None:
    # A rate server would treat another request with the same ID as a duplicate of the one in flight.
    def script(event: Event) -> Iterator[Action]:
        yield from start_attempt(event)
        if isinstance(event, TimerFired):
            yield Reject(event.token)

    async def scenario(gateway: EngineHarness) -> None:
        reader, writer = gateway.reader, gateway.writer
        writer.write(call(1))
        endpoint, _ = await gateway.endpoint.receive()
        gateway.engine.post(TimerFired(1))
        assert await reader.readline() == b"-BUSY\r\n"
        writer.write(call(1))
        assert await reader.readline() == b"-ERR the id is taken\r\n"
        endpoint.write(OK)
        while not isinstance(gateway.policy.events[-1], AttemptFinished):
            await asyncio.sleep(0.001)
        writer.write(call(1))
        await gateway.endpoint.respond(OK)
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"

    run_engine_scenario(script, scenario)


def post(request_id: int) -> bytes:
    """Encode a client's command for a request that is not idempotent."""
    return resp(b"CALL.POST", TENANT, b"%016x" % request_id, b"c=order,t=basic,d=900", b"BODY")


@pytest.mark.parametrize("client_leaves", [True, False])
@pytest.mark.parametrize(
    ("response", "is_refused"), [(OK, True), (b"-ERR failed\r\n", True), (b"-BUSY\r\n", False)]
)
def test_id_that_may_have_run_is_refused_on_another_connection(
    run_engine_scenario: RunEngineScenario, client_leaves: bool, response: bytes, is_refused: bool
) -> None:
    # Guards against: a request runs twice, as its id comes again after its client has left.
    def script(event: Event) -> Iterator[Action]:
        yield from start_attempt(event)
        if isinstance(event, AttemptFinished) and not event.is_final:
            yield Fail(event.request_id)

    async def scenario(gateway: EngineHarness) -> None:
        gateway.writer.write(post(1))
        endpoint, _ = await gateway.endpoint.receive()
        if client_leaves:
            gateway.writer.transport.abort()
            while not isinstance(gateway.policy.events[-1], ClientDisconnected):
                await asyncio.sleep(0)
        endpoint.write(response)
        while not isinstance(gateway.policy.events[-1], AttemptFinished):
            await asyncio.sleep(0)
        address = gateway.writer.get_extra_info("peername")
        reader, writer = await asyncio.open_connection(*address)
        writer.write(post(1))
        if is_refused:
            assert await reader.readline() == b"-ERR the id is taken\r\n"
        else:
            await gateway.endpoint.respond(OK)
            assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"

    run_engine_scenario(script, scenario)


@pytest.mark.usefixtures("no_waiting_time")
def test_time_remaining_is_limited_to_the_deadline_of_the_class(
    run_engine_scenario: RunEngineScenario,
) -> None:
    async def scenario(gateway: EngineHarness) -> None:
        gateway.writer.write(call(1, b"c=lookup,t=basic,d=999999999"))
        await gateway.endpoint.respond(OK)
        assert await gateway.reader.readexactly(11) == b"$5\r\nvalue\r\n"

    request = run_engine_scenario(start_attempt, scenario)[0]
    assert isinstance(request, Request)
    assert request.time_remaining == SETTINGS.request_classes[0].deadline - NETWORK_ALLOWANCE_US
