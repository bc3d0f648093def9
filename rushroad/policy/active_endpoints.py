"""The endpoints that this gateway forwards to: its subset of the list, and some borrowed from outside it."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from random import Random

from rushroad.policy.concurrency_limit import ConcurrencyLimiter, EndpointConcurrency
from rushroad.policy.durations import SECOND
from rushroad.policy.endpoints import EndpointTable
from rushroad.policy.events import Endpoint, EndpointState
from rushroad.policy.latency import RelativeLatency
from rushroad.policy.load_estimate import LoadEstimate
from rushroad.policy.outlier_detection import OutlierDetector, OutlierState
from rushroad.policy.settings import Settings
from rushroad.policy.slow_start import SlowStart, SlowStartBudget
from rushroad.policy.throughput import ClassThroughput

COUNT_INTERVAL = SECOND  # microseconds between counts of the warm endpoints
REVIEW_PART = 1_000  # entries of the list reviewed at once: some milliseconds
MIN_GOOD = 0.5  # of the subset's expected size; with fewer good endpoints some are borrowed
MAX_ACTIVE = 2.0  # times the subset's expected size


class EndpointClass:
    """What endpoints of one class share: a gateway of a large fleet meets each of them too seldom."""

    __slots__ = ("latency", "throughput")

    def __init__(self, now: int) -> None:
        self.latency = RelativeLatency()
        self.throughput = ClassThroughput(now)


class ActiveEndpoint:
    """One endpoint, with what each part of the policy keeps of it."""

    __slots__ = (
        "concurrency",
        "endpoint_class",
        "entry",
        "is_fallback",
        "latency",
        "load",
        "outlier",
        "slow_start",
    )

    def __init__(
        self,
        entry: Endpoint,
        endpoint_class: EndpointClass,
        concurrency: EndpointConcurrency,
        slow_start: SlowStartBudget,
        now: int,
    ) -> None:
        self.entry = entry
        self.endpoint_class = endpoint_class
        self.is_fallback = False  # from outside the subset
        self.concurrency = concurrency
        self.latency = RelativeLatency()
        self.load = LoadEstimate(now)
        self.outlier = OutlierState(now)
        self.slow_start = slow_start

    def restarted(self, random: Random, now: int) -> None:
        """Forget what the process before has shown."""
        self.outlier.reset()
        self.latency.reset()
        self.concurrency.forget_abandoned()
        self.slow_start.reset(random, now)


class ActiveEndpoints:
    """The table of these endpoints."""

    def __init__(
        self,
        settings: Settings,
        table: EndpointTable,
        limiter: ConcurrencyLimiter,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        random: Random,
    ) -> None:
        self._fleet_size = settings.fleet_size
        self._table = table
        self._limiter = limiter
        self._outliers = outliers
        self._slow_start = slow_start
        self._random = random
        self._endpoints: dict[str, ActiveEndpoint] = {}
        self._classes: dict[int, EndpointClass] = {}
        self.ready: list[ActiveEndpoint] = []
        self._warm = 0  # ready endpoints that were warm at the last count
        self._counted_at: int | None = None  # when they were; None where the count is out of date
        self._review: Iterator[Endpoint] | None = None  # of all entries, while the subset changes

    def __len__(self) -> int:
        return len(self._endpoints)

    def __contains__(self, name: str) -> bool:
        return name in self._endpoints

    def get(self, name: str) -> ActiveEndpoint | None:
        """Return the endpoint of this name."""
        return self._endpoints.get(name)

    # --- changes of the list ------------------------------------------------------------------------------

    def update(self, entry: Endpoint, now: int) -> None:
        """Take in an entry of the list as it is now; `refresh` is due after the last one."""
        endpoint = self._endpoints.get(entry.name)
        is_removed = entry.state is EndpointState.REMOVED
        in_subset = not is_removed and self._table.in_subset(entry)
        if endpoint is not None and in_subset:
            endpoint.is_fallback = False
        if is_removed or not (in_subset or (endpoint is not None and endpoint.is_fallback)):
            self._endpoints.pop(entry.name, None)
        elif endpoint is None:
            self._add(entry, now)
        else:
            if entry.started_at != endpoint.entry.started_at:
                endpoint.restarted(self._random, now)
            endpoint.entry = entry

    def _add(self, entry: Endpoint, now: int) -> ActiveEndpoint:
        concurrency = EndpointConcurrency(self._limiter.new_limit(now))
        endpoint_class = self._classes.setdefault(entry.endpoint_class, EndpointClass(now))
        budget = SlowStartBudget(self._random, now)
        endpoint = ActiveEndpoint(entry, endpoint_class, concurrency, budget, now)
        self._endpoints[entry.name] = endpoint
        return endpoint

    def refresh(self) -> None:
        """Bring the list of ready endpoints up to date."""
        self.ready = [e for e in self._endpoints.values() if e.entry.state is EndpointState.READY]
        self._counted_at = None

    def start_review(self) -> bool:
        """Review all entries anew, since endpoints have more or fewer replicas; False if one was running."""
        was_running = self._review is not None
        self._review = self._table.iterate_backwards()
        return not was_running

    def review_next_part(self, now: int) -> bool:
        """Review the next part of the entries; True while more is left."""
        part = list(islice(self._review or (), REVIEW_PART))
        for entry in part:
            self.update(entry, now)
        is_unfinished = len(part) == REVIEW_PART
        if not is_unfinished:
            self._review = None
        return is_unfinished

    # --- borrowed endpoints -------------------------------------------------------------------------------

    def add_fallback_if_needed(self, suspects: int, now: int) -> bool:
        """Borrow an endpoint while too few of the subset are warm and not suspect; True if one was added.

        Each gateway finds other ones, by chance. None that is warming up is taken: its own gateways together
        send all that it bears.
        """
        self._count_warm(now)
        if self._table.mean_replicas >= self._fleet_size:
            return False
        expected_size = self._table.expected_subset_size()
        if self._warm - suspects >= MIN_GOOD * expected_size or len(self.ready) >= MAX_ACTIVE * expected_size:
            return False
        entry = self._table.draw(lambda each: self._is_fallback_candidate(each, now), self._random)
        if entry is None:
            return False
        self.add_fallback(entry, now)
        return True

    def find_in_cell(self, cell: int, now: int) -> Endpoint | None:
        """Return an entry of a cell that can be borrowed, if cells matter and there is one."""
        return self._table.draw_in_cell(
            cell, lambda each: self._is_fallback_candidate(each, now), self._random
        )

    def add_fallback(self, entry: Endpoint, now: int) -> ActiveEndpoint:
        """Add an endpoint from outside the subset; `refresh` is due after it."""
        endpoint = self._add(entry, now)
        endpoint.is_fallback = True
        return endpoint

    def _is_fallback_candidate(self, entry: Endpoint, now: int) -> bool:
        return (
            entry.state is EndpointState.READY
            and entry.name not in self._endpoints
            and not self._slow_start.is_warming_up(entry, now)
        )

    # --- warm endpoints -----------------------------------------------------------------------------------

    def warm_response_rate(self, endpoint: ActiveEndpoint, now: int) -> float:
        """Return the responses a second that a warm endpoint of this class gives to this gateway.

        Of any class where nothing is known of this one.
        """
        self._count_warm(now)
        own = endpoint.endpoint_class.throughput
        throughputs = [own] if own.is_known else [each.throughput for each in self._classes.values()]
        rate = sum(throughput.rate(now) for throughput in throughputs)
        warm = sum(throughput.mean_warm(now) for throughput in throughputs)
        return rate / warm if warm > 0 else 0.0

    def _count_warm(self, now: int) -> None:
        """Count the warm endpoints from time to time, and give borrowed ones back that are not needed.

        Not at each choice: that would be quadratic in the endpoints that are warming up.
        """
        if self._counted_at is not None and now - self._counted_at <= COUNT_INTERVAL:
            return
        self._remove_unneeded_fallbacks(now)
        self._warm = sum(not self._slow_start.is_warming_up(e.entry, now) for e in self.ready)
        self._counted_at = now
        for number, endpoint_class in self._classes.items():
            entries = (e.entry for e in self.ready if e.entry.endpoint_class == number)
            warm = sum(not self._slow_start.is_warming_up(entry, now) for entry in entries)
            endpoint_class.throughput.set_warm(warm, now)

    def _remove_unneeded_fallbacks(self, now: int) -> None:
        own = [endpoint for endpoint in self.ready if not endpoint.is_fallback]
        if len(own) == len(self.ready):
            return
        suspects = {endpoint.entry.name for endpoint in self._outliers.suspects(own, now)}
        good = sum(
            not self._slow_start.is_warming_up(e.entry, now) and e.entry.name not in suspects for e in own
        )
        if good <= MIN_GOOD * self._table.expected_subset_size():
            return
        for endpoint in self.ready:
            if endpoint.is_fallback and not endpoint.concurrency.in_flight:
                del self._endpoints[endpoint.entry.name]
        self.ready = [e for e in self.ready if not e.is_fallback or e.concurrency.in_flight]
