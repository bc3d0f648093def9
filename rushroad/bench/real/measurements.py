"""Measurements of a scenario, each of which returns one row."""

from __future__ import annotations

from typing import Any, NamedTuple

from msgspec import structs

from rushroad.bench.commands import (
    Done,
    FloodStats,
    GetFloodStats,
    LoadResult,
    LongestPing,
    Outcome,
    RemovedEndpoints,
    RemoveEndpoints,
    SetEndpointChurn,
    StandInStats,
    StartFlood,
    StartPings,
    TakeLongestPing,
)
from rushroad.bench.flood_size import FloodSize
from rushroad.bench.real.gateway_settings import FLOOD_PLAN, REQUEST_CLASS
from rushroad.bench.real.rows import ChangesRow, CostRow, FloodRow, StartRow
from rushroad.bench.real.scenario import CLIENT_DEADLINE_MS, RunningScenario, Scenario, run_scenario
from rushroad.bench.rows import ConditionRow
from rushroad.bench.worker import Worker

SETTLE_S = 1.0  # between the start and the first measurement
MAX_IDLE_S = 5.0  # longest measurement without requests
SERVING_TIMEOUT_S = 20.0  # from the first PONG to the first request served
OBSERVATION_S = 2.0  # after each removal, for stalls and late attempts
BYTES_PER_MB = 1_000_000
NO_CONDITION = ConditionRow()


def measure_cost(scenario: Scenario, condition: ConditionRow = NO_CONDITION) -> CostRow:
    """Measure the gateways without load, then under load."""
    with run_scenario(scenario) as processes:
        fleet = processes.fleet
        ready_s = max(fleet.wait_until_ready())
        fleet.monitor(SETTLE_S)
        churn = SetEndpointChurn(changes_per_s=scenario.list_changes_per_s)
        processes.stand_ins.call(churn, Done)
        idle_core_share = _measure_idle(processes)
        before, cpu_before = processes.stand_in_stats(), fleet.cpu_seconds()
        processes.start_load(scenario.seconds)
        fleet.monitor(scenario.seconds)
        result = processes.clients.receive(LoadResult)
        cpu_s, after = fleet.cpu_seconds() - cpu_before, processes.stand_in_stats()
        requests = sum(result.outcomes.values())
        return CostRow(
            **structs.asdict(condition),
            **_outcome_fields(result),
            tenants_seen=result.tenants_seen,
            **_latency_fields(result),
            **_traffic_fields(before, after, requests),
            cpu_us_per_request=cpu_s / requests * 1e6,
            core_share=cpu_s / result.seconds / scenario.gateways,
            idle_core_share=idle_core_share,
            ready_s=ready_s,
            peak_mb=fleet.peak_memory() / BYTES_PER_MB,
        )


def measure_flood(scenario: Scenario, flood: FloodSize, tenants: int, condition: ConditionRow) -> FloodRow:
    """Measure a gateway under load beside flooding clients, which begin SETTLE_S before the load.

    tenants: number of tenants that the flooding clients name; 0 for a new one in each command.
    """
    with run_scenario(scenario) as processes, Worker("rushroad.bench.flood") as flooder:
        fleet = processes.fleet
        fleet.wait_until_ready()
        start = StartFlood(
            gateway=fleet.gateways[0].address,
            connections=flood.connections,
            pipeline=flood.pipeline,
            tenants=tenants,
            deadline_ms=CLIENT_DEADLINE_MS,
            request_class=REQUEST_CLASS,
            plan=FLOOD_PLAN,
        )
        flooder.call(start, Done)
        fleet.monitor(SETTLE_S)
        answers_before, cpu_before = flooder.call(GetFloodStats(), FloodStats).answers, fleet.cpu_seconds()
        processes.start_load(scenario.seconds)
        fleet.monitor(scenario.seconds)
        answers, cpu_s = flooder.call(GetFloodStats(), FloodStats).answers, fleet.cpu_seconds() - cpu_before
        result = processes.clients.receive(LoadResult)
        return FloodRow(
            **structs.asdict(condition),
            **_outcome_fields(result),
            **_flood_latency_fields(result),
            flood_answers_per_s=(answers - answers_before) / scenario.seconds,
            core_share=cpu_s / scenario.seconds,
            peak_mb=fleet.peak_memory() / BYTES_PER_MB,
        )


def _flood_latency_fields(result: LoadResult) -> dict[str, Any]:
    fields = _latency_fields(result)
    names = ("latency_p50_ms", "latency_p99_ms")
    return {name: fields[name] for name in names if name in fields} | (
        {"latency_max_ms": result.latency.max / 1e3} if fields else {}
    )


def _measure_idle(processes: RunningScenario) -> float:
    """Return the fraction of a core that a gateway uses without load."""
    seconds, fleet = min(MAX_IDLE_S, processes.scenario.seconds), processes.fleet
    cpu_before = fleet.cpu_seconds()
    fleet.monitor(seconds)
    return (fleet.cpu_seconds() - cpu_before) / seconds / processes.scenario.gateways


def _outcome_fields(result: LoadResult) -> dict[str, Any]:
    """Return the fields of a row for the number of requests and their outcomes."""
    return {
        "requests": sum(result.outcomes.values()),
        "served": result.outcomes[Outcome.SERVED],
        "rejected": result.outcomes[Outcome.REJECTED],
        "failed": result.outcomes[Outcome.FAILED],
        "lost": result.outcomes[Outcome.LOST],
        "wrong": result.outcomes[Outcome.WRONG],
    }


def _latency_fields(result: LoadResult) -> dict[str, Any]:
    """Return the fields of a row for latencies; none if no request was served."""
    if not result.outcomes[Outcome.SERVED]:
        return {}
    return {
        "latency_p50_ms": result.latency.p50 / 1e3,
        "latency_p99_ms": result.latency.p99 / 1e3,
        "added_p50_ms": result.added.p50 / 1e3,
        "added_p99_ms": result.added.p99 / 1e3,
    }


def _traffic_fields(before: StandInStats, after: StandInStats, requests: int) -> dict[str, Any]:
    """Return the fields of a row for the traffic at the stand-ins, in total or per request."""
    servers, servers_before = after.rate_servers, before.rate_servers
    counter, counter_before = after.counter, before.counter
    counter_bytes = counter.bytes_in - counter_before.bytes_in + counter.bytes_out - counter_before.bytes_out
    return {
        "attempts": servers.attempts - servers_before.attempts,
        "late_attempts": servers.late_attempts - servers_before.late_attempts,
        "syntax_errors": servers.syntax_errors - servers_before.syntax_errors,
        "list_changes": after.discovery.changes - before.discovery.changes,
        "connects_per_request": (servers.connects - servers_before.connects) / requests,
        "counter_calls_per_request": (counter.calls - counter_before.calls) / requests,
        "counter_bytes_per_request": counter_bytes / requests,
    }


def measure_start(scenario: Scenario, condition: ConditionRow = NO_CONDITION) -> StartRow:
    """Measure the start time and the peak memory of a gateway with an endpoint list of this size."""
    with run_scenario(scenario) as processes:
        fleet = processes.fleet
        (ready_s,) = fleet.wait_until_ready()
        serving_s = fleet.gateways[0].wait_until_serving(SERVING_TIMEOUT_S)
        fleet.monitor(SETTLE_S)
        return StartRow(
            **structs.asdict(condition),
            ready_s=ready_s,
            serving_s="never" if serving_s is None else serving_s,
            cpu_s=fleet.cpu_seconds(),
            peak_mb=fleet.peak_memory() / BYTES_PER_MB,
        )


class _Observation(NamedTuple):
    used_removed: int  # removed endpoints that had received attempts
    stall_ms: float
    cpu_s: float


def _observe_removal(processes: RunningScenario, pinger: Worker, count: int, seconds: float) -> _Observation:
    """Remove `count` endpoints in one message, then observe the gateway for `seconds`."""
    fleet, used_removed = processes.fleet, 0
    pinger.call(TakeLongestPing(), LongestPing)
    cpu_before = fleet.cpu_seconds()
    if count:
        used_removed = processes.stand_ins.call(RemoveEndpoints(count=count), RemovedEndpoints).used
    fleet.monitor(seconds)
    stall_ms = pinger.call(TakeLongestPing(), LongestPing).seconds * 1e3
    return _Observation(used_removed, stall_ms, fleet.cpu_seconds() - cpu_before)


def measure_changes(
    scenario: Scenario,
    burst: int,
    condition: ConditionRow = NO_CONDITION,
    observation_s: float = OBSERVATION_S,
) -> ChangesRow:
    """Measure the longest stall under load: without a change, as one endpoint is removed, and as a burst is.

    Each of the three is observed for `observation_s`; late attempts are detected only if this is longer than
    rate_servers.LATE_AFTER_S.
    """
    burst = min(burst, scenario.size.rate_servers // 2)
    with run_scenario(scenario) as processes, Worker("rushroad.bench.load") as pinger:
        fleet = processes.fleet
        fleet.wait_until_ready()
        fleet.monitor(SETTLE_S)
        pinger.call(StartPings(gateway=fleet.gateways[0].address), Done)
        processes.start_load(4 * observation_s)  # outlasts the three observations
        before = processes.stand_in_stats()
        quiet = _observe_removal(processes, pinger, 0, observation_s)
        one = _observe_removal(processes, pinger, 1, observation_s)
        many = _observe_removal(processes, pinger, burst, observation_s)
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
            **_outcome_fields(result),
            attempts=after.rate_servers.attempts - before.rate_servers.attempts,
            late_attempts=after.rate_servers.late_attempts - before.rate_servers.late_attempts,
            peak_mb=fleet.peak_memory() / BYTES_PER_MB,
        )
