"""A simulated gateway: the real decision policy, and the simulated execution of its actions."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import NamedTuple

from rushroad.bench.simulated.counter import COUNTER_DELAY, SimulatedCounter
from rushroad.bench.simulated.rate_server import NETWORK_DELAY, Attempt, SimulatedRateServer
from rushroad.bench.simulated.simulation import Metric, Simulation
from rushroad.policy.actions import Action, CancelAttempt, CounterAdd, Fail, Reject, SetTimer, StartAttempt
from rushroad.policy.events import (
    AttemptFinished,
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
    """Identifies an attempt of a gateway by its request and its number among the request's attempts."""

    request_id: int
    number: int


class Environment(NamedTuple):
    """What the gateways of a fleet share."""

    simulation: Simulation
    rate_servers: Mapping[str, SimulatedRateServer]
    counter: SimulatedCounter
    initial_endpoints: Mapping[str, Endpoint]  # by name, at the start of the run


class SimulatedGateway:
    """A gateway of the fleet, which passes events to its policy and executes the actions."""

    def __init__(
        self, environment: Environment, index: int, fleet_size: int, policy_class: type[Gateway]
    ) -> None:
        self._simulation, self._rate_servers, self._counter, self._initial_endpoints = environment
        self.index, self._policy_class = index, policy_class
        self.settings = replace(self._simulation.settings, fleet_size=fleet_size, gateway_index=index)
        self.policy_cpu_ns = 0  # CPU time of the policy, over all incarnations
        self.incarnation = 0
        self.changed_endpoints: dict[str, Endpoint] = {}  # by name, since the start of the run
        self.stopped_at: int | None = None  # None while running
        self.in_flight: dict[AttemptId, Attempt] = {}
        self.pending: dict[int, int] = {}  # attempts so far, by ID of unanswered request
        self.connected: set[str] = set()  # names of endpoints with a connection
        self.start()

    def start(self) -> None:
        """Start a new process with a cached snapshot of the endpoint list."""
        simulation = self._simulation
        self.stopped_at = None
        self.policy = self._policy_class(self.settings, simulation.random.getrandbits(32), simulation.now)
        known = {**self._initial_endpoints, **self.changed_endpoints}
        endpoints = tuple(entry for entry in known.values() if entry.state is not EndpointState.REMOVED)
        self.handle(EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, endpoints))

    def stop(self) -> None:
        """Stop the process; its pending requests are lost."""
        self._simulation.count(Metric.LOST, len(self.pending))
        self.stopped_at, self.incarnation = self._simulation.now, self.incarnation + 1
        self.in_flight, self.pending, self.connected = {}, {}, set()

    def notify(self, endpoints: Sequence[Endpoint]) -> None:
        """Apply changes of the endpoint list."""
        self.changed_endpoints.update((entry.name, entry) for entry in endpoints)
        if self.stopped_at is None:
            self.handle(EndpointUpdate(UpdateKind.DELTA, 1, tuple(endpoints)))

    def submit(self, request: Request) -> None:
        """Accept a client's request; it is lost if the gateway is stopped."""
        if self.stopped_at is not None:
            self._simulation.count(Metric.LOST)
            return
        self.pending[request.id] = 0
        self.handle(request)

    def handle(self, event: Event) -> None:
        """Pass an event to the policy, and execute the actions that it returns."""
        start_ns = time.thread_time_ns()
        actions = self.policy.handle(self._simulation.now, event)
        self.policy_cpu_ns += time.thread_time_ns() - start_ns
        for action in actions:
            self._execute_action(action)

    def _handle_later(self, delay: int, event: Event) -> None:
        self._simulation.schedule(delay, self._handle_if_same_incarnation, self.incarnation, event)

    def _handle_if_same_incarnation(self, incarnation: int, event: Event) -> None:
        if incarnation == self.incarnation:
            self.handle(event)

    def _execute_action(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send_attempt(action)
            case CancelAttempt():
                attempt_id = AttemptId(action.request_id, action.attempt)
                self._simulation.schedule(
                    0, self._finish_attempt, self.incarnation, attempt_id, Result.CANCELLED
                )
            case Reject():
                self._complete_request(action.request_id, Metric.REJECTED)
            case Fail():
                self._complete_request(action.request_id, Metric.FAILED)
            case CounterAdd():
                self._call_counter(action)
            case SetTimer():
                self._handle_later(max(action.delay, self.settings.tick), TimerFired(action.token))

    def _complete_request(self, request_id: int, outcome: Metric) -> None:
        del self.pending[request_id]
        self._simulation.count(outcome)

    def _call_counter(self, call: CounterAdd) -> None:
        settings = self.settings.counter
        if self._counter.down and settings is not None:
            timeout = settings.timeout
            self._handle_later(timeout, CounterReply(call.total_name, Result.TIMEOUT, timeout, 0.0))
        else:
            total = self._counter.add(call)
            self._handle_later(COUNTER_DELAY, CounterReply(call.total_name, Result.OK, COUNTER_DELAY, total))

    def _send_attempt(self, action: StartAttempt) -> None:
        simulation, incarnation = self._simulation, self.incarnation
        attempt_id = AttemptId(action.request_id, self.pending[action.request_id])
        self.pending[action.request_id] += 1
        attempt = Attempt(
            action.endpoint, simulation.now, lambda: self._finish_attempt(incarnation, attempt_id, Result.OK)
        )
        self.in_flight[attempt_id] = attempt
        self._count_attempt(action.endpoint)
        if action.timeout:
            simulation.schedule(action.timeout, self._finish_attempt, incarnation, attempt_id, Result.TIMEOUT)
        simulation.schedule(NETWORK_DELAY, self._deliver_attempt, incarnation, attempt_id, attempt)

    def _count_attempt(self, endpoint: str) -> None:
        server = self._rate_servers[endpoint]
        self._simulation.count(Metric.ATTEMPTS)
        if server.silent or server.down:
            self._simulation.count(Metric.UNAVAILABLE)
        if endpoint not in self.connected:
            self.connected.add(endpoint)
            self._simulation.count(Metric.CONNECTS)

    def _deliver_attempt(self, incarnation: int, attempt_id: AttemptId, attempt: Attempt) -> None:
        result = self._rate_servers[attempt.endpoint].receive_attempt(attempt)
        if result is not None:
            self._simulation.schedule(NETWORK_DELAY, self._finish_attempt, incarnation, attempt_id, result)

    def _finish_attempt(self, incarnation: int, attempt_id: AttemptId, result: Result) -> None:
        """Finish an attempt with its first result; later ones are ignored."""
        attempt = self.in_flight.pop(attempt_id, None) if incarnation == self.incarnation else None
        if attempt is None:
            return
        attempt.finished = True
        request_id, number = attempt_id
        if result is Result.CONNECT_FAILED:
            self.connected.discard(attempt.endpoint)
        if result is Result.OK and request_id in self.pending:
            self._complete_request(request_id, Metric.SERVED)
        is_final = request_id not in self.pending
        elapsed = self._simulation.now - attempt.sent_at
        self.handle(AttemptFinished(request_id, number, attempt.endpoint, result, elapsed, is_final))
