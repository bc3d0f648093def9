"""A simulated rate server with cores and a queue, which crashes if it is overloaded during its warm-up."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rushroad.bench.simulated.simulation import MILLISECOND, SECOND, Metric, Simulation
from rushroad.policy.events import Endpoint, EndpointState, Result

NETWORK_DELAY = 1 * MILLISECOND  # one way
MIN_SERVICE_TIME, MAX_SERVICE_TIME = 180 * MILLISECOND, 320 * MILLISECOND  # at speed 1
CORES = 4  # of a rate server
CORE_SPEED_RANGES = ((0.85, 1.1), (0.51, 0.69))  # minimum and maximum speed, by endpoint class
SLOW_CLASS_FRACTION = 0.38  # of the rate servers, in the second class
MAX_QUEUE_LENGTH = 40  # requests; about 3 s of work
CELL_SIZE = 8  # rate servers of a zone that share a deduplication scope


def endpoint_name(number: int) -> str:
    """Return the address of the rate server with this number, which must be below 2^24."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379"


@dataclass(slots=True)
class Attempt:
    """An attempt in flight between a gateway and a rate server."""

    endpoint: str
    sent_at: int
    on_served: Callable[[], None]
    finished: bool = False  # at the gateway; if still queued, the rate server drops it


@dataclass(frozen=True, slots=True)
class WarmUpArrival:
    """An attempt that arrived while the rate server was warming up."""

    uptime: int
    attempts_in_window: int  # in the overload window, including this one
    allowed_attempts: float  # in the window; the server crashes beyond it


class SimulatedRateServer:
    """A rate server on the virtual clock."""

    def __init__(self, simulation: Simulation, number: int, zones: int) -> None:
        self._simulation = simulation
        self.zone = number % zones
        self.cell = number // (zones * CELL_SIZE) * zones + self.zone
        self.name = endpoint_name(number)
        self.endpoint_class_index = int(simulation.random.random() < SLOW_CLASS_FRACTION)
        self.speed = simulation.random.uniform(*CORE_SPEED_RANGES[self.endpoint_class_index])
        self.started_at = 0  # 0: long before the run
        self.silent = False  # unreachable: attempts get no response
        self.down = False  # process stopped: connections fail
        self.incarnation = 0  # requests of earlier incarnations get no response
        self.busy_cores = 0
        self.queue: deque[Attempt | None] = deque()  # None: background load
        self.recent_arrivals: deque[int] = deque()  # arrival times during warm-up, in the overload window
        self.warm_up_arrivals: list[WarmUpArrival] = []
        self.crashes = 0

    def endpoint(self, state: EndpointState = EndpointState.READY) -> Endpoint:
        """Return its entry in the endpoint list."""
        return Endpoint(self.name, state, self.endpoint_class_index, self.zone, self.cell, self.started_at)

    def capacity_fraction(self) -> float:
        """Return the fraction of its full capacity that it has now; below 1 during warm-up."""
        safety = self._simulation.settings.safety
        uptime = self._simulation.now - self.started_at
        if not self.started_at or uptime >= safety.warm_up_time:
            return 1.0
        return safety.initial_capacity + (1.0 - safety.initial_capacity) * uptime / safety.warm_up_time

    def capacity(self) -> float:
        """Return its current capacity in requests/s."""
        return (
            CORES * self.speed * self.capacity_fraction() * 2 * SECOND / (MIN_SERVICE_TIME + MAX_SERVICE_TIME)
        )

    def start(self) -> None:
        """Start a new process, which is idle and starts its warm-up."""
        self.stop()
        self.started_at, self.down, self.silent = self._simulation.now, False, False

    def stop(self) -> None:
        """Stop the process; its work is lost."""
        self.incarnation, self.busy_cores, self.down = self.incarnation + 1, 0, True
        self.queue.clear()
        self.recent_arrivals.clear()

    def receive_attempt(self, attempt: Attempt | None) -> Result | None:
        """Accept an attempt (None: background load); returns its result if that is known at once."""
        if self.silent:
            return None
        if self.down:
            return Result.CONNECT_FAILED
        if self.capacity_fraction() < 1.0 and self._overloaded_while_warming_up():
            self.crashes += 1
            self._simulation.count(Metric.CRASHES)
            self.stop()
            return Result.CONNECT_FAILED
        if self.busy_cores < CORES:
            self._execute(attempt)
        elif len(self.queue) < MAX_QUEUE_LENGTH:
            self.queue.append(attempt)
        else:
            return Result.OVERLOADED
        return None

    def _overloaded_while_warming_up(self) -> bool:
        """Record an arrival, and return whether it exceeds the attempts allowed in the overload window."""
        now, arrivals = self._simulation.now, self.recent_arrivals
        arrivals.append(now)
        while arrivals[0] <= now - self._simulation.settings.safety.overload_window:
            arrivals.popleft()
        allowed = self.allowed_attempts_in_window()
        self.warm_up_arrivals.append(WarmUpArrival(now - self.started_at, len(arrivals), allowed))
        return len(arrivals) > allowed

    def allowed_attempts_in_window(self) -> float:
        """Return the number of attempts in the overload window beyond which it crashes."""
        safety = self._simulation.settings.safety
        mean = safety.overload_multiple * self.capacity() * safety.overload_window / SECOND
        return mean + 2.0 * math.sqrt(mean) + 2.0

    def _execute(self, attempt: Attempt | None) -> None:
        self.busy_cores += 1
        work = self._simulation.random.uniform(MIN_SERVICE_TIME, MAX_SERVICE_TIME)
        duration = int(work / (self.speed * self.capacity_fraction()))
        self._simulation.schedule(duration, self._finish, self.incarnation, attempt)

    def _finish(self, incarnation: int, attempt: Attempt | None) -> None:
        if incarnation != self.incarnation:
            return
        self.busy_cores -= 1
        if attempt is not None and not self.silent:
            self._simulation.schedule(NETWORK_DELAY, attempt.on_served)
        while self.queue and self.busy_cores < CORES:
            waiting = self.queue.popleft()
            if waiting is None or not waiting.finished:
                self._execute(waiting)
