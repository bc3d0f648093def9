"""Hollow gateways: the decision module without sockets, many in one process, on a virtual clock.

The module is the real one, `rushroad.policy.gateway.Gateway`. What is around it is emulated in one heap of
events: clients, the shared counter, rate servers and the list of them. All times are microseconds of the
virtual clock, all chance comes from one seed, and nothing waits: a run takes as long as the module's work
does.

Of a large fleet a part of the gateways can be emulated. What the others send to the servers that these know
is then drawn as background work. That tells nothing of what a trouble does to the others, nor of the load
on the counter.
"""

from __future__ import annotations

import heapq
import itertools
import math
import time
from collections import Counter as Tally
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from rushroad.policy.actions import Action, CancelAttempt, CounterAdd, Fail, Reject, SetTimer, StartAttempt
from rushroad.policy.active_endpoints import ActiveEndpoint
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
from rushroad.policy.settings import (
    CounterSettings,
    DeduplicationScope,
    Idempotency,
    Limits,
    Plan,
    RequestClass,
    SafetyLimits,
    Settings,
)

MS = 1_000
SECOND = 1_000_000
START = 5_000 * SECOND  # the virtual clock at the start of a run
NETWORK_DELAY = 1 * MS  # one way between any two machines, within what the pages name
COUNTER_DELAY = 3 * MS  # there and back, with the counter's work
LIST_LEAST, LIST_MOST = 500 * MS, 4 * SECOND  # until a gateway is told of a change: seconds late, 6 at most
FRONT_NOTICES = 2_500 * MS  # requests go on coming to a dead gateway for so long
TENANT_REQUESTS = 850_000 / 360_000  # requests a second of one tenant in the mean, at the coming size
TENANT_ROOM = 3.0  # quota over mean use: quotas are not what these experiments are about
TENANT_BURST = 5 * SECOND  # the burst is refilled in this time
ENTRY_POINTS = 3  # gateways that a tenant's requests come through
SERVER_RATE = 850_000 / 97_000  # requests a second to a server in the mean, at the coming size
KEYED_SHARE = 0.27  # of the requests
WORK_LEAST, WORK_MOST = 180 * MS, 320 * MS  # of a request, on a core of speed 1
CORES = 4  # of a server
SPEEDS = ((0.85, 1.1), (0.51, 0.69))  # of a core, by kind
SLOW_SHARE = 0.38  # of the servers, of the second kind
QUEUE = 40  # requests that wait at a server at most; three seconds of its work
ZONES = 3
CELL = 8  # servers of one zone that drop each other's repeats

CLASSES = (
    RequestClass(
        Idempotency.IDEMPOTENT, latency_objective=3 * SECOND, deadline=10 * SECOND, priority_weight=1.0
    ),
    RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        latency_objective=2_500 * MS,
        deadline=10 * SECOND,
        priority_weight=5.0,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=6 * SECOND,
    ),
)
UNITS = (1, 4)  # of a request, least and most
SETTINGS = Settings(
    request_classes=CLASSES,
    plans=(
        Plan(
            rate=TENANT_ROOM * TENANT_REQUESTS * sum(UNITS) / 2,
            burst=TENANT_ROOM * TENANT_REQUESTS * sum(UNITS) / 2 * TENANT_BURST / SECOND,
            overage_cost=1.0,
        ),
    ),
    tick=4 * MS,
    limits=Limits(max_attempts=3, cancellation_allowed=True),
    safety=SafetyLimits(
        answer_slack=16 * MS,
        drain_grace=500 * MS,
        initial_capacity=0.19,
        warm_up_time=17 * SECOND,
        overload_multiple=2.0,
        overload_window=1_500 * MS,
        poll_interval=10 * SECOND,
    ),
    counter=CounterSettings(timeout=80 * MS),
    max_units=float(UNITS[1]),
)

Holders = Callable[[str], Sequence[int]]  # the gateways, by index, that may send to a server of this name


@dataclass(frozen=True, slots=True)
class Size:
    """How many gateways stand before how many servers, and the requests a second at each gateway."""

    gateways: int
    servers: int
    rate: float

    def __str__(self) -> str:
        return f"{self.gateways}/{self.servers}"


def size_of(text: str, server_rate: float = SERVER_RATE) -> Size:
    """A size from "GATEWAYS/SERVERS", with so many requests a second to each server; else ValueError."""
    gateways, servers = (int(part) for part in text.split("/"))
    if gateways < 1 or servers < 1:
        raise ValueError(f"a fleet has one of each at the least: {text}")
    return Size(gateways, servers, server_rate * servers / gateways)


def server_name(number: int) -> str:
    """The address of the server of this number, below 2^24; as ids, addresses carry no meaning."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379"


class CountingGateway(Gateway):
    """Counts the servers that its choices look at."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(settings, seed, now)
        self.looked = 0
        expected_wait = self.load_balancer.expected_wait

        def counted(endpoint: ActiveEndpoint, now: int) -> float:
            self.looked += 1
            return expected_wait(endpoint, now)

        self.load_balancer.expected_wait = counted  # type: ignore[method-assign]


@dataclass(slots=True)
class Tallies:
    """What happened, by whole seconds since the start of the run."""

    bins: dict[int, Tally[str]] = field(default_factory=dict)

    def add(self, now: int, what: str, number: int) -> None:
        """So many more of something."""
        self.bins.setdefault((now - START) // SECOND, Tally())[what] += number

    def total(self, since: int, until: int) -> Tally[str]:
        """The sum over the seconds from `since`, up to `until` and not with it."""
        return sum((self.bins[at] for at in self.bins if since <= at < until), Tally())


@dataclass(slots=True)
class Attempt:
    """An attempt that is out, from the gateway to its server and back."""

    server: str
    sent: int
    answered: Callable[[], None]
    over: bool = False  # the gateway waits for it no more: dropped if it still waits at the server


class HollowServer:
    """A rate server: cores, a queue, the cold ramp, and the fall of a cold server that gets too much."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self.zone = number % fleet.zones
        self.cell = number // (fleet.zones * CELL) * fleet.zones + self.zone
        self.name = server_name(number)
        self.kind = int(fleet.random.random() < SLOW_SHARE)
        self.speed = fleet.random.uniform(*SPEEDS[self.kind])
        self.started_at = 0  # long ago
        self.silent = False  # cut off: nothing is answered
        self.down = False  # its process is away: connects are refused
        self.life = 0  # starts and ends so far: work begun before them is never answered
        self.busy = 0
        self.queue: deque[Attempt | None] = deque()  # None: background work
        self.window: deque[int] = deque()  # when attempts came, over the last fall span, while it is cold
        self.cold_attempts: list[tuple[int, int, float]] = []  # age, attempts in the window, those allowed
        self.falls = 0

    def member(self, state: EndpointState = EndpointState.READY) -> Endpoint:
        """Its line in the list."""
        return Endpoint(self.name, state, self.kind, self.zone, self.cell, self.started_at)

    def warmth(self) -> float:
        """The part of its capacity that it has now."""
        safety = self._fleet.settings.safety
        age = self._fleet.now - self.started_at
        if not self.started_at or age >= safety.warm_up_time:
            return 1.0
        return safety.initial_capacity + (1.0 - safety.initial_capacity) * age / safety.warm_up_time

    def capacity(self) -> float:
        """Requests a second that it can do now."""
        return CORES * self.speed * self.warmth() * 2 * SECOND / (WORK_LEAST + WORK_MOST)

    def start(self) -> None:
        """Its process starts anew, cold and empty."""
        self.end()
        self.started_at, self.down, self.silent = self._fleet.now, False, False

    def end(self) -> None:
        """Its process ends: what it held is lost."""
        self.life, self.busy, self.down = self.life + 1, 0, True
        self.queue.clear()
        self.window.clear()

    def arrive(self, attempt: Attempt | None) -> Result | None:
        """An attempt comes (None: background work). The result where it is known at once, else None."""
        if self.silent:
            return None
        if self.down:
            return Result.CONNECT_FAILED
        if self.warmth() < 1.0 and self._falls():
            self.falls += 1
            self._fleet.tally("falls")
            self.end()
            return Result.CONNECT_FAILED
        if self.busy < CORES:
            self._begin(attempt)
        elif len(self.queue) < QUEUE:
            self.queue.append(attempt)
        else:
            return Result.OVERLOADED
        return None

    def _falls(self) -> bool:
        safety, now = self._fleet.settings.safety, self._fleet.now
        self.window.append(now)
        while self.window[0] <= now - safety.overload_window:
            self.window.popleft()
        allowed = self.allowed()
        self.cold_attempts.append((now - self.started_at, len(self.window), allowed))
        return len(self.window) > allowed

    def allowed(self) -> float:
        """Attempts within the fall span that it bears now: twice what it can do, say, and room for chance."""
        safety = self._fleet.settings.safety
        mean = safety.overload_multiple * self.capacity() * safety.overload_window / SECOND
        return mean + 2.0 * math.sqrt(mean) + 2.0

    def _begin(self, attempt: Attempt | None) -> None:
        self.busy += 1
        work = self._fleet.random.uniform(WORK_LEAST, WORK_MOST)
        self._fleet.after(int(work / (self.speed * self.warmth())), self._finish, self.life, attempt)

    def _finish(self, life: int, attempt: Attempt | None) -> None:
        if life != self.life:
            return
        self.busy -= 1
        if attempt is not None and not self.silent:
            self._fleet.after(NETWORK_DELAY, attempt.answered)
        while self.queue and self.busy < CORES:
            waiting = self.queue.popleft()
            if waiting is None or not waiting.over:
                self._begin(waiting)

    def background(self, rate: float) -> None:
        """Work of the gateways that are not emulated, so many requests a second, from now on."""
        gap = self._fleet.random.expovariate(rate * self._fleet.others_load) * SECOND
        self._fleet.after(int(gap), self._background, rate)

    def _background(self, rate: float) -> None:
        if self.warmth() == 1.0:  # how little others send to a cold server is not guessed
            self.arrive(None)
        self.background(rate)


class HollowGateway:
    """One gateway: the module, and what carries its actions out."""

    def __init__(self, fleet: Fleet, index: int, module: type[Gateway]) -> None:
        self._fleet, self.index, self._module = fleet, index, module
        self.settings = replace(fleet.settings, fleet_size=fleet.size.gateways, gateway_index=index)
        self.cpu = 0  # nanoseconds of processor time in the module, over all its lives
        self.life = 0
        self.told: dict[str, Endpoint] = {}  # changes of the list since the start of the run
        self.died_at = 0  # of its last end, while it is down
        self.tries: dict[tuple[int, int], Attempt] = {}
        self.attempts: dict[int, int] = {}  # of each request that is open
        self.connected: set[str] = set()
        self.start()

    def start(self) -> None:
        """A new process; the list as the agent beside it has it comes at once."""
        self.died_at = 0
        self.module = self._module(self.settings, self._fleet.random.getrandbits(32), self._fleet.now)
        known = self._fleet.listed | self.told if self.told else self._fleet.listed
        lines = tuple(line for line in known.values() if line.state is not EndpointState.REMOVED)
        self.feed(EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, lines))

    def end(self) -> None:
        """Its process ends; what is open is lost."""
        self._fleet.tally("lost", len(self.attempts))
        self.died_at, self.life = self._fleet.now, self.life + 1
        self.tries, self.attempts, self.connected = {}, {}, set()

    def tell(self, lines: Sequence[Endpoint]) -> None:
        """Changes of the list."""
        self.told.update((line.name, line) for line in lines)
        if not self.died_at:
            self.feed(EndpointUpdate(UpdateKind.DELTA, 1, tuple(lines)))

    def request(self, request: Request) -> None:
        """A client's request comes."""
        if self.died_at:
            self._fleet.tally("lost")
            return
        self.attempts[request.id] = 0
        self.feed(request)

    def feed(self, event: Event) -> None:
        """An event for the module, and what it does then."""
        began = time.thread_time_ns()
        actions = self.module.handle(self._fleet.now, event)
        self.cpu += time.thread_time_ns() - began
        for action in actions:
            self._carry_out(action)

    def _later(self, delay: int, event: Event) -> None:
        self._fleet.after(delay, self._feed_if_same, self.life, event)

    def _feed_if_same(self, life: int, event: Event) -> None:
        if life == self.life:
            self.feed(event)

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case CancelAttempt():
                key = (action.request_id, action.attempt)
                self._fleet.after(0, self._end_try, self.life, key, Result.CANCELLED)
            case Reject():
                self._answer(action.request_id, "refused")
            case Fail():
                self._answer(action.request_id, "failed")
            case CounterAdd():
                self._count(action)
            case SetTimer():
                self._later(max(action.delay, self.settings.tick), TimerFired(action.token))

    def _answer(self, request: int, how: str) -> None:
        del self.attempts[request]
        self._fleet.tally(how)

    def _count(self, call: CounterAdd) -> None:
        fleet, counter = self._fleet, self.settings.counter
        if fleet.counter_down and counter is not None:
            limit = counter.timeout
            self._later(limit, CounterReply(call.name, Result.TIMEOUT, limit, 0.0))
        else:
            total = fleet.add(call)
            self._later(COUNTER_DELAY, CounterReply(call.name, Result.OK, COUNTER_DELAY, total))

    def _send(self, send: StartAttempt) -> None:
        fleet, life, key = self._fleet, self.life, (send.request_id, self.attempts[send.request_id])
        self.attempts[send.request_id] += 1
        server = fleet.servers[send.endpoint]
        attempt = Attempt(send.endpoint, fleet.now, lambda: self._end_try(life, key, Result.OK))
        self.tries[key] = attempt
        fleet.tally("attempts")
        if server.silent or server.down:
            fleet.tally("attempts_gone")
        if send.endpoint not in self.connected:
            self.connected.add(send.endpoint)
            fleet.tally("connects")
        if send.timeout:
            fleet.after(send.timeout, self._end_try, life, key, Result.TIMEOUT)
        fleet.after(NETWORK_DELAY, self._arrive, life, key, attempt)

    def _arrive(self, life: int, key: tuple[int, int], attempt: Attempt) -> None:
        result = self._fleet.servers[attempt.server].arrive(attempt)
        if result is not None:
            self._fleet.after(NETWORK_DELAY, self._end_try, life, key, result)

    def _end_try(self, life: int, key: tuple[int, int], result: Result) -> None:
        """An attempt ends, once; what comes of it later is nobody's."""
        out = self.tries.pop(key, None) if life == self.life else None
        if out is None:
            return
        out.over = True
        request, number = key
        if result is Result.CONNECT_FAILED:
            self.connected.discard(out.server)
        if result is Result.OK and request in self.attempts:
            self._answer(request, "served")
        final = request not in self.attempts
        self.feed(AttemptOutcome(request, number, out.server, result, self._fleet.now - out.sent, final))


class Fleet:
    """A fleet on the virtual clock: clients, gateways, the counter, servers and news of them."""

    def __init__(
        self,
        size: Size,
        seed: int,
        *,
        sample: Sequence[int] | None = None,
        zones: int = ZONES,
        module: type[Gateway] = Gateway,
        settings: Settings = SETTINGS,
    ) -> None:
        """`sample`: the gateways that are emulated, all if None."""
        self.size, self.settings, self.zones = size, settings, zones
        self.random = Random(seed)
        self.now = START
        self.tallies = Tallies()
        self.totals: dict[int, tuple[float, int]] = {}  # by name: its total, and its life's end
        self.counter_down = False
        self.others_load = 1.0  # of gateways that are not emulated: requests to a server, over the usual
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._requests = itertools.count(1)
        self._tenants = max(1, int(size.rate / TENANT_REQUESTS))  # for each gateway
        servers = [HollowServer(self, number) for number in range(size.servers)]
        self.servers = {server.name: server for server in servers}
        self.listed = {server.name: server.member() for server in servers}
        indices = range(size.gateways) if sample is None else sample
        self.gateways = {index: HollowGateway(self, index, module) for index in indices}
        for gateway in self.gateways.values():
            self._await_request(gateway)

    def add(self, call: CounterAdd) -> float:
        """The counter's total after a call; a name lives as long as its first call asked for."""
        total, until = self.totals.get(call.name, (0.0, self.now))
        if until <= self.now:
            total, until = 0.0, self.now + call.lifetime
        self.totals[call.name] = (total + call.amount, until)
        return total + call.amount

    def start_background(self, holders: Holders, reach: Holders | None = None) -> None:
        """Draw the work of the gateways that are not emulated, at the servers of those that are.

        A server gets it in proportion to its speed, as from gateways that find out what each can take.
        `reach`: who may send to a server later on, if that can be more gateways than `holders` tells.
        """
        whole = self.size.rate * self.size.gateways / sum(server.speed for server in self.servers.values())
        for server in self.servers.values():
            those = holders(server.name)
            here = sum(index in self.gateways for index in those)
            rate = whole * server.speed * (1 - here / len(those))
            if rate > 0 and any(index in self.gateways for index in (reach or holders)(server.name)):
                server.background(rate)

    # --- time -------------------------------------------------------------------------------------------

    def after(self, delay: int, call: Callable[..., None], *words: Any) -> None:
        """Call something after so long; what is due at one moment goes in the order in which it was asked."""
        heapq.heappush(self._events, (self.now + delay, next(self._order), call, words))

    def run(self, span: int) -> None:
        """Let so much time pass."""
        end = self.now + span
        while self._events and self._events[0][0] <= end:
            self.now, _, call, words = heapq.heappop(self._events)
            call(*words)
        self.now = end

    def second(self) -> int:
        """Whole seconds since the start of the run."""
        return (self.now - START) // SECOND

    def asked(self) -> int:
        """Requests so far."""
        return self.tallies.total(0, self.second() + 1)["asked"]

    def tally(self, what: str, number: int = 1) -> None:
        """So many more of something, in this second."""
        self.tallies.add(self.now, what, number)

    # --- clients ----------------------------------------------------------------------------------------

    def _await_request(self, gateway: HollowGateway) -> None:
        self.after(int(self.random.expovariate(self.size.rate) * SECOND), self._ask, gateway)

    def _ask(self, gateway: HollowGateway) -> None:
        self._await_request(gateway)
        self.tally("asked")
        to = gateway
        if gateway.died_at and self.now - gateway.died_at > FRONT_NOTICES:
            to = self.random.choice([g for g in self.gateways.values() if not g.died_at] or [gateway])
        to.request(self._request(gateway.index))

    def _request(self, index: int) -> Request:
        """Of one of the tenants whose set of gateways holds this one."""
        spread = min(ENTRY_POINTS, self.size.gateways)
        first = (index - self.random.randrange(spread)) % self.size.gateways
        tenant = first + self.size.gateways * self.random.randrange(self._tenants)
        cls = int(self.random.random() < KEYED_SHARE)
        units = float(self.random.randint(*UNITS))
        deadline = self.settings.request_classes[cls].deadline
        return Request(next(self._requests), cls, 0, tenant, units, deadline, spread, first)

    # --- the list of servers ----------------------------------------------------------------------------

    def tell(self, lines: Sequence[Endpoint], least: int = LIST_LEAST, most: int = LIST_MOST) -> None:
        """A change of the list comes to each gateway after a delay of its own, within these bounds."""
        for gateway in self.gateways.values():
            self.after(self.random.randint(least, most), gateway.tell, lines)

    def join(self) -> HollowServer:
        """One more server, just started; nobody is told yet."""
        server = HollowServer(self, len(self.servers))
        self.servers[server.name] = server
        server.start()
        return server
