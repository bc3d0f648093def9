"""Drives the decision module: events in, `Gateway.handle`, actions out. Clock, ids and timers; no sockets."""

from __future__ import annotations

import asyncio
import itertools
import time
import traceback
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from rushroad.policy.actions import (
    Action,
    CancelAttempt,
    CounterAdd,
    Fail,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from rushroad.policy.events import (
    AttemptOutcome,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    Request,
    Result,
    TimerFired,
)
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import Settings
from rushroad.proxy.nonblocking_log import log

WAY = 10_000  # microseconds of a client's patience kept back for the way there and back and for loop lag
LATE = 30_000  # microseconds past the deadline told to the module at which the answer is given without it


class Call(Protocol):
    """A client's request, as the engine sees it."""

    id: bytes
    arrived_at: float  # when its last byte arrived; seconds of the monotonic clock, which the loop's is
    class_index: int
    plan_index: int
    tenant: int
    units: float
    time_remaining_ms: int  # until its client gives up, from when it sent the call
    entry_points: int
    first_entry: int
    is_retry: bool

    def poll_disconnect(self) -> bool:
        """Return whether its client has closed; the engine is then told of all requests on the connection."""

    def forwarded_command(self, time_remaining: int) -> bytes:
        """Return the command for a rate server; `time_remaining`, in microseconds, replaces the client's."""

    def succeed(self, value: bytes) -> None:
        """Answer with a rate server's value."""

    def reject(self, retry_after: int) -> None:
        """Answer that it is rejected; a client may retry after so many microseconds, where this is not 0."""

    def fail(self) -> None:
        """Answer that it failed."""


class Backend(Protocol):
    """Where attempts go."""

    def start(self, attempt: Attempt, timeout: int) -> None:
        """Start an attempt; exactly one `Engine.attempt_finished` follows."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""

    def withdraw(self, attempt: Attempt) -> None:
        """Its request is over: end it as not sent, unless it has been written."""


class Counter(Protocol):
    """Where counts go."""

    def add(self, name: int, amount: float, lifetime: int) -> None:
        """Add; exactly one `Counted` event follows."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a server."""

    request_id: int
    number: int
    endpoint: str
    in_flight: InFlightRequest
    started_at: int
    finished: bool = False

    @property
    def call(self) -> Call:
        """The client's request."""
        return self.in_flight.call


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is owed its final answer."""

    call: Call
    until: int  # when the client gives up, as told to the module
    deadline: asyncio.TimerHandle
    attempts: int = 0
    out: int = 0  # attempts that have not ended
    over: bool = False  # answered or left, but the module has not been told yet


@dataclass(slots=True)
class Clock:
    """Microseconds: Unix time at the start, and from there monotonic, so that all gateways share windows."""

    base: int = field(default_factory=lambda: time.time_ns() - time.monotonic_ns())

    def now(self) -> int:
        """The time now."""
        return (self.base + time.monotonic_ns()) // 1_000


class Engine:
    """One gateway's decisions, and who is owed what."""

    def __init__(self, settings: Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.clock = Clock()
        self.backend: Backend
        self.counter: Counter
        self._settings = settings
        self._loop = loop
        self._module = Gateway(settings, seed, self.clock.now())
        self._ids = itertools.count(1)
        self._open: dict[int, InFlightRequest] = {}
        self._taken: set[bytes] = set()  # ids of requests that are open, or have attempts out
        self._out: dict[tuple[int, int], Attempt] = {}
        self._news: deque[Event] = deque()
        self._events: deque[Event] = deque()
        self._scheduled = False

    # --- what the sockets tell --------------------------------------------------------------------------

    def submit(self, call: Call) -> int:
        """Take a request; returns its number, or 0 where its id is in flight; then it is not taken."""
        if call.id in self._taken:
            return 0
        self._taken.add(call.id)
        request = next(self._ids)
        # Nobody waits for longer than the class's deadline, whatever a client says.
        patience = min(
            call.time_remaining_ms * 1_000, self._settings.request_classes[call.class_index].deadline
        )
        waited = max(0, int((time.monotonic() - call.arrived_at) * 1e6))
        left = max(0, patience - WAY - waited)
        deadline = self._loop.call_later((left + LATE) / 1e6, self._outlived, request)
        self._open[request] = InFlightRequest(call, self.clock.now() + left, deadline)
        extras = (call.units, left, call.entry_points, call.first_entry, call.is_retry)
        self.post(Request(request, call.class_index, call.plan_index, call.tenant, *extras))
        return request

    def client_disconnected(self, request: int) -> None:
        """The client has left."""
        if self._close(request) is not None:
            self.post(ClientDisconnected(request))

    def endpoints_updated(self, members: EndpointUpdate) -> None:
        """The list of servers has changed. It goes before all that is queued: sends rely on it."""
        self._news.append(members)
        self._schedule()

    def post(self, event: Event) -> None:
        """Queue an event; the queue is worked off when all sockets that are ready have been read."""
        self._events.append(event)
        self._schedule()

    def attempt_finished(
        self,
        attempt: Attempt,
        result: Result,
        value: bytes = b"",
        load: tuple[float, ...] = (),
        true_units: float | None = None,
    ) -> None:
        """An attempt has ended. The first good answer goes to the client, and its true units count."""
        if attempt.finished:
            return
        attempt.finished = True
        self._out.pop((attempt.request_id, attempt.number), None)
        attempt.in_flight.out -= 1
        first_good = False
        if result is Result.OK and (closed := self._close(attempt.request_id)) is not None:
            first_good = True
            closed.call.succeed(value)
        self._forget_id(attempt.in_flight)
        elapsed = self.clock.now() - attempt.started_at
        final = attempt.in_flight.over
        units = true_units if first_good else None
        ids = (attempt.request_id, attempt.number, attempt.endpoint)
        self.post(AttemptOutcome(*ids, result, elapsed, final, actual_units=units, load_report=load))

    # --- events and actions -----------------------------------------------------------------------------

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._work)

    def _work(self) -> None:
        """Hand the queued events to the module. What it adds to the queue meanwhile has the next turn."""
        self._scheduled = False
        for queue in (self._news, self._events):
            for _ in range(len(queue)):
                event = queue.popleft()
                try:
                    actions = self._module.handle(self.clock.now(), event)
                except Exception:  # one request's trouble must not end the process
                    log(traceback.format_exc())
                    self._give_up(event)
                    actions = []
                for action in actions:
                    self._try_to(action)
                if isinstance(event, ClientDisconnected) or (
                    isinstance(event, AttemptOutcome) and event.final
                ):
                    self._open.pop(event.request_id, None)

    def _try_to(self, action: Action) -> None:
        """Carry an action out. Where that goes wrong the request that it was for gets an answer."""
        try:
            self._act(action)
        except Exception:
            log(traceback.format_exc())
            if isinstance(action, StartAttempt | Reject | Fail | CancelAttempt):
                self._fail(action.request_id)

    def _give_up(self, event: Event) -> None:
        """The handling of an event went wrong: the request that it was about gets an answer."""
        if isinstance(event, Request):
            self._fail(event.id)
        elif isinstance(event, AttemptOutcome):
            self._fail(event.request_id)

    def _fail(self, request: int) -> None:
        closed = self._close(request)
        if closed is not None:
            closed.call.fail()
            self.post(ClientDisconnected(request))

    def _act(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case CounterAdd():
                self.counter.add(action.name, action.amount, action.lifetime)
            case SetTimer():
                self._loop.call_later(action.delay / 1e6, self.post, TimerFired(action.token))
            case Reject():
                if (closed := self._close(action.request_id)) is not None:
                    closed.call.reject(action.retry_after if self._settings.limits.retry_after else 0)
                self._open.pop(action.request_id, None)
            case Fail():
                if (closed := self._close(action.request_id)) is not None:
                    closed.call.fail()
                self._open.pop(action.request_id, None)
            case CancelAttempt():
                attempt = self._out.get((action.request_id, action.attempt))
                if attempt is not None:
                    self.backend.cancel(attempt)
            case WatchEndpoints():
                pass  # discovery is watched from the start, and for good
            case _:
                raise NotImplementedError(f"no code for the action {action}")

    def _send(self, action: StartAttempt) -> None:
        held = self._open[action.request_id]
        number = held.attempts
        held.attempts += 1
        # Between the close and its reading lie a turn of the loop, and more where the client is not read.
        if held.over or held.call.poll_disconnect() or number >= self._settings.limits.max_attempts:
            moot = AttemptOutcome(
                action.request_id, number, action.endpoint, Result.NOT_FORWARDED, 0, held.over
            )
            self.post(moot)
            return
        now = self.clock.now()
        left = max(0, held.until - now)
        attempt = Attempt(action.request_id, number, action.endpoint, held, now)
        held.out += 1
        self._out[(attempt.request_id, attempt.number)] = attempt
        self.backend.start(attempt, min(action.timeout or left, left))  # 0: until the client gives up

    def _close(self, request: int) -> InFlightRequest | None:
        """The request's one answer is due now, unless it has had it."""
        held = self._open.get(request)
        if held is None or held.over:
            return None
        held.over = True
        held.deadline.cancel()
        if held.out:  # one that still waits for its connection would be work for nobody
            for number in range(held.attempts):
                if (attempt := self._out.get((request, number))) is not None:
                    self.backend.withdraw(attempt)
        self._forget_id(held)
        return held

    def answer_all(self) -> None:
        """The end of the process: all that is open gets its answer now; a refusal where nothing was sent."""
        for request, held in list(self._open.items()):
            if held.attempts:
                self._fail(request)
            elif (closed := self._close(request)) is not None:
                closed.call.reject(0)
                self.post(ClientDisconnected(request))

    def _forget_id(self, held: InFlightRequest) -> None:
        """Guards rule 2: an id stays taken while an attempt is out, also after the answer."""
        if held.over and not held.out:
            self._taken.discard(held.call.id)

    def _outlived(self, request: int) -> None:
        """Guards the one answer in time, whatever the module does; what it is about to be told goes first."""
        self._loop.call_soon(self._answer_forgotten, request)

    def _answer_forgotten(self, request: int) -> None:
        held = self._open.get(request)
        if held is not None and not held.over:
            log("the module let a request's time run out")
            self._fail(request)
