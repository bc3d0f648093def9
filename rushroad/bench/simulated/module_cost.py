"""The experiment `module-cost`: CPU time and memory of one gateway's decision policy, by fleet size."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import replace
from typing import NamedTuple

import msgspec

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.report import Run, fit_row
from rushroad.bench.rows import Row
from rushroad.bench.simulated.fleet import ZONES, Fleet
from rushroad.bench.simulated.fleet_settings import FLEET_SETTINGS
from rushroad.bench.simulated.policy_observer import CountingGateway
from rushroad.bench.simulated.rate_server import CELL_SIZE, endpoint_name
from rushroad.bench.simulated.simulation import SECOND, START_TIME
from rushroad.policy.actions import SetTimer
from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, TimerFired, UpdateKind
from rushroad.policy.gateway import Gateway

WARM_UP_REQUEST_FRACTION = 0.2  # requests sent before the measurement, relative to those measured
MAX_OBSERVED_REQUESTS = 100  # for which the examined endpoints are counted
CHANGED_ENDPOINTS = 100  # each changed in its own message, then all in one
CPU_LIMIT_CHECK_INTERVAL = SECOND // 10  # in virtual time
BYTES_PER_MB = 1_000_000


class ModuleCostRow(Row, frozen=True, kw_only=True):
    """The cost of one gateway's policy at one fleet size."""

    gateways: int
    servers: int
    requests: int
    cpu_us_per_request: float = msgspec.field(name="us_request")
    endpoints_examined: float = msgspec.field(name="looked_at")  # mean per request
    cpu_us_per_change: float = msgspec.field(name="us_change")  # each endpoint in its own message
    cpu_us_per_batched_change: float = msgspec.field(name="us_change_in_100")  # 100 endpoints in a message
    list_ms: float  # CPU time for a full endpoint list
    list_held_mb: float
    list_peak_mb: float


class _RequestCost(NamedTuple):
    requests: int
    cpu_us_per_request: float


class _ChangeCost(NamedTuple):
    cpu_us_per_change: float
    cpu_us_per_batched_change: float


class _ListCost(NamedTuple):
    list_ms: float
    list_held_mb: float
    list_peak_mb: float


def run_module_cost(sizes: Sequence[FleetSize], requests: int, cpu_limit_s: float, seed: int) -> Run:
    """Measure the policy of one gateway for each fleet size, without faults at the rate servers.

    `cpu_limit_s` is the CPU time after which the measurement of a size stops early; its row has the number of
    requests until then.
    """
    names = [str(size) for size in sizes]
    run = Run("module-cost", seed, {"sizes": names, "requests": requests, "patience": cpu_limit_s})
    points = []
    for size in sizes:
        fleet = Fleet(size, seed, sample=[0])
        request_cost = _measure_requests(fleet, requests, cpu_limit_s)
        examined = _measure_endpoints_examined(size, seed, min(MAX_OBSERVED_REQUESTS, request_cost.requests))
        change_cost, list_cost = _measure_changes(fleet), _measure_endpoint_list(size)
        points.append((float(size.rate_servers), request_cost.cpu_us_per_request))
        run.add_row(
            ModuleCostRow(
                gateways=size.gateways,
                servers=size.rate_servers,
                requests=request_cost.requests,
                cpu_us_per_request=request_cost.cpu_us_per_request,
                endpoints_examined=examined,
                cpu_us_per_change=change_cost.cpu_us_per_change,
                cpu_us_per_batched_change=change_cost.cpu_us_per_batched_change,
                list_ms=list_cost.list_ms,
                list_held_mb=list_cost.list_held_mb,
                list_peak_mb=list_cost.list_peak_mb,
            )
        )
    if len({servers for servers, _ in points}) > 1:
        run.add_row(fit_row("us_request by servers", points))
    return run


def _measure_requests(fleet: Fleet, requests: int, cpu_limit_s: float) -> _RequestCost:
    gateway, rate = fleet.gateways[0], fleet.size.request_rate
    fleet.run(int(WARM_UP_REQUEST_FRACTION * requests / rate * SECOND))
    start_ns, end = gateway.policy_cpu_ns, fleet.simulation.now + int(requests / rate * SECOND)
    before = fleet.request_count()
    while fleet.simulation.now < end and gateway.policy_cpu_ns - start_ns < cpu_limit_s * 1e9:
        fleet.run(CPU_LIMIT_CHECK_INTERVAL)
    count = fleet.request_count() - before
    return _RequestCost(count, (gateway.policy_cpu_ns - start_ns) / 1e3 / max(1, count))


def _measure_endpoints_examined(size: FleetSize, seed: int, requests: int) -> float:
    """Return the mean number of endpoints examined to choose one for a request."""
    fleet = Fleet(size, seed, sample=[0], policy_class=CountingGateway)
    policy = fleet.gateways[0].policy
    assert isinstance(policy, CountingGateway)
    fleet.run(int(requests / size.request_rate * SECOND))
    return policy.examined / max(1, fleet.request_count())


def _measure_changes(fleet: Fleet) -> _ChangeCost:
    """Notify the gateway of restarted endpoints, first in a message for each, then in one for all."""
    gateway, now = fleet.gateways[0], fleet.simulation.now
    endpoints = list(fleet.initial_endpoints.values())[:CHANGED_ENDPOINTS]
    start_ns = gateway.policy_cpu_ns
    for endpoint in endpoints:
        gateway.notify([msgspec.structs.replace(endpoint, started_at=now)])
    single_ns = gateway.policy_cpu_ns - start_ns
    gateway.notify([msgspec.structs.replace(endpoint, started_at=now + 1) for endpoint in endpoints])
    batch_ns = gateway.policy_cpu_ns - start_ns - single_ns
    return _ChangeCost(single_ns / 1e3 / len(endpoints), batch_ns / 1e3 / len(endpoints))


def _measure_endpoint_list(size: FleetSize) -> _ListCost:
    """Measure the CPU time of a new gateway for a full endpoint list, and the memory it retains."""
    start_ns = time.thread_time_ns()
    _load_endpoint_list(size, _endpoints(size))
    cpu_ns = time.thread_time_ns() - start_ns
    gc.collect()
    tracemalloc.start()
    gateway = _load_endpoint_list(size, _endpoints(size))
    gc.collect()
    retained, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del gateway
    return _ListCost(cpu_ns / 1e6, retained / BYTES_PER_MB, peak / BYTES_PER_MB)


def _endpoints(size: FleetSize) -> tuple[Endpoint, ...]:
    return tuple(
        Endpoint(
            endpoint_name(number),
            EndpointState.READY,
            endpoint_class_index=number % 2,
            zone=number % ZONES,
            cell=number // (ZONES * CELL_SIZE),
        )
        for number in range(size.rate_servers)
    )


def _load_endpoint_list(size: FleetSize, endpoints: tuple[Endpoint, ...]) -> Gateway:
    gateway, now = Gateway(replace(FLEET_SETTINGS, fleet_size=size.gateways), 1, START_TIME), START_TIME
    actions = gateway.handle(now, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, endpoints))
    while timers := [action for action in actions if isinstance(action, SetTimer)]:
        now += max(FLEET_SETTINGS.tick, timers[0].delay)
        actions = gateway.handle(now, TimerFired(timers[0].token))
    return gateway
