"""Rejects requests on arrival while capacity is short, lowest priority first.

Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from rushroad.policy.concurrency_limit import ConcurrencyLimiter
from rushroad.policy.latency import LatencyTracker
from rushroad.policy.pending_request import COUNTER_WAIT_FRACTION, PendingRequest
from rushroad.policy.settings import Settings

if TYPE_CHECKING:
    from rushroad.policy.active_endpoints import ActiveEndpoint
    from rushroad.policy.endpoint_table import EndpointTable

REQUEST_VALUE_SMOOTHING = 0.2  # weight of a new request in the moving average of request values
LOW_PRIORITY_RESERVE = 0.5  # of the full credit; requests of the lowest priority must leave it to others


class LoadShedding:
    """Decides whether there is capacity for one more request.

    In a small fleet, the capacity is what the concurrency limits of all endpoints leave. In a large fleet,
    the limit is a fraction of an attempt at each endpoint and applies to the mean over time: the allowed
    attempts in flight earn credit, in attempt-microseconds, and the actual ones spend it. The full credit is
    one attempt for the longest latency objective. All gateways together thus keep the limits, and a random
    burst at one of them is not rejected.
    """

    def __init__(
        self,
        settings: Settings,
        limiter: ConcurrencyLimiter,
        latency: LatencyTracker,
        table: EndpointTable,
        now: int,
    ) -> None:
        self._limiter = limiter
        self._latency = latency
        self._table = table
        self._longest_objective = max(c.latency_objective for c in settings.request_classes)
        self._in_flight = 0
        self._credit, self._credited_at = float(self._longest_objective), now
        self._mean_value = 1e-9  # moving average of the values of requests; not 0, as it is a divisor

    @property
    def is_capacity_short(self) -> bool:
        """True while less than half of the full credit is left."""
        return self._credit < self._longest_objective / 2

    def set_credit(self, fraction: float, now: int) -> None:
        """Set the credit to this fraction of the full credit."""
        self._credit, self._credited_at = fraction * self._longest_objective, now

    def priority_deficit(self, pending: PendingRequest) -> float:
        """Return the fraction by which a request's value is below the mean; 1 if it is likely over its quota.

        The value is the priority weight per typical response time; it also updates the mean.
        """
        weight = pending.request_class.priority_weight * pending.plan.weight_multiplier
        value = weight / (self._latency.typical(pending.request.class_index) or self._longest_objective)
        self._mean_value += REQUEST_VALUE_SMOOTHING * (value - self._mean_value)
        return 1.0 if pending.is_likely_over_quota else max(0.0, 1.0 - value / self._mean_value)

    def has_capacity(self, endpoints: Sequence[ActiveEndpoint], now: int, deficit: float = 0.0) -> bool:
        """Return whether the endpoints have capacity for a request with this priority deficit."""
        if self._limiter.pooled is not None:
            self.accrue_credit(now)
            # Credit that the attempts in flight will spend; before the first response, an assumed latency.
            committed = self._in_flight * (
                self._latency.highest() or COUNTER_WAIT_FRACTION * self._longest_objective
            )
            return self._credit > committed + LOW_PRIORITY_RESERVE * deficit * self._longest_objective
        return self._is_below_limits(endpoints, now)

    def _is_below_limits(self, endpoints: Sequence[ActiveEndpoint], now: int) -> bool:
        """Return whether fewer attempts are in flight than the limits of all endpoints together allow."""
        abandoned_cutoff = self._limiter.abandoned_cutoff(now)
        in_use = limit = 0.0
        for endpoint in endpoints:
            concurrency = endpoint.concurrency
            endpoint_limit = concurrency.limit.attempts
            count = (
                concurrency.count(abandoned_cutoff) if concurrency.abandoned else len(concurrency.in_flight)
            )
            # Attempts beyond an endpoint's limit, possibly all abandoned, take no capacity from the others.
            in_use += count if count < endpoint_limit else endpoint_limit
            limit += endpoint_limit
        return limit > 0 and in_use < max(1.0, limit)

    def accrue_credit(self, now: int) -> None:
        """Add the credit earned, less that spent, until now; call before the rate of either changes."""
        if self._limiter.pooled is not None:
            rate = self._limiter.pooled.attempts * self._table.expected_subset_size() - self._in_flight
            self._credit = min(self._longest_objective, self._credit + rate * (now - self._credited_at))
        self._credited_at = now

    def attempt_started(self, now: int) -> None:
        """Add an attempt to those in flight."""
        self.accrue_credit(now)
        self._in_flight += 1

    def attempt_finished(self, now: int) -> None:
        """Remove an attempt from those in flight."""
        self.accrue_credit(now)
        self._in_flight = max(0, self._in_flight - 1)
