"""The settings of a deployment that decisions depend on.

All times and spans are whole microseconds. `settings_reader` builds these types from the operators' keys.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names it."""


class Idempotency(Enum):
    """Whether a request of a class may be executed twice."""

    IDEMPOTENT = "idempotent"  # any number of executions does no harm
    IDEMPOTENCY_KEY = "idempotency key"  # endpoints of one scope drop a duplicate, within a window
    NOT_IDEMPOTENT = "not idempotent"  # must not be executed twice


class DeduplicationScope(Enum):
    """Which endpoints share idempotency keys, so that each drops a duplicate of what another executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests."""

    idempotency: Idempotency
    latency_objective: int  # a response within this span earns the full priority weight
    deadline: int  # the client's overall timeout, all attempts together
    priority_weight: float
    late_weight: float = 0.0  # fraction of the weight that a response after the objective earns
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # for IDEMPOTENCY_KEY
    deduplication_window: int = 0  # for IDEMPOTENCY_KEY: how long keys are kept after the first execution
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """What a tenant on this plan may use, over all gateways together. A rate or limit of 0 means none."""

    rate: float = 0.0  # units a second
    burst: float = 0.0  # capacity of the token bucket in units; it starts full
    concurrency: int = 0  # attempts in flight at once
    ceiling_rate: float = 0.0  # units a second of the hard limit
    ceiling_burst: float = 0.0  # capacity in units of the hard limit's token bucket
    ceiling_slack: float = 0.0  # units by which the hard limit's bucket may be overdrawn
    price: float = 1.0  # factor on a request's priority weight
    overage_weight: float = 0.0  # fraction of its weight that a request forwarded beyond the quota earns
    overage_cost: float = 0.0  # fraction of its weight that forwarding it beyond the quota costs


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows a gateway to do."""

    max_attempts: int = 1
    hedging_allowed: bool = False  # two attempts of one request may be in flight together
    cancellation_allowed: bool = False
    health_checks_allowed: bool = False
    peer_messages_allowed: bool = False
    retry_after: bool = True  # clients are told how long to wait
    max_retry_after: int = 1_000_000
    connect_timeout: int = 250_000


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """The figures of the rules that no gateway may break."""

    answer_slack: int = 0
    drain_grace: int = 0
    initial_capacity: float = 1.0  # fraction of its capacity that an endpoint has at its start, at least
    warm_up_time: int = 0  # span after a start in which the capacity grows to the full
    overload_multiple: float = 1.0  # load over this many times its capacity overloads a warming endpoint
    overload_window: int = 0  # span over which that load is measured
    poll_interval: int = 0  # longest span between polls of the endpoint list, where it must be polled


@dataclass(frozen=True, slots=True)
class CounterSettings:
    """The shared counter service."""

    timeout: int  # a call without a reply by then ends as TIMEOUT
    price: float = 0.0  # of one call


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway knows of its deployment at its start."""

    request_classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    fleet_size: int = 1  # gateways in total
    gateway_index: int = 0  # which of them this one is
    zone: int = 0
    tick: int = 1_000  # shortest span between two rounds of events
    limits: Limits = Limits()
    safety: SafetyLimits = SafetyLimits()
    counter: CounterSettings | None = None
    max_units: float = 1.0  # most units of one request
    settles_units: bool = False  # units are estimates; a response tells the actual ones
    endpoint_weights: bool = False  # the weights in the endpoint list tell relative sizes
    polls_endpoints: bool = False  # the endpoint list has to be polled
    load_report_fields: tuple[str, ...] = ()  # what load reports hold, in order
    load_reports_by_health_check: bool = False  # load reports come only with replies to health checks

    @property
    def uses_cells(self) -> bool:
        """True where some class of requests must stay within a cell once it may have been executed."""
        return any(
            c.idempotency is Idempotency.IDEMPOTENCY_KEY and c.deduplication_scope is DeduplicationScope.CELL
            for c in self.request_classes
        )
