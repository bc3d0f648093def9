"""Applies endpoint updates to the endpoint table and to this gateway's subset.

Times are whole microseconds.
"""

from __future__ import annotations

from random import Random

from rushroad.policy.actions import WatchEndpoints
from rushroad.policy.active_endpoints import ActiveEndpoints
from rushroad.policy.clock_skew import ClockSkew
from rushroad.policy.concurrency_limit import ConcurrencyLimiter
from rushroad.policy.counter_breaker import CounterBreaker
from rushroad.policy.endpoint_table import EndpointTable
from rushroad.policy.events import EndpointUpdate, UpdateKind
from rushroad.policy.load_shedding import LoadShedding
from rushroad.policy.outbox import Outbox
from rushroad.policy.quota import Quota
from rushroad.policy.settings import Settings
from rushroad.policy.subsetting import SOFT_MAX_REPLICAS
from rushroad.policy.timers import SUBSET_REVIEW, WATCH_RETRY, Timers

WATCH_RETRIES_PER_POLL_INTERVAL = 10  # at most, of a failed call to the discovery service
INITIAL_CALL_FRACTION = 0.5  # fraction of the requests of a large fleet that call the counter at first


class EndpointUpdates:
    """Applies updates, and reviews the subset when its size changes with the number of endpoints."""

    def __init__(
        self,
        settings: Settings,
        table: EndpointTable,
        endpoints: ActiveEndpoints,
        clock_skew: ClockSkew,
        limiter: ConcurrencyLimiter,
        load_shedding: LoadShedding,
        breaker: CounterBreaker,
        quota: Quota,
        timers: Timers,
        outbox: Outbox,
        random: Random,
    ) -> None:
        self._settings = settings
        self._table = table
        self._endpoints = endpoints
        self._clock_skew = clock_skew
        self._limiter = limiter
        self._load_shedding = load_shedding
        self._breaker = breaker
        self._quota = quota
        self._timers = timers
        self._outbox = outbox
        self._random = random

    def apply(self, update: EndpointUpdate, now: int) -> None:
        """Apply one update."""
        if update.kind is UpdateKind.FAILED:
            self._schedule_watch_retry()
            return
        is_cached = update.kind is UpdateKind.CACHED_SNAPSHOT
        if is_cached and update.is_last_part and self._settings.polls_endpoints:
            self._outbox.add(WatchEndpoints(enabled=True))
        self._clock_skew.observe(update, now)
        changed = self._table.apply(update)
        is_complete = update.is_last_part or update.kind is UpdateKind.DELTA
        is_resized = is_complete and self._table.resize_subset()
        if is_resized:
            self._start_review(now)
        for entry in changed:
            if not is_resized or entry.name in self._endpoints:  # the review adds the others
                self._endpoints.apply_entry(entry, now)
        self.active_endpoints_changed(now)
        if update.is_last_part:
            start_times = [endpoint.entry.started_at for endpoint in self._endpoints.ready]
            self._clock_skew.check_plausibility(start_times, now, self._settings.safety.warm_up_time)

    def _schedule_watch_retry(self) -> None:
        """Retry well within the poll interval, after a random delay: all gateways' calls may have failed."""
        delay = self._settings.safety.poll_interval // WATCH_RETRIES_PER_POLL_INTERVAL
        self._timers.start_single(self._random.randint(delay, 2 * delay), WATCH_RETRY)

    def _start_review(self, now: int) -> None:
        is_first = self._limiter.pooled is None and not self._endpoints
        if is_first and self._table.mean_replicas > SOFT_MAX_REPLICAS:
            # In a fleet of this size a gateway handles few requests per endpoint and per tenant.
            self._limiter.use_pooled_limit(now)
            self._breaker.call_fraction = INITIAL_CALL_FRACTION
            self._quota.samples_requests = True
        if self._endpoints.start_review():
            self.review_subset(now)

    def review_subset(self, now: int) -> None:
        """Review the next batch of the endpoint list after a change of the subset size."""
        if self._endpoints.review_next_batch(now):
            self._timers.start_single(self._settings.tick, SUBSET_REVIEW)
        self.active_endpoints_changed(now)

    def active_endpoints_changed(self, now: int) -> None:
        """Update the state that depends on the active endpoints, after they have changed."""
        self._load_shedding.accrue_credit(now)
        self._endpoints.rebuild_ready()
