"""The settings of a simulated fleet: request classes, a plan and limits."""

from __future__ import annotations

from rushroad.bench.simulated.simulation import MILLISECOND, SECOND
from rushroad.policy.settings import (
    CounterSettings,
    DeduplicationScope,
    Idempotency,
    Limits,
    Plan,
    RequestClass,
    SafetyLimits,
    Settings,
)

TENANT_REQUEST_RATE = 850_000 / 360_000  # requests/s of a tenant, mean at the planned fleet size
QUOTA_HEADROOM = 3.0  # quota over mean use; high, so that quotas do not limit these experiments
BURST_TIME = 5 * SECOND  # in which the quota refills the burst
UNITS_RANGE = (1, 4)  # minimum and maximum units of a request

_QUOTA_RATE = QUOTA_HEADROOM * TENANT_REQUEST_RATE * sum(UNITS_RANGE) / 2  # units/s

REQUEST_CLASSES = (
    RequestClass(
        Idempotency.IDEMPOTENT, latency_objective=3 * SECOND, deadline=10 * SECOND, priority_weight=1.0
    ),
    RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        latency_objective=2_500 * MILLISECOND,
        deadline=10 * SECOND,
        priority_weight=5.0,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=6 * SECOND,
    ),
)
FLEET_SETTINGS = Settings(
    request_classes=REQUEST_CLASSES,
    plans=(Plan(rate=_QUOTA_RATE, burst=_QUOTA_RATE * BURST_TIME / SECOND, overage_cost=1.0),),
    tick=4 * MILLISECOND,
    limits=Limits(max_attempts=3, cancellation_allowed=True),
    safety=SafetyLimits(
        answer_slack=16 * MILLISECOND,
        drain_grace=500 * MILLISECOND,
        initial_capacity=0.19,
        warm_up_time=17 * SECOND,
        overload_multiple=2.0,
        overload_window=1_500 * MILLISECOND,
        poll_interval=10 * SECOND,
    ),
    counter=CounterSettings(timeout=80 * MILLISECOND),
    max_units=float(UNITS_RANGE[1]),
)
