"""Passes the results of attempts to the components of the policy that use them.

Times are whole microseconds.
"""

from __future__ import annotations

from rushroad.policy.active_endpoints import ActiveEndpoint, ActiveEndpoints
from rushroad.policy.concurrency_limit import ConcurrencyLimiter
from rushroad.policy.events import AttemptFinished, Result
from rushroad.policy.latency import LatencyTracker
from rushroad.policy.load_balancer import LoadBalancer
from rushroad.policy.load_shedding import LoadShedding
from rushroad.policy.outlier_detection import OutlierDetector
from rushroad.policy.pending_request import PendingRequest
from rushroad.policy.slow_start import SlowStart


class AttemptResultRecorder:
    """Updates limits, load estimates, latencies and outlier detection from the results of attempts."""

    def __init__(
        self,
        endpoints: ActiveEndpoints,
        limiter: ConcurrencyLimiter,
        load_shedding: LoadShedding,
        load_balancer: LoadBalancer,
        outliers: OutlierDetector,
        latency: LatencyTracker,
        slow_start: SlowStart,
    ) -> None:
        self._endpoints = endpoints
        self._limiter = limiter
        self._load_shedding = load_shedding
        self._load_balancer = load_balancer
        self._outliers = outliers
        self._latency = latency
        self._slow_start = slow_start

    def record(
        self, endpoint: ActiveEndpoint, event: AttemptFinished, pending: PendingRequest | None, now: int
    ) -> None:
        """Record the result of an attempt; `pending` is None if the request had finished before."""
        endpoint.concurrency.in_flight.pop((event.request_id, event.attempt), None)
        request_class = pending.request_class if pending is not None else None
        is_capacity_short = self._load_shedding.is_capacity_short
        self._limiter.record(endpoint.concurrency, event, request_class, is_capacity_short, now)
        if event.load_report:
            self._load_balancer.record_load_report(endpoint, event.load_report, now)
        self._outliers.record_response(endpoint, event.result, now)
        if pending is not None:
            self._record_latency(endpoint, event, pending.request.class_index, now)
        self._record_health(endpoint, event, now)

    def _record_latency(
        self, endpoint: ActiveEndpoint, event: AttemptFinished, class_index: int, now: int
    ) -> None:
        relative = self._latency.relative(event, class_index)
        is_success = event.result is Result.OK
        if relative is not None:
            endpoint.latency.record(relative)
            endpoint.class_stats.latency.record(relative)
            if is_success and not self._slow_start.is_warming_up(endpoint.entry, now):
                endpoint.class_stats.throughput.record_response(now)
        if is_success:
            self._latency.record_response(event.elapsed, class_index)

    def _record_health(self, endpoint: ActiveEndpoint, event: AttemptFinished, now: int) -> None:
        result = event.result
        if result is Result.OK:
            self._outliers.record_success(endpoint)
        elif result in (Result.ERROR, Result.RESET, Result.CONNECT_FAILED):
            self._outliers.record_error(endpoint, result, now)
        elif result is Result.TIMEOUT:
            self.eject_if_silent(endpoint, now - event.elapsed, now)
        elif result is Result.OVERLOADED:
            self._load_balancer.record_overload(endpoint, now)

    def eject_if_silent(self, endpoint: ActiveEndpoint, since: int, now: int) -> bool:
        """Eject an endpoint if it has been silent since the given time; return whether it has been."""
        rate = self._endpoints.warm_response_rate(endpoint, now)
        if not self._outliers.is_silent(endpoint, rate, since, now):
            return False
        self._outliers.eject(endpoint, now)
        return True
