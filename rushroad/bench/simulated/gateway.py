"""A simulated gateway: the real decision policy, and what carries out its actions."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import NamedTuple

from rushroad.bench.simulated.counter import COUNTER_DELAY, SimulatedCounter
from rushroad.bench.simulated.rate_server import NETWORK_DELAY, Attempt, SimulatedRateServer
from rushroad.bench.simulated.simulation import Simulation, Tally
from rushroad.policy.actions import Action, CancelAttempt, CounterAdd, Fail, Reject, SetTimer, StartAttempt
from rushroad.policy.events import (
    AttemptOutcome,
    CounterReply,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    Request,
    Result,
    TimerFired,
    UpdateKind,
)
from rushroad.policy.gateway import Gateway


class AttemptId(NamedTuple):
    """An attempt of a gateway: its request, and its number among the request's attempts."""

    request_id: int
    number: int


class Environment(NamedTuple):
    """What all gateways of a fleet are connected to."""

    simulation: Simulation
    rate_servers: Mapping[str, SimulatedRateServer]
    counter: SimulatedCounter
    initial_endpoints: Mapping[str, Endpoint]  # by name; the endpoint list at the start of the run


class SimulatedGateway:
    """One gateway of a fleet; its policy decides, and this class carries its actions out."""

    def __init__(
        self, environment: Environment, index: int, fleet_size: int, policy_class: type[Gateway]
    ) -> None:
        self._simulation, self._rate_servers, self._counter, self._initial_endpoints = environment
        self.index, self._policy_class = index, policy_class
        self.settings = replace(self._simulation.settings, fleet_size=fleet_size, gateway_index=index)
        self.policy_time_ns = 0  # processor time in the policy, over all incarnations
        self.incarnation = 0
        self.changed_endpoints: dict[str, Endpoint] = {}  # by name, since the start of the run
        self.stopped_at: int | None = None  # None while it runs
        self.in_flight: dict[AttemptId, Attempt] = {}
        self.pending: dict[int, int] = {}  # attempts so far, by the id of each request without an answer
        self.connected: set[str] = set()
        self.start()

    def start(self) -> None:
        """Start a new process, which gets the endpoint list at once."""
        simulation = self._simulation
        self.stopped_at = None
        self.policy = self._policy_class(self.settings, simulation.random.getrandbits(32), simulation.now)
        known = {**self._initial_endpoints, **self.changed_endpoints}
        endpoints = tuple(entry for entry in known.values() if entry.state is not EndpointState.REMOVED)
        self.handle(EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, endpoints))

    def stop(self) -> None:
        """End the process; its pending requests are lost."""
        self._simulation.count(Tally.LOST, len(self.pending))
        self.stopped_at, self.incarnation = self._simulation.now, self.incarnation + 1
        self.in_flight, self.pending, self.connected = {}, {}, set()

    def notify(self, endpoints: Sequence[Endpoint]) -> None:
        """Take changes of the endpoint list."""
        self.changed_endpoints.update((entry.name, entry) for entry in endpoints)
        if self.stopped_at is None:
            self.handle(EndpointUpdate(UpdateKind.DELTA, 1, tuple(endpoints)))

    def submit(self, request: Request) -> None:
        """Take a client's request."""
        if self.stopped_at is not None:
            self._simulation.count(Tally.LOST)
            return
        self.pending[request.id] = 0
        self.handle(request)

    def handle(self, event: Event) -> None:
        """Give the policy an event, and carry out its actions."""
        began = time.thread_time_ns()
        actions = self.policy.handle(self._simulation.now, event)
        self.policy_time_ns += time.thread_time_ns() - began
        for action in actions:
            self._carry_out(action)

    def _handle_later(self, delay: int, event: Event) -> None:
        self._simulation.after(delay, self._handle_if_same, self.incarnation, event)

    def _handle_if_same(self, incarnation: int, event: Event) -> None:
        if incarnation == self.incarnation:
            self.handle(event)

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case CancelAttempt():
                attempt_id = AttemptId(action.request_id, action.attempt)
                self._simulation.after(0, self._end_attempt, self.incarnation, attempt_id, Result.CANCELLED)
            case Reject():
                self._answer(action.request_id, Tally.REJECTED)
            case Fail():
                self._answer(action.request_id, Tally.FAILED)
            case CounterAdd():
                self._call_counter(action)
            case SetTimer():
                self._handle_later(max(action.delay, self.settings.tick), TimerFired(action.token))

    def _answer(self, request_id: int, outcome: Tally) -> None:
        del self.pending[request_id]
        self._simulation.count(outcome)

    def _call_counter(self, call: CounterAdd) -> None:
        settings = self.settings.counter
        if self._counter.down and settings is not None:
            timeout = settings.timeout
            self._handle_later(timeout, CounterReply(call.name, Result.TIMEOUT, timeout, 0.0))
        else:
            total = self._counter.add(call)
            self._handle_later(COUNTER_DELAY, CounterReply(call.name, Result.OK, COUNTER_DELAY, total))

    def _send(self, action: StartAttempt) -> None:
        simulation, incarnation = self._simulation, self.incarnation
        attempt_id = AttemptId(action.request_id, self.pending[action.request_id])
        self.pending[action.request_id] += 1
        attempt = Attempt(
            action.endpoint, simulation.now, lambda: self._end_attempt(incarnation, attempt_id, Result.OK)
        )
        self.in_flight[attempt_id] = attempt
        self._count_attempt(action.endpoint)
        if action.timeout:
            simulation.after(action.timeout, self._end_attempt, incarnation, attempt_id, Result.TIMEOUT)
        simulation.after(NETWORK_DELAY, self._arrive, incarnation, attempt_id, attempt)

    def _count_attempt(self, endpoint: str) -> None:
        server = self._rate_servers[endpoint]
        self._simulation.count(Tally.ATTEMPTS)
        if server.silent or server.down:
            self._simulation.count(Tally.UNAVAILABLE)
        if endpoint not in self.connected:
            self.connected.add(endpoint)
            self._simulation.count(Tally.CONNECTS)

    def _arrive(self, incarnation: int, attempt_id: AttemptId, attempt: Attempt) -> None:
        result = self._rate_servers[attempt.endpoint].arrive(attempt)
        if result is not None:
            self._simulation.after(NETWORK_DELAY, self._end_attempt, incarnation, attempt_id, result)

    def _end_attempt(self, incarnation: int, attempt_id: AttemptId, result: Result) -> None:
        """End an attempt, once; a later result of it is ignored."""
        attempt = self.in_flight.pop(attempt_id, None) if incarnation == self.incarnation else None
        if attempt is None:
            return
        attempt.ended = True
        request_id, number = attempt_id
        if result is Result.CONNECT_FAILED:
            self.connected.discard(attempt.endpoint)
        if result is Result.OK and request_id in self.pending:
            self._answer(request_id, Tally.SERVED)
        final = request_id not in self.pending
        elapsed = self._simulation.now - attempt.sent_at
        self.handle(AttemptOutcome(request_id, number, attempt.endpoint, result, elapsed, final))
