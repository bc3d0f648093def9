"""Chooses the endpoint with the least expected wait."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from rushroad.policy.active_endpoints import ActiveEndpoints
from rushroad.policy.concurrency_limit import ConcurrencyLimiter, EndpointConcurrency
from rushroad.policy.durations import SECOND
from rushroad.policy.events import Endpoint
from rushroad.policy.outlier_detection import OutlierDetector
from rushroad.policy.pending_request import PendingRequest
from rushroad.policy.retry_policy import RetryPolicy
from rushroad.policy.settings import Idempotency, Settings
from rushroad.policy.slow_start import SlowStart

if TYPE_CHECKING:
    from rushroad.policy.active_endpoints import ActiveEndpoint

ERROR_WEIGHT = 4.0  # how much an endpoint's error rate adds to its expected wait: an error costs a request
AVOID_FACTOR = 10.0  # on the expected wait at the endpoint of the failed attempt
LOAD_MEMORY = SECOND  # microseconds after which a reported load says little
LOAD_SMOOTHING = 0.2  # weight of a new report in the mean load
OVERLOAD_REQUESTS = 4  # added to the load of an endpoint that rejects a request
MAX_UTILIZATION = 0.8  # taken from load reports
TRUSTED_SAMPLES = 10.0  # of an endpoint, at which its own latency counts as much as its class's
MIN_WEIGHT = 0.01  # of an endpoint
TIE_SPREAD = 0.05  # random part of the expected wait where the load is known


class LoadBalancer:
    """Chooses among the active endpoints that every rule allows for an attempt."""

    def __init__(
        self,
        settings: Settings,
        endpoints: ActiveEndpoints,
        limiter: ConcurrencyLimiter,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        retry_policy: RetryPolicy,
        random: Random,
    ) -> None:
        self._has_weights = settings.uses_endpoint_weights
        self._report_fields = settings.load_report_fields
        self._endpoints = endpoints
        self._limiter = limiter
        self._outliers = outliers
        self._slow_start = slow_start
        self._retry_policy = retry_policy
        self._random = random
        self._mean_load = 0.0  # running mean of reported loads

    def choose(
        self, pending: PendingRequest, avoid: str | None, ejected: set[str], now: int
    ) -> ActiveEndpoint | None:
        """Return the best ready endpoint, or None; the one to `avoid` only if all are as bad."""
        best, least_wait = None, 0.0
        for endpoint in self._endpoints.ready:
            name = endpoint.entry.name
            if not self._is_allowed(pending, endpoint, now):
                continue
            wait = self.expected_wait(endpoint, now)
            if name in ejected:
                if not self._is_probe_due(pending, endpoint, now):
                    continue
                if self._limiter.pooled is None:
                    wait = 0.0  # hundreds of gateways probe it without being made to
            if name == avoid:
                wait = (1.0 + wait) * AVOID_FACTOR
            if best is None or wait < least_wait:
                best, least_wait = endpoint, wait
        return best

    def _is_allowed(self, pending: PendingRequest, endpoint: ActiveEndpoint, now: int) -> bool:
        if self._limiter.pooled is None and self._is_at_its_limit(endpoint.concurrency, now):
            return False
        if pending.possible_executions and not self._retry_policy.allows(pending, endpoint.entry, now):
            return False
        return not self._slow_start.is_warming_up(endpoint.entry, now) or self._may_warm_up(endpoint, now)

    def _is_at_its_limit(self, concurrency: EndpointConcurrency, now: int) -> bool:
        if not concurrency.abandoned:
            return len(concurrency.in_flight) >= concurrency.limit.attempts
        return concurrency.count(self._limiter.abandoned_since(now)) >= concurrency.limit.attempts

    def _may_warm_up(self, endpoint: ActiveEndpoint, now: int) -> bool:
        if endpoint.borrowed:
            return False
        rate = self._endpoints.warm_response_rate(endpoint, now)
        return self._slow_start.has_budget(endpoint, rate, now)

    @staticmethod
    def _is_probe_due(pending: PendingRequest, endpoint: ActiveEndpoint, now: int) -> bool:
        if endpoint.concurrency.in_flight or now < endpoint.outlier.next_probe_at:
            return False
        return pending.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT

    def find_in_cell(self, pending: PendingRequest, now: int) -> Endpoint | None:
        """Return an endpoint outside the subset where a keyed request that may have run can go on."""
        if not self._retry_policy.is_bound_to_cell(pending):
            return None
        entry = self._endpoints.find_in_cell(pending.possible_executions[-1].entry.cell, now)
        if entry is None or not self._retry_policy.allows(pending, entry, now):
            return None
        return entry

    def expected_wait(self, endpoint: ActiveEndpoint, now: int) -> float:
        """Return the expected time to a response, in typical response times, as far as it is known.

        The less is known of an endpoint's load, the more chance decides: gateways that know as little as
        each other must not all choose the same endpoint.
        """
        weight = max(MIN_WEIGHT, endpoint.entry.weight) if self._has_weights else 1.0
        known = math.exp((endpoint.load.updated_at - now) / LOAD_MEMORY)
        others = endpoint.load.requests * known + self._mean_load * (1.0 - known)
        samples = endpoint.latency.samples
        trust = samples / (samples + TRUSTED_SAMPLES)
        latency = endpoint.latency.mean * trust + endpoint.endpoint_class.latency.mean * (1.0 - trust)
        tie_break = self._random.uniform(1.0 - TIE_SPREAD, 1.0 + TIE_SPREAD)
        chance = tie_break * math.pow(self._random.expovariate(1.0), (1.0 - known) / 2)
        risk = 1.0 + ERROR_WEIGHT * endpoint.outlier.error_rate
        return latency * risk * (1.0 + (len(endpoint.concurrency.in_flight) + others) / weight) * chance

    def record_load_report(self, endpoint: ActiveEndpoint, report: tuple[float, ...], now: int) -> None:
        """Take in a load report."""
        fields = dict(zip(self._report_fields, report, strict=False))
        load = endpoint.load
        if "inflight" in fields:
            load.requests = max(0.0, fields["inflight"] - len(endpoint.concurrency.in_flight))
        elif "util" in fields:
            utilization = min(MAX_UTILIZATION, max(0.0, fields["util"]))
            load.requests = utilization / (1 - utilization)
        load.updated_at = now
        self._mean_load += LOAD_SMOOTHING * (load.requests - self._mean_load)

    def record_overload(self, endpoint: ActiveEndpoint, now: int) -> None:
        """Take in that an endpoint rejected a request because it is overloaded."""
        endpoint.load.requests, endpoint.load.updated_at = endpoint.load.requests + OVERLOAD_REQUESTS, now
