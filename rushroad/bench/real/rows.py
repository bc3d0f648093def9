"""Rows of the experiments on real gateways."""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from rushroad.bench.rows import ConditionRow


class CostRow(ConditionRow, frozen=True, kw_only=True):
    """The cost of requests at the gateways. Latencies are missing if no request was served."""

    requests: int
    served: int
    rejected: int = msgspec.field(name="refused")
    failed: int
    lost: int
    wrong: int
    tenants_seen: int
    latency_p50_ms: float | UnsetType = UNSET
    latency_p99_ms: float | UnsetType = UNSET
    latency_p999_ms: float | UnsetType = UNSET  # in older records only
    added_p50_ms: float | UnsetType = UNSET  # latency less the service time
    added_p99_ms: float | UnsetType = UNSET
    added_p999_ms: float | UnsetType = UNSET  # in older records only
    attempts: int
    late_attempts: int  # more than rate_servers.LATE_AFTER_S after the endpoint's removal
    syntax_errors: int = msgspec.field(name="syntax")
    list_changes: int = msgspec.field(name="changes")
    connects_per_request: float = msgspec.field(name="connects_request")
    counter_calls_per_request: float = msgspec.field(name="calls_request")
    counter_bytes_per_request: float = msgspec.field(name="bytes_request")
    cpu_us_per_request: float = msgspec.field(name="cpu_us_request")
    core_share: float
    idle_core_share: float  # before the first request
    ready_s: float
    peak_mb: float


class DemoRow(ConditionRow, frozen=True, kw_only=True):
    """Outcomes, attempts and latencies of a demo."""

    requests: int
    served: int
    rejected: int = msgspec.field(name="refused")
    failed: int
    lost: int
    wrong: int
    attempts: int
    latency_p50_ms: float | UnsetType = UNSET
    latency_p99_ms: float | UnsetType = UNSET
    added_p50_ms: float | UnsetType = UNSET
    added_p99_ms: float | UnsetType = UNSET


class CounterBytesRow(ConditionRow, frozen=True, kw_only=True):
    """Calls to the counter, and their bytes in both directions, per request."""

    requests: int
    served: int
    counter_calls_per_request: float = msgspec.field(name="calls_request")
    counter_bytes_per_request: float = msgspec.field(name="bytes_request")


class FloodRow(ConditionRow, frozen=True, kw_only=True):
    """Usual requests beside flooding clients."""

    requests: int
    served: int
    rejected: int = msgspec.field(name="refused")
    failed: int
    lost: int
    wrong: int
    latency_p50_ms: float | UnsetType = UNSET
    latency_p99_ms: float | UnsetType = UNSET
    latency_max_ms: float | UnsetType = UNSET
    flood_answers_per_s: float = msgspec.field(name="flood_answers_s")
    core_share: float
    peak_mb: float


class StartRow(ConditionRow, frozen=True, kw_only=True):
    """The start of a gateway with a whole endpoint list."""

    ready_s: float
    serving_s: float | str  # "never" if no request was served before the timeout
    cpu_s: float
    peak_mb: float


class ChangesRow(ConditionRow, frozen=True, kw_only=True):
    """The longest stalls: without a change, as one endpoint is removed, and as a burst is in one message.

    The numbers of removed endpoints that had received attempts are missing in older records.
    """

    burst: int  # endpoints removed in one message
    stall_quiet_ms: float
    cpu_quiet_s: float
    used_removed_one: int | UnsetType = msgspec.field(name="used_gone_one", default=UNSET)
    stall_one_ms: float
    cpu_one_s: float
    used_removed_burst: int | UnsetType = msgspec.field(name="used_gone_burst", default=UNSET)
    stall_burst_ms: float
    cpu_burst_s: float
    requests: int
    served: int
    rejected: int = msgspec.field(name="refused")
    failed: int
    lost: int
    wrong: int
    attempts: int
    late_attempts: int
    peak_mb: float
