"""Passes events to the policy and executes the actions that it returns.

The engine owns the clock, the request IDs and the timers; it has no sockets.
"""

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
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    Request,
    Result,
    TimerFired,
)
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import Idempotency, Settings
from rushroad.proxy.call_ids import CallIds, hold_time
from rushroad.proxy.clock import Clock
from rushroad.proxy.in_flight import Attempt, Call, InFlightRequest
from rushroad.proxy.nonblocking_log import log
from rushroad.proxy.table_limits import TableLimits

__all__ = ["Attempt", "Backend", "Counter", "Engine"]

NETWORK_ALLOWANCE_US = 10_000  # subtracted from the client's deadline, to cover network latency and loop lag
DEFAULT_LIMITS = TableLimits()
DEADLINE_GRACE_US = 30_000  # time after a request's deadline in which the policy can still answer it

AttemptKey: TypeAlias = tuple[int, int]  # request ID and attempt number


class Backend(Protocol):
    """Sends attempts to endpoints."""

    def start(self, attempt: Attempt, timeout_us: int) -> None:
        """Start an attempt and call `Engine.attempt_finished` exactly once when it ends."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for the response to an attempt."""

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt of a finished request as not forwarded, unless it has already been written."""


class Counter(Protocol):
    """Sends additions to the shared counter."""

    def add(self, total_name: int, amount: float, lifetime_us: int) -> None:
        """Add to a named total and post exactly one `CounterReply` event."""


class Engine:
    """Executes the policy's actions and ensures that each request gets exactly one answer in time."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        limits: TableLimits = DEFAULT_LIMITS,
    ) -> None:
        """Create an engine; `limits`: of the tables that it and its policy keep."""
        self.clock = Clock()
        self.backend: Backend
        self.counter: Counter
        self._settings = settings
        self._loop = loop
        self._policy = Gateway(settings, seed, self.clock.now_us(), limits.tenants)
        self._request_ids = itertools.count(1)
        self._requests: dict[int, InFlightRequest] = {}  # by ID, until the policy has processed their end
        self._attempts: dict[AttemptKey, Attempt] = {}  # attempts in flight
        # In flight while a request is unanswered or has attempts in flight.
        self._call_ids = CallIds(hold_time(settings), limits.call_ids)
        self._endpoint_updates: deque[EndpointUpdate] = deque()
        self._events: deque[Event] = deque()
        self._scheduled = False  # whether a call of `_process_events` is scheduled

    # --- called by the other components of the proxy ------------------------------------------------------

    def submit(self, call: Call) -> int:
        """Accept a request and return its ID.

        Returns 0 if its call ID is that of a request in flight, or of one that must not be executed again.
        """
        if not self._call_ids.acquire(call.id, self.clock.now_us()):
            return 0
        request_id = next(self._request_ids)
        # The deadline of the request class is an upper limit for the client's own deadline.
        class_deadline_us = self._settings.request_classes[call.class_index].deadline
        timeout_us = min(call.time_remaining_ms * 1_000, class_deadline_us)
        waited_us = max(0, int((time.monotonic() - call.arrived_at_s) * 1e6))
        time_remaining_us = max(0, timeout_us - NETWORK_ALLOWANCE_US - waited_us)
        timer = self._loop.call_later(
            (time_remaining_us + DEADLINE_GRACE_US) / 1e6, self._deadline_passed, request_id
        )
        self._requests[request_id] = InFlightRequest(call, self.clock.now_us() + time_remaining_us, timer)
        other_fields = (
            call.units,
            time_remaining_us,
            call.entry_point_count,
            call.first_entry_point,
            call.is_retry,
        )
        self.post(Request(request_id, call.class_index, call.plan_index, call.tenant, *other_fields))
        return request_id

    def client_disconnected(self, request_id: int) -> None:
        """End a request without an answer because its client has disconnected."""
        if self._finish(request_id) is not None:
            self.post(ClientDisconnected(request_id))

    def endpoints_updated(self, update: EndpointUpdate) -> None:
        """Queue an endpoint update ahead of all other events, since attempts depend on the endpoint list."""
        self._endpoint_updates.append(update)
        self._schedule()

    def post(self, event: Event) -> None:
        """Queue an event; the queue is processed after all ready sockets have been read."""
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
        """Report to the policy that an attempt has finished.

        The first successful response of a request is passed to the client, and its actual units are charged.
        """
        if attempt.finished:
            return
        attempt.finished = True
        self._attempts.pop((attempt.request_id, attempt.number), None)
        attempt.in_flight_request.attempts_in_flight -= 1
        attempt.in_flight_request.may_have_run |= not result.proven_not_executed
        is_first_response = False
        if result is Result.OK and (request := self._finish(attempt.request_id)) is not None:
            is_first_response = True
            request.call.succeed(value)
        self._release_call_id(attempt.in_flight_request)
        elapsed_us = self.clock.now_us() - attempt.started_at_us
        is_final = attempt.in_flight_request.finished
        units = actual_units if is_first_response else None
        ids = (attempt.request_id, attempt.number, attempt.endpoint)
        self.post(
            AttemptFinished(*ids, result, elapsed_us, is_final, actual_units=units, load_report=load_report)
        )

    def answer_all(self) -> None:
        """Answer all requests in flight before the process exits.

        A request that was never forwarded is rejected; all others fail.
        """
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
        """Process the queued events. Events posted meanwhile wait for the next event loop iteration."""
        self._scheduled = False
        for queue in (self._endpoint_updates, self._events):
            for _ in range(len(queue)):
                self._process_event(queue.popleft())

    def _process_event(self, event: Event) -> None:
        try:
            actions = self._policy.handle(self.clock.now_us(), event)
        except Exception:  # noqa: BLE001 - an error in one request must not end the process
            log(
                f"policy error on {type(event).__name__}; failing its request, if any: "
                f"{traceback.format_exc()}"
            )
            self._fail_request_of(event)
            actions = []
        for action in actions:
            self._execute(action)
        if isinstance(event, ClientDisconnected) or (isinstance(event, AttemptFinished) and event.is_final):
            self._requests.pop(event.request_id, None)

    def _fail_request_of(self, event: Event) -> None:
        if isinstance(event, Request):
            self._fail(event.id)
        elif isinstance(event, AttemptFinished):
            self._fail(event.request_id)

    # --- actions ------------------------------------------------------------------------------------------

    def _execute(self, action: Action) -> None:
        """Execute an action; on an error, fail the request that it belongs to, if any."""
        try:
            self._dispatch(action)
        except Exception:  # noqa: BLE001 - an error in one request must not end the process
            log(
                f"error executing {type(action).__name__}; failing its request, if any: "
                f"{traceback.format_exc()}"
            )
            if isinstance(action, StartAttempt | Reject | Fail | CancelAttempt):
                self._fail(action.request_id)

    def _dispatch(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case CounterAdd():
                self.counter.add(action.total_name, action.amount, action.lifetime)
            case SetTimer():
                self._loop.call_later(action.delay / 1e6, self.post, TimerFired(action.token))
            case Reject():
                self._answer_rejected(action)
            case Fail():
                self._answer_failed(action)
            case CancelAttempt():
                self._cancel_attempt(action)
            case WatchEndpoints():
                pass  # discovery is always watched, from the start of the process
            case _:
                raise NotImplementedError(f"the engine does not support the action {action}")

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self._requests[action.request_id]
        number = request.attempts_started
        request.attempts_started += 1
        if (
            request.finished
            or number >= self._settings.limits.max_attempts
            # The event loop reports a disconnect at least one iteration late.
            or request.call.poll_disconnect()
            or request.call.may_have_left()
        ):
            ids = (action.request_id, number, action.endpoint)
            self.post(AttemptFinished(*ids, Result.NOT_FORWARDED, 0, request.finished))
            return
        now_us = self.clock.now_us()
        time_remaining_us = max(0, request.deadline_us - now_us)
        attempt = Attempt(action.request_id, number, action.endpoint, request, now_us)
        request.attempts_in_flight += 1
        self._attempts[(attempt.request_id, attempt.number)] = attempt
        # A timeout of 0 stands for the time remaining.
        self.backend.start(attempt, min(action.timeout or time_remaining_us, time_remaining_us))

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
        """Mark a request as finished and return it, or None if it was finished before."""
        request = self._requests.get(request_id)
        if request is None or request.finished:
            return None
        request.finished = True
        request.deadline_timer.cancel()
        if request.attempts_in_flight:  # an attempt still waiting for a connection would be executed in vain
            for number in range(request.attempts_started):
                if (attempt := self._attempts.get((request_id, number))) is not None:
                    self.backend.withdraw(attempt)
        self._release_call_id(request)
        return request

    def _fail(self, request_id: int) -> None:
        """Fail a request, unless it is finished, and notify the policy."""
        request = self._finish(request_id)
        if request is not None:
            request.call.fail()
            self.post(ClientDisconnected(request_id))

    def _release_call_id(self, request: InFlightRequest) -> None:
        """Allow the call ID to be reused once the request is finished and has no attempt in flight.

        Until then, an endpoint would treat another request with the same ID as a duplicate of this one. The
        ID of one that may have been executed and is not idempotent stays known, as its client may send it
        again on another connection.
        """
        if request.finished and not request.attempts_in_flight:
            request_class = self._settings.request_classes[request.call.class_index]
            is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
            may_have_run = request.may_have_run and not is_idempotent
            self._call_ids.release(request.call.id, may_have_run, self.clock.now_us())

    def _deadline_passed(self, request_id: int) -> None:
        # A queued event may still lead to an answer, so the queue is processed first.
        self._loop.call_soon(self._fail_unanswered, request_id)

    def _fail_unanswered(self, request_id: int) -> None:
        request = self._requests.get(request_id)
        if request is not None and not request.finished:
            log(f"the policy did not answer request {request_id} before its deadline; failing the request")
            self._fail(request_id)
