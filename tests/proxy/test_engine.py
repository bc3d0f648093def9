"""The engine between real sockets of a client and a rate server, with a scripted policy."""

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
    AttemptOutcome,
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
from rushroad.proxy.engine import NETWORK_ALLOWANCE, Engine
from rushroad.proxy.in_flight import Call
from rushroad.proxy.upstream import Upstream
from tests.support.attempts import LONG_TIMEOUT_US, OK, endpoint_at
from tests.support.gateway_driver import SETTINGS
from tests.support.loopback import LOCAL, SCHEMA, DelayedConnectLoop, Peer, call, resp, run
from tests.support.scripted_policy import Script, ScriptedPolicy, install_policy


class InstantCounter:
    """Replies to each addition at once."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def add(self, name: int, amount: float, _lifetime: int) -> None:
        self._engine.post(CounterReply(name, Result.OK, 0, amount))


@dataclass
class EngineSide:
    """An engine between one client and one rate server."""

    engine: Engine
    policy: ScriptedPolicy
    endpoint: Peer
    reader: asyncio.StreamReader  # of the client
    writer: asyncio.StreamWriter


Scenario = Callable[[EngineSide], Awaitable[None]]
PlayEngine = Callable[[Script, Scenario], list[Event]]


@pytest.fixture
def play_engine(monkeypatch: pytest.MonkeyPatch) -> PlayEngine:
    """Runs a scenario with a scripted policy, and returns the events of the policy."""

    def play(script: Script, scenario: Scenario) -> list[Event]:
        policy = install_policy(monkeypatch, script)

        async def start() -> None:
            loop = asyncio.get_running_loop()
            engine = Engine(SETTINGS, 1, loop)
            async with Peer() as endpoint:
                upstream = engine.backend = Upstream(engine, SETTINGS, 15_000_000, 8, loop)
                upstream.update_endpoints(endpoint_at(endpoint.port), True)
                engine.counter = InstantCounter(engine)
                listener = ClientListener(engine, SCHEMA, 8, loop)
                await listener.listen(LOCAL, 0)
                client = await asyncio.open_connection(LOCAL, listener.port)
                await scenario(EngineSide(engine, policy, endpoint, *client))
                upstream.close()

        run(start)
        return policy.events

    return play


def set_monotonic_time(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    """Let the engine see this time when it computes how long a command has waited."""
    clocks = SimpleNamespace(monotonic=lambda: seconds, time_ns=time.time_ns, monotonic_ns=time.monotonic_ns)
    monkeypatch.setattr(rushroad.proxy.engine, "time", clocks)


@pytest.fixture
def no_waiting_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets commands reach the engine as if they had not waited since their arrival."""
    set_monotonic_time(monkeypatch, 0.0)


def start_attempt(event: Event) -> Iterator[Action]:
    if isinstance(event, Request):
        yield StartAttempt(event.id, "s-1", LONG_TIMEOUT_US)


@pytest.mark.usefixtures("no_waiting_time")
def test_request_is_forwarded_and_its_response_returned(play_engine: PlayEngine) -> None:
    async def scenario(gateway: EngineSide) -> None:
        reader, writer = gateway.reader, gateway.writer
        writer.write(call(1))
        data = await gateway.endpoint.answer(OK)
        deadline = re.search(rb",d=(\d+),", data)
        assert deadline is not None
        assert 0 < int(deadline[1]) <= 890  # the client's time, though the policy would wait for longer
        assert data == call(1).replace(b",d=900,", deadline[0])
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"

    request, outcome = play_engine(start_attempt, scenario)
    assert request == Request(1, 0, 0, 0xAB, 2.0, 890_000, 2, 1, False)
    assert isinstance(outcome, AttemptOutcome)
    assert (outcome.result, outcome.final, outcome.load_report) == (Result.OK, True, (2.0, 7.0))


def test_error_in_the_policy_fails_its_request_and_the_next_is_served(
    play_engine: PlayEngine, capfd: pytest.CaptureFixture[str]
) -> None:
    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request) and event.id == 1:
            raise ZeroDivisionError("boom")
        yield from start_attempt(event)

    async def scenario(gateway: EngineSide) -> None:
        reader, writer = gateway.reader, gateway.writer
        writer.write(call(1) + call(2))
        assert await reader.readline() == b"-ERR failed\r\n"
        await gateway.endpoint.answer(OK)
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"

    events = play_engine(script, scenario)
    assert ClientDisconnected(1) in events
    assert "boom" in capfd.readouterr().err


def test_unsupported_action_is_logged_and_the_request_answered(
    play_engine: PlayEngine, capfd: pytest.CaptureFixture[str]
) -> None:
    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request):
            yield CheckHealth("s-1")

    async def scenario(gateway: EngineSide) -> None:
        gateway.writer.write(call(1))
        assert await gateway.reader.readline() == b"-ERR failed\r\n"

    play_engine(script, scenario)
    assert "NotImplementedError" in capfd.readouterr().err


def test_engine_supports_every_action_that_the_policy_uses() -> None:
    code = Path(rushroad.proxy.engine.__file__).read_text()
    folder = Path(rushroad.policy.gateway.__file__).parent
    policy = "".join(file.read_text() for file in folder.glob("*.py") if file.name != "actions.py")
    for action in typing.get_args(Action):
        if re.search(rf"\b{action.__name__}\(", policy):
            assert f"case {action.__name__}()" in code


def test_request_that_the_policy_never_answers_fails_after_its_deadline(
    play_engine: PlayEngine, capfd: pytest.CaptureFixture[str]
) -> None:
    def script(_: Event) -> Iterator[Action]:
        return iter(())

    async def scenario(gateway: EngineSide) -> None:
        gateway.writer.write(call(1, b"c=lookup,t=basic,d=40"))
        assert await gateway.reader.readline() == b"-ERR failed\r\n"

    assert ClientDisconnected(1) in play_engine(script, scenario)
    assert "let the time of request 1 run out" in capfd.readouterr().err


def test_request_without_time_remaining_is_still_answered_by_the_policy(
    play_engine: PlayEngine, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    # It waited unread for all of its time: the deadline timer is due before the policy has the request.
    set_monotonic_time(monkeypatch, 1e12)
    monkeypatch.setattr(rushroad.proxy.engine, "DEADLINE_GRACE", 0)

    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request):
            assert event.time_remaining == 0
            yield Reject(event.id)

    async def scenario(gateway: EngineSide) -> None:
        gateway.writer.write(call(1))
        assert await gateway.reader.readline() == b"-BUSY\r\n"

    play_engine(script, scenario)
    assert capfd.readouterr().err == ""


def test_request_gets_one_answer_when_the_policy_gives_several(play_engine: PlayEngine) -> None:
    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request):
            yield from (Reject(event.id, 5_000), Fail(event.id), Reject(event.id))

    async def scenario(gateway: EngineSide) -> None:
        gateway.writer.write(call(1) + resp(b"PING"))
        assert await gateway.reader.readline() == b"-BUSY 5\r\n"
        assert await gateway.reader.readline() == b"+PONG\r\n"

    play_engine(script, scenario)


def test_attempt_for_a_disconnected_client_is_not_forwarded(play_engine: PlayEngine) -> None:
    done = asyncio.Event()

    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, AttemptOutcome):
            done.set()
        yield from start_attempt(event)

    async def scenario(gateway: EngineSide) -> None:
        stub = typing.cast(Call, UnanswerableCall())
        gateway.engine.client_disconnected(gateway.engine.submit(stub))  # before the policy has the request
        await done.wait()
        assert gateway.endpoint.came.empty()

    events = play_engine(script, scenario)
    not_forwarded = AttemptOutcome(1, 0, "s-1", Result.NOT_FORWARDED, 0, True)
    assert [type(events[0]), *events[1:]] == [Request, ClientDisconnected(1), not_forwarded]


@pytest.mark.parametrize("end", ["disconnected", "answered"])
def test_attempt_without_a_connection_is_not_forwarded_once_its_request_is_finished(
    play_engine: PlayEngine, end: str
) -> None:
    # The connection opens all the same, as it may when connecting is cancelled at that moment.
    done = asyncio.Event()

    def script(event: Event) -> Iterator[Action]:
        yield from start_attempt(event)
        if isinstance(event, TimerFired):
            yield Fail(event.token)
        if isinstance(event, AttemptOutcome):
            done.set()

    async def scenario(gateway: EngineSide) -> None:
        assert isinstance(gateway.engine.backend, Upstream)
        late = DelayedConnectLoop()
        gateway.engine.backend.loop = typing.cast(asyncio.AbstractEventLoop, late)
        gateway.writer.write(call(1))
        await late.asked.wait()
        if end == "disconnected":
            gateway.writer.close()
        else:
            gateway.engine.post(TimerFired(1))
        await late.done.wait()
        await done.wait()
        assert (await gateway.endpoint.hear())[1] == b""  # the connection was closed with nothing written

    events = play_engine(script, scenario)
    (outcome,) = [event for event in events if isinstance(event, AttemptOutcome)]
    assert (outcome.result, outcome.final) == (Result.NOT_FORWARDED, True)


def test_answer_all_answers_every_request_in_flight(play_engine: PlayEngine) -> None:
    # Rate servers may never answer, and what is not answered before the process is killed is lost.
    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request) and event.id == 1:
            yield from start_attempt(event)

    async def scenario(gateway: EngineSide) -> None:
        gateway.writer.write(call(1) + call(2))
        await gateway.endpoint.hear()
        gateway.engine.answer_all()
        assert await gateway.reader.readline() == b"-ERR failed\r\n"  # it may have been executed
        assert await gateway.reader.readline() == b"-BUSY\r\n"  # it was never forwarded

    play_engine(script, scenario)


class UnanswerableCall:
    """A call without the methods that answer: an answer to it is an error."""

    id = b"1"
    class_index = plan_index = tenant = first_entry = 0
    units, time_remaining_ms, entry_points, is_retry = 1.0, 1_000, 1, False
    arrived_at = time.monotonic()


def test_endpoint_update_is_processed_before_requests_queued_earlier(play_engine: PlayEngine) -> None:
    processed = asyncio.Event()
    update = EndpointUpdate(UpdateKind.DELTA, 2, ())

    def script(event: Event) -> Iterator[Action]:
        if isinstance(event, Request):
            processed.set()
        return iter(())

    async def scenario(gateway: EngineSide) -> None:
        gateway.engine.submit(typing.cast(Call, UnanswerableCall()))
        gateway.engine.endpoints_updated(update)
        await processed.wait()

    events = play_engine(script, scenario)
    assert events[0] == update


def test_counter_add_timer_and_cancelled_attempt_end_in_events(play_engine: PlayEngine) -> None:
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
            case AttemptOutcome():
                yield Fail(1)
                done.set()

    async def scenario(gateway: EngineSide) -> None:
        gateway.writer.write(call(1))
        assert (await gateway.endpoint.hear())[1] != b""
        assert await gateway.reader.readline() == b"-ERR failed\r\n"
        assert (await gateway.endpoint.hear())[1] == b""
        await done.wait()

    events = play_engine(script, scenario)
    assert [type(event) for event in events] == [Request, CounterReply, TimerFired, AttemptOutcome]
    assert isinstance(events[-1], AttemptOutcome)
    assert (events[-1].result, events[-1].final) == (Result.CANCELLED, False)


def test_call_id_stays_in_use_while_an_attempt_is_in_flight(play_engine: PlayEngine) -> None:
    # To a rate server the same id again would be a second copy while the first is in flight.
    def script(event: Event) -> Iterator[Action]:
        yield from start_attempt(event)
        if isinstance(event, TimerFired):
            yield Reject(event.token)

    async def scenario(gateway: EngineSide) -> None:
        reader, writer = gateway.reader, gateway.writer
        writer.write(call(1))
        endpoint, _ = await gateway.endpoint.hear()
        gateway.engine.post(TimerFired(1))
        assert await reader.readline() == b"-BUSY\r\n"
        writer.write(call(1))
        assert await reader.readline() == b"-ERR the id is taken\r\n"
        endpoint.write(OK)
        while not isinstance(gateway.policy.events[-1], AttemptOutcome):
            await asyncio.sleep(0.001)
        writer.write(call(1))
        await gateway.endpoint.answer(OK)
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"

    play_engine(script, scenario)


@pytest.mark.usefixtures("no_waiting_time")
def test_time_remaining_is_limited_to_the_deadline_of_the_class(play_engine: PlayEngine) -> None:
    async def scenario(gateway: EngineSide) -> None:
        gateway.writer.write(call(1, b"c=lookup,t=basic,d=999999999"))
        await gateway.endpoint.answer(OK)
        assert await gateway.reader.readexactly(11) == b"$5\r\nvalue\r\n"

    request = play_engine(start_attempt, scenario)[0]
    assert isinstance(request, Request)
    assert request.time_remaining == SETTINGS.request_classes[0].deadline - NETWORK_ALLOWANCE
