"""Rejects requests at arrival when capacity is short, those of the lowest priority first."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from rushroad.policy.concurrency_limit import ConcurrencyLimiter
from rushroad.policy.latency import LatencyTracker
from rushroad.policy.pending_request import COUNTER_WAIT_FRACTION, PendingRequest
from rushroad.policy.settings import Settings

if TYPE_CHECKING:
    from rushroad.policy.active_endpoints import ActiveEndpoint
    from rushroad.policy.endpoints import EndpointTable

SMOOTHING = 0.2  # weight of a new request in the mean value of requests
RESERVE = 0.5  # of the full credit; what requests of the lowest priority leave for others


class LoadShedding:
    """Tells whether there is capacity for one more request.

    In small fleets that is what the concurrency limits of all endpoints leave. In large ones they come to a
    fraction of an attempt at each endpoint and hold for the mean over time: what is allowed to be in flight
    earns credit, in attempt-microseconds, and what is in flight spends it. So all gateways together keep the
    limits, and a random burst at one of them is not rejected.
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
        self._mean_value = 1e-9  # running mean of priority weight for the work

    @property
    def is_capacity_short(self) -> bool:
        """True where less than half of the credit is left."""
        return self._credit < self._longest_objective / 2

    def set_credit(self, fraction: float, now: int) -> None:
        """Set the credit to this fraction of the full one."""
        self._credit, self._credited_at = fraction * self._longest_objective, now

    def priority_deficit(self, pending: PendingRequest) -> float:
        """Return how far a request's value for its work is below the mean: from 0 to 1 (over the quota)."""
        weight = pending.request_class.priority_weight * pending.plan.weight_multiplier
        value = weight / (self._latency.typical(pending.request.class_index) or self._longest_objective)
        self._mean_value += SMOOTHING * (value - self._mean_value)
        return 1.0 if pending.is_likely_over_quota else max(0.0, 1.0 - value / self._mean_value)

    def has_capacity(self, endpoints: Sequence[ActiveEndpoint], now: int, deficit: float = 0.0) -> bool:
        """Whether the endpoints have capacity for a request with this deficit of priority."""
        if self._limiter.pooled is not None:
            self.accrue(now)
            spent = self._in_flight * (
                self._latency.highest() or COUNTER_WAIT_FRACTION * self._longest_objective
            )
            return self._credit > spent + RESERVE * deficit * self._longest_objective
        return self._is_below_limits(endpoints, now)

    def _is_below_limits(self, endpoints: Sequence[ActiveEndpoint], now: int) -> bool:
        """Whether fewer attempts are in flight than the limits of all endpoints allow together."""
        abandoned_since = self._limiter.abandoned_since(now)
        in_use = limit = 0.0
        for endpoint in endpoints:
            concurrency = endpoint.concurrency
            endpoint_limit = concurrency.limit.attempts
            count = (
                concurrency.count(abandoned_since) if concurrency.abandoned else len(concurrency.in_flight)
            )
            # What an endpoint holds beyond its limit, all abandoned perhaps, takes no capacity at the others.
            in_use += count if count < endpoint_limit else endpoint_limit
            limit += endpoint_limit
        return limit > 0 and in_use < max(1.0, limit)

    def accrue(self, now: int) -> None:
        """Bring the credit up to now; due before each change of what it depends on."""
        if self._limiter.pooled is not None:
            gain = self._limiter.pooled.attempts * self._table.expected_subset_size() - self._in_flight
            self._credit = min(self._longest_objective, self._credit + gain * (now - self._credited_at))
        self._credited_at = now

    def attempt_started(self, now: int) -> None:
        """Count an attempt in flight."""
        self.accrue(now)
        self._in_flight += 1

    def attempt_ended(self, now: int) -> None:
        """Count an attempt off."""
        self.accrue(now)
        self._in_flight = max(0, self._in_flight - 1)
