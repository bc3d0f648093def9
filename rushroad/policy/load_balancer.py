"""Chooses the endpoint with the least expected wait for an attempt. Times are whole microseconds."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from rushroad.policy.active_endpoints import ActiveEndpoints
from rushroad.policy.concurrency_limit import ConcurrencyLimiter, EndpointConcurrency
from rushroad.policy.events import Endpoint
from rushroad.policy.outlier_detection import OutlierDetector
from rushroad.policy.pending_request import PendingRequest
from rushroad.policy.retry_policy import RetryPolicy
from rushroad.policy.settings import Idempotency, Settings
from rushroad.policy.slow_start import SlowStart
from rushroad.policy.time_units import SECOND

if TYPE_CHECKING:
    from rushroad.policy.active_endpoints import ActiveEndpoint

ERROR_RATE_WEIGHT = 4.0  # of the error rate in the expected wait; an error may cost the whole request
AVOID_PENALTY_FACTOR = 10.0  # multiplies the expected wait at the endpoint of the failed attempt
LOAD_REPORT_TIME_CONSTANT = SECOND  # of the exponential decay of the confidence in a load report
LOAD_SMOOTHING = 0.2  # weight of a new report in the moving average of the load
OVERLOAD_PENALTY = 4  # requests added to the load estimate of an endpoint that rejects a request
MAX_UTILIZATION = 0.8  # higher reported values are capped: the load derived from them is unbounded near 1
# With this many samples, an endpoint's own latency counts as much as that of its endpoint class.
ENDPOINT_CLASS_PRIOR_SAMPLES = 10.0
MIN_WEIGHT = 0.01  # lower bound of an endpoint's weight, by which the load is divided
TIE_BREAK_JITTER = 0.05  # fraction by which the expected wait varies at random even where the load is known


class LoadBalancer:
    """Chooses among the active endpoints that all components of the policy allow for an attempt."""

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
        self._uses_endpoint_weights = settings.uses_endpoint_weights
        self._load_report_fields = settings.load_report_fields
        self._endpoints = endpoints
        self._limiter = limiter
        self._outliers = outliers
        self._slow_start = slow_start
        self._retry_policy = retry_policy
        self._random = random
        self._mean_load = 0.0  # moving average of reported loads

    def choose(
        self, pending: PendingRequest, avoid: str | None, ejected: set[str], now: int
    ) -> ActiveEndpoint | None:
        """Return the ready endpoint with the least expected wait of those allowed; None if there is none.

        `avoid`, the endpoint of the failed or silent attempt, is chosen only if all others are far worse.
        """
        best, least_wait = None, 0.0
        for endpoint in self._endpoints.ready:
            name = endpoint.entry.name
            if not self._is_allowed(pending, endpoint, now):
                continue
            wait = self.expected_wait(endpoint, now)
            if name in ejected:
                if not self._may_probe(pending, endpoint, now):
                    continue
                # A wait of 0 makes this request the probe. With a pooled limit, hundreds of gateways choose
                # the endpoint often enough without that.
                if self._limiter.pooled is None:
                    wait = 0.0
            if name == avoid:
                wait = (1.0 + wait) * AVOID_PENALTY_FACTOR
            if best is None or wait < least_wait:
                best, least_wait = endpoint, wait
        return best

    def _is_allowed(self, pending: PendingRequest, endpoint: ActiveEndpoint, now: int) -> bool:
        if self._limiter.pooled is None and self._is_at_limit(endpoint.concurrency, now):
            return False
        if pending.possible_executions and not self._retry_policy.allows(pending, endpoint.entry, now):
            return False
        return not self._slow_start.is_warming_up(endpoint.entry, now) or self._has_slow_start_budget(
            endpoint, now
        )

    def _is_at_limit(self, concurrency: EndpointConcurrency, now: int) -> bool:
        if not concurrency.abandoned:
            return len(concurrency.in_flight) >= concurrency.limit.attempts
        return concurrency.count(self._limiter.abandoned_cutoff(now)) >= concurrency.limit.attempts

    def _has_slow_start_budget(self, endpoint: ActiveEndpoint, now: int) -> bool:
        if endpoint.is_fallback:
            return False
        rate = self._endpoints.warm_response_rate(endpoint, now)
        return self._slow_start.has_budget(endpoint, rate, now)

    @staticmethod
    def _may_probe(pending: PendingRequest, endpoint: ActiveEndpoint, now: int) -> bool:
        if endpoint.concurrency.in_flight or now < endpoint.outlier.next_probe_at:
            return False
        return pending.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT

    def find_in_cell(self, pending: PendingRequest, now: int) -> Endpoint | None:
        """Return an endpoint outside the subset for the retry of a request that is bound to a cell."""
        if not self._retry_policy.is_bound_to_cell(pending):
            return None
        entry = self._endpoints.find_in_cell(pending.possible_executions[-1].entry.cell, now)
        if entry is None or not self._retry_policy.allows(pending, entry, now):
            return None
        return entry

    def expected_wait(self, endpoint: ActiveEndpoint, now: int) -> float:
        """Return the expected time to a response, as a multiple of the typical response time.

        The less is known of an endpoint's load, the larger the random part: gateways without load reports
        must not all choose the same endpoint.
        """
        weight = max(MIN_WEIGHT, endpoint.entry.weight) if self._uses_endpoint_weights else 1.0
        confidence = math.exp((endpoint.load.updated_at - now) / LOAD_REPORT_TIME_CONSTANT)
        other_load = endpoint.load.requests * confidence + self._mean_load * (1.0 - confidence)
        samples = endpoint.latency.samples
        own_fraction = samples / (samples + ENDPOINT_CLASS_PRIOR_SAMPLES)
        latency = endpoint.latency.mean * own_fraction + endpoint.class_stats.latency.mean * (
            1.0 - own_fraction
        )
        tie_break = self._random.uniform(1.0 - TIE_BREAK_JITTER, 1.0 + TIE_BREAK_JITTER)
        random_factor = tie_break * math.pow(self._random.expovariate(1.0), (1.0 - confidence) / 2)
        error_factor = 1.0 + ERROR_RATE_WEIGHT * endpoint.outlier.error_rate
        return (
            latency
            * error_factor
            * (1.0 + (len(endpoint.concurrency.in_flight) + other_load) / weight)
            * random_factor
        )

    def record_load_report(self, endpoint: ActiveEndpoint, report: tuple[float, ...], now: int) -> None:
        """Update the load estimate from a load report; the field "inflight" takes precedence over "util"."""
        fields = dict(zip(self._load_report_fields, report, strict=False))
        load = endpoint.load
        if "inflight" in fields:
            load.requests = max(0.0, fields["inflight"] - len(endpoint.concurrency.in_flight))
        elif "util" in fields:
            utilization = min(MAX_UTILIZATION, max(0.0, fields["util"]))
            load.requests = utilization / (1 - utilization)
        load.updated_at = now
        self._mean_load += LOAD_SMOOTHING * (load.requests - self._mean_load)

    def record_overload(self, endpoint: ActiveEndpoint, now: int) -> None:
        """Raise the load estimate of an endpoint that rejected a request as overloaded."""
        endpoint.load.requests, endpoint.load.updated_at = endpoint.load.requests + OVERLOAD_PENALTY, now
