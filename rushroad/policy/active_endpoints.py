"""The endpoints that this gateway may forward to: its subset of the endpoint list, and fallback endpoints.

A fallback endpoint is one from outside the subset. It is added while too few endpoints of the subset are
healthy, or for a retry that must stay in its cell. Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from random import Random

from rushroad.policy.concurrency_limit import ConcurrencyLimiter, EndpointConcurrency
from rushroad.policy.endpoint_table import EndpointTable
from rushroad.policy.events import Endpoint, EndpointState
from rushroad.policy.latency import RelativeLatency
from rushroad.policy.load_estimate import LoadEstimate
from rushroad.policy.outlier_detection import OutlierDetector, OutlierState
from rushroad.policy.settings import Settings
from rushroad.policy.slow_start import SlowStart, SlowStartBudget
from rushroad.policy.throughput import EndpointClassThroughput
from rushroad.policy.time_units import SECOND

WARM_COUNT_INTERVAL = SECOND  # between counts of the warm endpoints
REVIEW_BATCH_SIZE = 1_000  # entries of the endpoint list reviewed in one step, which takes some milliseconds
# Both are relative to the expected subset size. Fallback endpoints are added while there are fewer healthy
# endpoints (warm and not suspect) than MIN_HEALTHY_FRACTION and fewer ready ones than MAX_READY_MULTIPLE.
MIN_HEALTHY_FRACTION = 0.5
MAX_READY_MULTIPLE = 2.0


class EndpointClassStats:
    """Statistics over all endpoints of an endpoint class: in a large fleet, one gives too few samples."""

    __slots__ = ("latency", "throughput")

    def __init__(self, now: int) -> None:
        self.latency = RelativeLatency()
        self.throughput = EndpointClassThroughput(now)


class ActiveEndpoint:
    """An entry of the endpoint list, with the state that each component of the policy keeps for it."""

    __slots__ = (
        "class_stats",
        "concurrency",
        "entry",
        "is_fallback",
        "latency",
        "load",
        "outlier",
        "slow_start_budget",
    )

    def __init__(
        self,
        entry: Endpoint,
        class_stats: EndpointClassStats,
        concurrency: EndpointConcurrency,
        slow_start_budget: SlowStartBudget,
        now: int,
    ) -> None:
        self.entry = entry
        self.class_stats = class_stats
        self.is_fallback = False  # from outside the subset
        self.concurrency = concurrency
        self.latency = RelativeLatency()
        self.load = LoadEstimate(now)
        self.outlier = OutlierState(now)
        self.slow_start_budget = slow_start_budget

    def reset_after_restart(self, random: Random, now: int) -> None:
        """Discard what was learned from the previous process."""
        self.outlier.reset()
        self.latency.reset()
        self.concurrency.forget_abandoned()
        self.slow_start_budget.reset(random, now)


class ActiveEndpoints:
    """The active endpoints by name, and the list of those that are ready."""

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
        self._class_stats: dict[int, EndpointClassStats] = {}
        self.ready: list[ActiveEndpoint] = []
        self._warm_count = 0  # ready endpoints that were warm at the last count
        self._warm_counted_at: int | None = None  # None if the count is out of date
        self._review: Iterator[Endpoint] | None = None  # over the entries left to review; None after the last

    def __len__(self) -> int:
        return len(self._endpoints)

    def __contains__(self, name: str) -> bool:
        return name in self._endpoints

    def get(self, name: str) -> ActiveEndpoint | None:
        """Return the endpoint with this name; None if it is not active."""
        return self._endpoints.get(name)

    # --- changes of the endpoint list ---------------------------------------------------------------------

    def apply_entry(self, entry: Endpoint, now: int) -> None:
        """Apply an entry of the endpoint list; call `rebuild_ready` after the last one."""
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
                endpoint.reset_after_restart(self._random, now)
            endpoint.entry = entry

    def _add(self, entry: Endpoint, now: int) -> ActiveEndpoint:
        concurrency = EndpointConcurrency(self._limiter.new_limit(now))
        class_stats = self._class_stats.setdefault(entry.endpoint_class_index, EndpointClassStats(now))
        slow_start_budget = SlowStartBudget(self._random, now)
        endpoint = ActiveEndpoint(entry, class_stats, concurrency, slow_start_budget, now)
        self._endpoints[entry.name] = endpoint
        return endpoint

    def rebuild_ready(self) -> None:
        """Rebuild the list of ready endpoints."""
        self.ready = [e for e in self._endpoints.values() if e.entry.state is EndpointState.READY]
        self._warm_counted_at = None

    def start_review(self) -> bool:
        """After a change of the subset size, start to review which entries are in the subset.

        Return False if a review was in progress, which starts over with its next batch.
        """
        was_running = self._review is not None
        self._review = self._table.iterate_backwards()
        return not was_running

    def review_next_batch(self, now: int) -> bool:
        """Review the next batch of entries; return whether entries may be left."""
        batch = list(islice(self._review or (), REVIEW_BATCH_SIZE))
        for entry in batch:
            self.apply_entry(entry, now)
        is_unfinished = len(batch) == REVIEW_BATCH_SIZE
        if not is_unfinished:
            self._review = None
        return is_unfinished

    # --- fallback endpoints -------------------------------------------------------------------------------

    def add_fallback_if_needed(self, suspect_count: int, now: int) -> bool:
        """Add a fallback endpoint if too few endpoints are healthy; return whether one was added.

        It is picked at random, so that gateways pick different ones. Endpoints that are warming up are
        excluded: the gateways that have them in their subsets already use all of their capacity.
        """
        self._update_warm_counts(now)
        if self._table.mean_replicas >= self._fleet_size:
            return False
        expected_size = self._table.expected_subset_size()
        if (
            self._warm_count - suspect_count >= MIN_HEALTHY_FRACTION * expected_size
            or len(self.ready) >= MAX_READY_MULTIPLE * expected_size
        ):
            return False
        entry = self._table.pick_random(lambda each: self._is_fallback_candidate(each, now), self._random)
        if entry is None:
            return False
        self.add_fallback(entry, now)
        return True

    def find_in_cell(self, cell: int, now: int) -> Endpoint | None:
        """Return a fallback candidate of a cell; None if there is none, or cells are not indexed."""
        return self._table.pick_random_in_cell(
            cell, lambda each: self._is_fallback_candidate(each, now), self._random
        )

    def add_fallback(self, entry: Endpoint, now: int) -> ActiveEndpoint:
        """Add an endpoint from outside the subset; call `rebuild_ready` after it."""
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
        """Return the responses per second that this gateway gets from a warm endpoint of the same class.

        Until the class has had a response, the mean over all classes is returned.
        """
        self._update_warm_counts(now)
        own_throughput = endpoint.class_stats.throughput
        throughputs = (
            [own_throughput]
            if own_throughput.is_known
            else [each.throughput for each in self._class_stats.values()]
        )
        rate = sum(throughput.rate(now) for throughput in throughputs)
        warm_count = sum(throughput.mean_warm_count(now) for throughput in throughputs)
        return rate / warm_count if warm_count > 0 else 0.0

    def _update_warm_counts(self, now: int) -> None:
        """Recount the warm endpoints if the count is out of date, and remove unneeded fallback endpoints.

        A recount at each choice would be quadratic in the number of endpoints that are warming up.
        """
        if self._warm_counted_at is not None and now - self._warm_counted_at <= WARM_COUNT_INTERVAL:
            return
        self._remove_unneeded_fallbacks(now)
        self._warm_count = sum(not self._slow_start.is_warming_up(e.entry, now) for e in self.ready)
        self._warm_counted_at = now
        for endpoint_class_index, class_stats in self._class_stats.items():
            entries = (e.entry for e in self.ready if e.entry.endpoint_class_index == endpoint_class_index)
            warm_count = sum(not self._slow_start.is_warming_up(entry, now) for entry in entries)
            class_stats.throughput.set_warm_count(warm_count, now)

    def _remove_unneeded_fallbacks(self, now: int) -> None:
        """Remove idle fallback endpoints if enough endpoints of the subset are healthy."""
        subset = [endpoint for endpoint in self.ready if not endpoint.is_fallback]
        if len(subset) == len(self.ready):
            return
        suspects = {endpoint.entry.name for endpoint in self._outliers.suspects(subset, now)}
        healthy_count = sum(
            not self._slow_start.is_warming_up(e.entry, now) and e.entry.name not in suspects for e in subset
        )
        if healthy_count <= MIN_HEALTHY_FRACTION * self._table.expected_subset_size():
            return
        for endpoint in self.ready:
            if endpoint.is_fallback and not endpoint.concurrency.in_flight:
                del self._endpoints[endpoint.entry.name]
        self.ready = [e for e in self.ready if not e.is_fallback or e.concurrency.in_flight]
