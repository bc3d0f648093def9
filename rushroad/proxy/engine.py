"""Drives the policy: events in, `Gateway.handle`, actions out. Has the clock, ids and timers; no sockets."""

from __future__ import annotations

import asyncio
import itertools
import time
import traceback
from collections import deque
from typing import Protocol, TypeAlias

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
from rushroad.proxy.clock import Clock
from rushroad.proxy.in_flight import Attempt, Call, InFlightRequest
from rushroad.proxy.nonblocking_log import log

__all__ = ["Attempt", "Backend", "Counter", "Engine"]

NETWORK_ALLOWANCE = 10_000  # microseconds of a client's time kept back for the network and for loop lag
DEADLINE_GRACE = 30_000  # microseconds after the policy's deadline in which the policy may still answer

AttemptKey: TypeAlias = tuple[int, int]  # id of the request, number of the attempt


class Backend(Protocol):
    """Where attempts go."""

    def start(self, attempt: Attempt, timeout: int) -> None:
        """Start an attempt; exactly one `Engine.attempt_finished` follows. `timeout` is in microseconds."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt."""

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt as not forwarded, unless it has been written: its request is finished."""


class Counter(Protocol):
    """Where additions to the shared counter go."""

    def add(self, name: int, amount: float, lifetime: int) -> None:
        """Add; exactly one `CounterReply` event follows. `lifetime` is in microseconds."""


class Engine:
    """Carries out one gateway's decisions, and sees that each request gets exactly one answer in time."""

    def __init__(self, settings: Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.clock = Clock()
        self.backend: Backend
        self.counter: Counter
        self._settings = settings
        self._loop = loop
        self._policy = Gateway(settings, seed, self.clock.now())
        self._request_ids = itertools.count(1)
        self._requests: dict[int, InFlightRequest] = {}  # by id, until the policy knows of their end
        self._attempts: dict[AttemptKey, Attempt] = {}  # those in flight
        self._call_ids: set[bytes] = set()  # of requests without an answer, or with attempts in flight
        self._endpoint_updates: deque[EndpointUpdate] = deque()
        self._events: deque[Event] = deque()
        self._scheduled = False  # a turn of the loop that processes them

    # --- called by the sockets' side ----------------------------------------------------------------------

    def submit(self, call: Call) -> int:
        """Take a request and return its id; 0 where it is not taken, as one with its call id is in flight."""
        if call.id in self._call_ids:
            return 0
        self._call_ids.add(call.id)
        request_id = next(self._request_ids)
        # A client does not wait longer than the deadline of the class, whatever it says.
        class_deadline = self._settings.request_classes[call.class_index].deadline
        timeout = min(call.time_remaining_ms * 1_000, class_deadline)
        waited = max(0, int((time.monotonic() - call.arrived_at) * 1e6))
        time_remaining = max(0, timeout - NETWORK_ALLOWANCE - waited)
        timer = self._loop.call_later(
            (time_remaining + DEADLINE_GRACE) / 1e6, self._deadline_passed, request_id
        )
        self._requests[request_id] = InFlightRequest(call, self.clock.now() + time_remaining, timer)
        extras = (call.units, time_remaining, call.entry_points, call.first_entry, call.is_retry)
        self.post(Request(request_id, call.class_index, call.plan_index, call.tenant, *extras))
        return request_id

    def client_disconnected(self, request_id: int) -> None:
        """End a request without an answer: its client has closed."""
        if self._finish(request_id) is not None:
            self.post(ClientDisconnected(request_id))

    def endpoints_updated(self, update: EndpointUpdate) -> None:
        """Queue an update of the endpoint list, before all other events: attempts rely on it."""
        self._endpoint_updates.append(update)
        self._schedule()

    def post(self, event: Event) -> None:
        """Queue an event; the queue is processed after all sockets that are ready have been read."""
        self._events.append(event)
        self._schedule()

    def attempt_finished(
        self,
        attempt: Attempt,
        result: Result,
        value: bytes = b"",
        load_report: tuple[float, ...] = (),
        actual_units: float | None = None,
    ) -> None:
        """Take an attempt's outcome; the first response goes to the client, and its actual units count."""
        if attempt.finished:
            return
        attempt.finished = True
        self._attempts.pop((attempt.request_id, attempt.number), None)
        attempt.in_flight.attempts_in_flight -= 1
        first_response = False
        if result is Result.OK and (request := self._finish(attempt.request_id)) is not None:
            first_response = True
            request.call.succeed(value)
        self._release_call_id(attempt.in_flight)
        elapsed = self.clock.now() - attempt.started_at
        final = attempt.in_flight.finished
        units = actual_units if first_response else None
        ids = (attempt.request_id, attempt.number, attempt.endpoint)
        self.post(AttemptOutcome(*ids, result, elapsed, final, actual_units=units, load_report=load_report))

    def answer_all(self) -> None:
        """Answer all requests in flight now, as the process ends: rejected where nothing was forwarded."""
        for request_id, request in list(self._requests.items()):
            if request.attempts_started:
                self._fail(request_id)
            elif self._finish(request_id) is not None:
                request.call.reject(0)
                self.post(ClientDisconnected(request_id))

    # --- events -------------------------------------------------------------------------------------------

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._process_events)

    def _process_events(self) -> None:
        """Process what is queued now. Events that this adds are processed in the loop's next turn."""
        self._scheduled = False
        for queue in (self._endpoint_updates, self._events):
            for _ in range(len(queue)):
                self._process(queue.popleft())

    def _process(self, event: Event) -> None:
        try:
            actions = self._policy.handle(self.clock.now(), event)
        except Exception:  # noqa: BLE001 - one request's error must not end the process
            log(f"the policy failed on {type(event).__name__}; its request fails: {traceback.format_exc()}")
            self._fail_request_of(event)
            actions = []
        for action in actions:
            self._carry_out(action)
        if isinstance(event, ClientDisconnected) or (isinstance(event, AttemptOutcome) and event.final):
            self._requests.pop(event.request_id, None)

    def _fail_request_of(self, event: Event) -> None:
        if isinstance(event, Request):
            self._fail(event.id)
        elif isinstance(event, AttemptOutcome):
            self._fail(event.request_id)

    # --- actions ------------------------------------------------------------------------------------------

    def _carry_out(self, action: Action) -> None:
        """Carry an action out; after an error the request that it was for gets an answer."""
        try:
            self._dispatch(action)
        except Exception:  # noqa: BLE001 - one request's error must not end the process
            log(f"{type(action).__name__} can't be carried out; its request fails: {traceback.format_exc()}")
            if isinstance(action, StartAttempt | Reject | Fail | CancelAttempt):
                self._fail(action.request_id)

    def _dispatch(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case CounterAdd():
                self.counter.add(action.name, action.amount, action.lifetime)
            case SetTimer():
                self._loop.call_later(action.delay / 1e6, self.post, TimerFired(action.token))
            case Reject():
                self._answer_rejected(action)
            case Fail():
                self._answer_failed(action)
            case CancelAttempt():
                self._cancel_attempt(action)
            case WatchEndpoints():
                pass  # discovery is watched from the start, and for good
            case _:
                raise NotImplementedError(f"the engine can't carry out the action {action}")

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self._requests[action.request_id]
        number = request.attempts_started
        request.attempts_started += 1
        # The client may have closed: that is read a turn of the loop later, or more while reading is paused.
        if request.finished or request.call.poll_disconnect() or number >= self._settings.limits.max_attempts:
            ids = (action.request_id, number, action.endpoint)
            self.post(AttemptOutcome(*ids, Result.NOT_FORWARDED, 0, request.finished))
            return
        now = self.clock.now()
        time_remaining = max(0, request.expires_at - now)
        attempt = Attempt(action.request_id, number, action.endpoint, request, now)
        request.attempts_in_flight += 1
        self._attempts[(attempt.request_id, attempt.number)] = attempt
        # A time-out of 0 means until the client gives up.
        self.backend.start(attempt, min(action.timeout or time_remaining, time_remaining))

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        attempt = self._attempts.get((action.request_id, action.attempt))
        if attempt is not None:
            self.backend.cancel(attempt)

    def _answer_rejected(self, action: Reject) -> None:
        if (request := self._finish(action.request_id)) is not None:
            request.call.reject(action.retry_after if self._settings.limits.retry_after_allowed else 0)
        self._requests.pop(action.request_id, None)

    def _answer_failed(self, action: Fail) -> None:
        if (request := self._finish(action.request_id)) is not None:
            request.call.fail()
        self._requests.pop(action.request_id, None)

    # --- the end of a request -----------------------------------------------------------------------------

    def _finish(self, request_id: int) -> InFlightRequest | None:
        """End a request and return it, as its answer is due now; None where it has ended before."""
        request = self._requests.get(request_id)
        if request is None or request.finished:
            return None
        request.finished = True
        request.deadline_timer.cancel()
        if request.attempts_in_flight:  # one that waits for its connection would be executed for nobody
            for number in range(request.attempts_started):
                if (attempt := self._attempts.get((request_id, number))) is not None:
                    self.backend.withdraw(attempt)
        self._release_call_id(request)
        return request

    def _fail(self, request_id: int) -> None:
        """Answer a request as failed, unless it has ended, and tell the policy that it is over."""
        request = self._finish(request_id)
        if request is not None:
            request.call.fail()
            self.post(ClientDisconnected(request_id))

    def _release_call_id(self, request: InFlightRequest) -> None:
        """Let the call id be used again, once the request is finished and no attempt is in flight.

        Until then an endpoint would take another request with the same id for a duplicate of this one.
        """
        if request.finished and not request.attempts_in_flight:
            self._call_ids.discard(request.call.id)

    def _deadline_passed(self, request_id: int) -> None:
        # Events that are queued may still bring the answer; they are processed before this callback.
        self._loop.call_soon(self._fail_unanswered, request_id)

    def _fail_unanswered(self, request_id: int) -> None:
        request = self._requests.get(request_id)
        if request is not None and not request.finished:
            log(f"the policy let the time of request {request_id} run out; the request fails")
            self._fail(request_id)
