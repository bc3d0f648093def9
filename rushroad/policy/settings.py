"""The settings of a deployment that the policy depends on.

Times are whole microseconds. `settings_reader` creates these types from the settings document.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """Raised for a missing or invalid setting; the message names its key."""


class Idempotency(Enum):
    """Whether a request of a class may be executed twice."""

    IDEMPOTENT = "idempotent"  # may be executed any number of times
    IDEMPOTENCY_KEY = "idempotency key"  # endpoints of one scope drop duplicates within a window
    NOT_IDEMPOTENT = "not idempotent"  # must not be executed twice


class DeduplicationScope(Enum):
    """Which endpoints share idempotency keys, so that each drops duplicates of what others executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Settings that all requests of one class share."""

    idempotency: Idempotency
    latency_objective: int  # responses within this time earn the full priority weight
    deadline: int  # the client's overall timeout, across all attempts
    priority_weight: float
    late_weight: float = 0.0  # fraction of the priority weight that a later response earns
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # for IDEMPOTENCY_KEY
    deduplication_window: int = 0  # for IDEMPOTENCY_KEY: how long keys are kept after the first execution
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """What a tenant on this plan may use across all gateways. A rate or limit of 0 means no limit."""

    rate: float = 0.0  # units per second
    burst: float = 0.0  # capacity of the token bucket, in units; the bucket starts full
    concurrency: int = 0  # open requests at once, that is, requests with attempts in flight
    ceiling_rate: float = 0.0  # rate ceiling, a hard limit, in units per second
    ceiling_burst: float = 0.0  # capacity of the ceiling's token bucket, in units
    ceiling_slack: float = 0.0  # units by which the ceiling's token bucket may be overdrawn
    weight_multiplier: float = 1.0  # multiplies the priority weight of each request
    overage_weight: float = 0.0  # fraction of its weight that a request forwarded over the quota earns
    overage_cost: float = 0.0  # fraction of its weight that forwarding a request over the quota costs


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on a gateway's actions, and optional actions that the deployment permits."""

    max_attempts: int = 1
    hedging_allowed: bool = False  # a request may have two attempts in flight at once
    cancellation_allowed: bool = False
    health_checks_allowed: bool = False
    peer_messages_allowed: bool = False
    retry_after_allowed: bool = True  # rejections tell clients how long to wait
    max_retry_after: int = 1_000_000
    connect_timeout: int = 250_000


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """Parameters of the rules that every gateway must obey."""

    answer_slack: int = 0  # time after its deadline by which a request must have its final answer
    drain_grace: int = 0  # time after draining or removal in which an endpoint may still be sent requests
    initial_capacity: float = 1.0  # minimum fraction of its full capacity that an endpoint has when it starts
    warm_up_time: int = 0  # time after its start until an endpoint has its full capacity
    overload_multiple: float = 1.0  # load over this multiple of its capacity overloads a warming endpoint
    overload_window: int = 0  # time over which that load is measured
    poll_interval: int = 0  # maximum time between polls of the endpoint list, if it must be polled


@dataclass(frozen=True, slots=True)
class CounterSettings:
    """Settings of the shared counter service."""

    timeout: int  # a call without a reply within this time ends as TIMEOUT
    call_cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that a gateway starts with."""

    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    fleet_size: int = 1  # number of gateways
    gateway_index: int = 0  # position of this gateway in the fleet, from 0
    zone: int = 0
    tick: int = 1_000  # minimum time between two rounds of event processing
    limits: Limits = Limits()
    safety: SafetyLimits = SafetyLimits()
    counter: CounterSettings | None = None
    max_units: float = 1.0  # maximum units of one request
    uses_actual_units: bool = False  # responses report them; they replace the units estimated by requests
    uses_endpoint_weights: bool = False  # weights in the endpoint list are relative sizes
    polls_endpoints: bool = False  # the endpoint list must be polled
    load_report_fields: tuple[str, ...] = ()  # names of the values in a load report, in order
    load_reports_by_health_check: bool = False  # only health check replies carry load reports

    @property
    def uses_cells(self) -> bool:
        """Whether some request class must stay within one cell once a request may have been executed."""
        return any(
            c.idempotency is Idempotency.IDEMPOTENCY_KEY and c.deduplication_scope is DeduplicationScope.CELL
            for c in self.request_classes
        )
