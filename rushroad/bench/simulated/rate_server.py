"""A simulated rate server: cores, a queue, the warm-up, and the crash of one that gets too much meanwhile."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rushroad.bench.simulated.simulation import MILLISECOND, SECOND, Simulation, Tally
from rushroad.policy.events import Endpoint, EndpointState, Result

NETWORK_DELAY = 1 * MILLISECOND  # one way between any two machines
MIN_WORK, MAX_WORK = 180 * MILLISECOND, 320 * MILLISECOND  # of a request, on a core of speed 1
CORES = 4  # of a rate server
CORE_SPEEDS = ((0.85, 1.1), (0.51, 0.69))  # least and most, by endpoint class
SLOW_CLASS_SHARE = 0.38  # of the rate servers, of the second class
MAX_QUEUE = 40  # requests that wait at a rate server; three seconds of its work
CELL_SIZE = 8  # rate servers of one zone that share what they know for deduplication


def endpoint_name(number: int) -> str:
    """The address of the rate server of this number, below 2^24."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:6379"


@dataclass(slots=True)
class Attempt:
    """An attempt in flight, from the gateway to its rate server and back."""

    endpoint: str
    sent_at: int
    on_served: Callable[[], None]
    ended: bool = False  # at the gateway: dropped if it still waits at the rate server


@dataclass(frozen=True, slots=True)
class WarmUpArrival:
    """An attempt that came while its rate server was warming up."""

    uptime: int
    in_window: int  # attempts within the overload window, this one included
    allowed: float  # attempts within the window beyond which the server crashes


class SimulatedRateServer:
    """A rate server on the virtual clock."""

    def __init__(self, simulation: Simulation, number: int, zones: int) -> None:
        self._simulation = simulation
        self.zone = number % zones
        self.cell = number // (zones * CELL_SIZE) * zones + self.zone
        self.name = endpoint_name(number)
        self.endpoint_class = int(simulation.random.random() < SLOW_CLASS_SHARE)
        self.speed = simulation.random.uniform(*CORE_SPEEDS[self.endpoint_class])
        self.started_at = 0  # long before the run
        self.silent = False  # cut off: nothing is answered
        self.down = False  # no process: connects fail
        self.incarnation = 0  # work begun in an earlier one is never answered
        self.busy_cores = 0
        self.queue: deque[Attempt | None] = deque()  # None: background work
        self.recent_arrivals: deque[int] = deque()  # times within the overload window, while warming up
        self.warm_up_arrivals: list[WarmUpArrival] = []
        self.crashes = 0

    def endpoint(self, state: EndpointState = EndpointState.READY) -> Endpoint:
        """Its entry in the endpoint list."""
        return Endpoint(self.name, state, self.endpoint_class, self.zone, self.cell, self.started_at)

    def warm_share(self) -> float:
        """The share of its full capacity that it has now: below 1 while it is warming up."""
        safety = self._simulation.settings.safety
        uptime = self._simulation.now - self.started_at
        if not self.started_at or uptime >= safety.warm_up_time:
            return 1.0
        return safety.initial_capacity + (1.0 - safety.initial_capacity) * uptime / safety.warm_up_time

    def capacity(self) -> float:
        """Requests a second that it can execute now."""
        return CORES * self.speed * self.warm_share() * 2 * SECOND / (MIN_WORK + MAX_WORK)

    def start(self) -> None:
        """Start a new process, with nothing to do and not warm."""
        self.stop()
        self.started_at, self.down, self.silent = self._simulation.now, False, False

    def stop(self) -> None:
        """End the process; its work is lost."""
        self.incarnation, self.busy_cores, self.down = self.incarnation + 1, 0, True
        self.queue.clear()
        self.recent_arrivals.clear()

    def arrive(self, attempt: Attempt | None) -> Result | None:
        """Take an attempt (None: background work); returns the result where it is known at once."""
        if self.silent:
            return None
        if self.down:
            return Result.CONNECT_FAILED
        if self.warm_share() < 1.0 and self._overloaded_while_warming_up():
            self.crashes += 1
            self._simulation.count(Tally.CRASHES)
            self.stop()
            return Result.CONNECT_FAILED
        if self.busy_cores < CORES:
            self._execute(attempt)
        elif len(self.queue) < MAX_QUEUE:
            self.queue.append(attempt)
        else:
            return Result.OVERLOADED
        return None

    def _overloaded_while_warming_up(self) -> bool:
        now, arrivals = self._simulation.now, self.recent_arrivals
        arrivals.append(now)
        while arrivals[0] <= now - self._simulation.settings.safety.overload_window:
            arrivals.popleft()
        allowed = self.allowed_in_window()
        self.warm_up_arrivals.append(WarmUpArrival(now - self.started_at, len(arrivals), allowed))
        return len(arrivals) > allowed

    def allowed_in_window(self) -> float:
        """Attempts within the overload window that it survives now."""
        safety = self._simulation.settings.safety
        mean = safety.overload_multiple * self.capacity() * safety.overload_window / SECOND
        return mean + 2.0 * math.sqrt(mean) + 2.0

    def _execute(self, attempt: Attempt | None) -> None:
        self.busy_cores += 1
        work = self._simulation.random.uniform(MIN_WORK, MAX_WORK)
        duration = int(work / (self.speed * self.warm_share()))
        self._simulation.after(duration, self._finish, self.incarnation, attempt)

    def _finish(self, incarnation: int, attempt: Attempt | None) -> None:
        if incarnation != self.incarnation:
            return
        self.busy_cores -= 1
        if attempt is not None and not self.silent:
            self._simulation.after(NETWORK_DELAY, attempt.on_served)
        while self.queue and self.busy_cores < CORES:
            waiting = self.queue.popleft()
            if waiting is None or not waiting.ended:
                self._execute(waiting)
