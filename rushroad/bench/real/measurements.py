"""The measurements on a scene, each of which makes one row."""

from __future__ import annotations

from typing import Any, NamedTuple

from msgspec import structs

from rushroad.bench.commands import (
    Done,
    LoadResult,
    LongestPing,
    Outcome,
    RemovedEndpoints,
    RemoveEndpoints,
    SetEndpointChurn,
    StandInStats,
    StartPings,
    TakeLongestPing,
)
from rushroad.bench.real.rows import ChangesRow, CostRow, StartRow
from rushroad.bench.real.scene import RunningScene, Scene, running
from rushroad.bench.rows import ConditionRow
from rushroad.bench.worker import Worker

SETTLE_S = 1.0  # after the start before anything is measured
MAX_IDLE_S = 5.0  # of measurement without requests
SERVING_TIMEOUT_S = 20.0  # in which a gateway that answers PING must serve
OBSERVED_S = 2.0  # after a change, for stalls and late attempts
MEGABYTE = 1_000_000  # bytes
UNCONDITIONAL = ConditionRow()


def measure_cost(scene: Scene, condition: ConditionRow = UNCONDITIONAL) -> CostRow:
    """Measure the gateways without requests, then with them."""
    with running(scene) as processes:
        fleet = processes.fleet
        ready_s = max(fleet.wait_ready())
        fleet.wait(SETTLE_S)
        churn = SetEndpointChurn(changes_per_s=scene.list_changes_per_s)
        processes.stand_ins.call(churn, Done)
        idle_core_share = _measure_idle(processes)
        before, cpu_before = processes.stand_in_stats(), fleet.cpu_seconds()
        processes.start_load(scene.seconds)
        fleet.wait(scene.seconds)
        result = processes.clients.receive(LoadResult)
        cpu_s, after = fleet.cpu_seconds() - cpu_before, processes.stand_in_stats()
        requests = sum(result.outcomes.values())
        return CostRow(
            **structs.asdict(condition),
            **_outcomes(result),
            tenants_seen=result.tenants_seen,
            **_latencies(result),
            **_traffic(before, after, requests),
            cpu_us_request=cpu_s / requests * 1e6,
            core_share=cpu_s / result.seconds / scene.gateways,
            idle_core_share=idle_core_share,
            ready_s=ready_s,
            peak_mb=fleet.peak_memory() / MEGABYTE,
        )


def _measure_idle(processes: RunningScene) -> float:
    """The share of a core that a gateway uses without requests."""
    seconds, fleet = min(MAX_IDLE_S, processes.scene.seconds), processes.fleet
    cpu_before = fleet.cpu_seconds()
    fleet.wait(seconds)
    return (fleet.cpu_seconds() - cpu_before) / seconds / processes.scene.gateways


def _outcomes(result: LoadResult) -> dict[str, Any]:
    """Fields of a row: all requests, and each outcome."""
    return {
        "requests": sum(result.outcomes.values()),
        "served": result.outcomes[Outcome.SERVED],
        "rejected": result.outcomes[Outcome.REJECTED],
        "failed": result.outcomes[Outcome.FAILED],
        "lost": result.outcomes[Outcome.LOST],
        "wrong": result.outcomes[Outcome.WRONG],
    }


def _latencies(result: LoadResult) -> dict[str, Any]:
    """Fields of a row; none where no request was served."""
    if not result.outcomes[Outcome.SERVED]:
        return {}
    return {
        "latency_p50_ms": result.latency.p50 / 1e3,
        "latency_p99_ms": result.latency.p99 / 1e3,
        "added_p50_ms": result.added.p50 / 1e3,
        "added_p99_ms": result.added.p99 / 1e3,
    }


def _traffic(before: StandInStats, after: StandInStats, requests: int) -> dict[str, Any]:
    """Fields of a row: what came to the stand-ins meanwhile, some of it for each request."""
    servers, servers_before = after.rate_servers, before.rate_servers
    counter, counter_before = after.counter, before.counter
    counter_bytes = counter.bytes_in - counter_before.bytes_in + counter.bytes_out - counter_before.bytes_out
    return {
        "attempts": servers.attempts - servers_before.attempts,
        "late_attempts": servers.late_attempts - servers_before.late_attempts,
        "syntax_errors": servers.syntax_errors - servers_before.syntax_errors,
        "list_changes": after.discovery.changes - before.discovery.changes,
        "connects_request": (servers.connects - servers_before.connects) / requests,
        "counter_calls_request": (counter.calls - counter_before.calls) / requests,
        "counter_bytes_request": counter_bytes / requests,
    }


def measure_start(scene: Scene, condition: ConditionRow = UNCONDITIONAL) -> StartRow:
    """Measure how long a start takes with an endpoint list of this size, and its peak memory."""
    with running(scene) as processes:
        fleet = processes.fleet
        (ready_s,) = fleet.wait_ready()
        serving_s = fleet.gateways[0].wait_serving(SERVING_TIMEOUT_S)
        fleet.wait(SETTLE_S)
        return StartRow(
            **structs.asdict(condition),
            ready_s=ready_s,
            serving_s="never" if serving_s is None else serving_s,
            cpu_s=fleet.cpu_seconds(),
            peak_mb=fleet.peak_memory() / MEGABYTE,
        )


class _Observation(NamedTuple):
    used_removed: int  # endpoints removed that had had attempts
    stall_ms: float
    cpu_s: float


def _observe_removal(processes: RunningScene, pings: Worker, count: int, seconds: float) -> _Observation:
    """Remove so many endpoints in one message, and observe the gateway for so long."""
    fleet, used_removed = processes.fleet, 0
    pings.call(TakeLongestPing(), LongestPing)
    cpu_before = fleet.cpu_seconds()
    if count:
        used_removed = processes.stand_ins.call(RemoveEndpoints(count=count), RemovedEndpoints).used
    fleet.wait(seconds)
    stall_ms = pings.call(TakeLongestPing(), LongestPing).seconds * 1e3
    return _Observation(used_removed, stall_ms, fleet.cpu_seconds() - cpu_before)


def measure_changes(
    scene: Scene, burst: int, condition: ConditionRow = UNCONDITIONAL, observed_s: float = OBSERVED_S
) -> ChangesRow:
    """Measure the longest stall without a change, at one endpoint removed and at a burst, under load.

    `observed_s`: seconds for which each is observed; late attempts can be seen only beyond LATE_AFTER_S.
    """
    burst = min(burst, scene.size.rate_servers // 2)
    with running(scene) as processes, Worker("rushroad.bench.load") as pings:
        fleet = processes.fleet
        fleet.wait_ready()
        fleet.wait(SETTLE_S)
        pings.call(StartPings(gateway=fleet.gateways[0].address), Done)
        processes.start_load(4 * observed_s)
        before = processes.stand_in_stats()
        quiet = _observe_removal(processes, pings, 0, observed_s)
        one = _observe_removal(processes, pings, 1, observed_s)
        many = _observe_removal(processes, pings, burst, observed_s)
        result = processes.clients.receive(LoadResult)
        after = processes.stand_in_stats()
        return ChangesRow(
            **structs.asdict(condition),
            burst=burst,
            stall_quiet_ms=quiet.stall_ms,
            cpu_quiet_s=quiet.cpu_s,
            used_removed_one=one.used_removed,
            stall_one_ms=one.stall_ms,
            cpu_one_s=one.cpu_s,
            used_removed_burst=many.used_removed,
            stall_burst_ms=many.stall_ms,
            cpu_burst_s=many.cpu_s,
            **_outcomes(result),
            attempts=after.rate_servers.attempts - before.rate_servers.attempts,
            late_attempts=after.rate_servers.late_attempts - before.rate_servers.late_attempts,
            peak_mb=fleet.peak_memory() / MEGABYTE,
        )
