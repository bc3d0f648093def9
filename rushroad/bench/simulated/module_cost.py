"""The experiment `module-cost`: what the decision policy of one gateway costs, by the size of its fleet."""

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
from rushroad.bench.simulated.simulation import SECOND, START
from rushroad.policy.actions import SetTimer
from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, TimerFired, UpdateKind
from rushroad.policy.gateway import Gateway

WARM_UP_SHARE = 0.2  # of the requests; they come first and are not counted
MAX_REQUESTS_EXAMINED = 100  # requests over which the endpoints examined are counted
CHANGED_ENDPOINTS = 100  # changed in a message each, and then once all in one message
SLICE = SECOND // 10  # of the virtual clock, between checks of the processor time that remains
MEGABYTE = 1_000_000  # bytes


class ModuleCostRow(Row, frozen=True, kw_only=True):
    """The cost of one gateway's policy in a fleet of one size."""

    gateways: int
    servers: int
    requests: int
    us_request: float
    endpoints_examined: float = msgspec.field(name="looked_at")  # for a request, in the mean
    us_change: float  # for a changed endpoint, alone in its message
    us_change_in_100: float  # for a changed endpoint, among 100 in one message
    list_ms: float  # to take a whole endpoint list
    list_held_mb: float
    list_peak_mb: float


class _RequestCost(NamedTuple):
    requests: int
    us_request: float


class _ChangeCost(NamedTuple):
    us_change: float
    us_change_in_100: float


class _ListCost(NamedTuple):
    list_ms: float
    list_held_mb: float
    list_peak_mb: float


def module_cost(sizes: Sequence[FleetSize], requests: int, patience: float, seed: int) -> Run:
    """Measure the policy of one gateway of each fleet, before rate servers that all answer well.

    `patience` is the processor time in seconds after which a size's requests end early; its row says how many
    there were.
    """
    names = [str(size) for size in sizes]
    run = Run("module-cost", seed, {"sizes": names, "requests": requests, "patience": patience})
    points = []
    for size in sizes:
        fleet = Fleet(size, seed, sample=[0])
        request_cost = _measure_requests(fleet, requests, patience)
        examined = _count_examined(size, seed, min(MAX_REQUESTS_EXAMINED, request_cost.requests))
        change_cost, list_cost = _measure_changes(fleet), _measure_list(size)
        points.append((float(size.rate_servers), request_cost.us_request))
        run.add_row(
            ModuleCostRow(
                gateways=size.gateways,
                servers=size.rate_servers,
                requests=request_cost.requests,
                us_request=request_cost.us_request,
                endpoints_examined=examined,
                us_change=change_cost.us_change,
                us_change_in_100=change_cost.us_change_in_100,
                list_ms=list_cost.list_ms,
                list_held_mb=list_cost.list_held_mb,
                list_peak_mb=list_cost.list_peak_mb,
            )
        )
    if len({servers for servers, _ in points}) > 1:
        run.add_row(fit_row("us_request by servers", points))
    return run


def _measure_requests(fleet: Fleet, requests: int, patience: float) -> _RequestCost:
    gateway, rate = fleet.gateways[0], fleet.size.request_rate
    fleet.run(int(WARM_UP_SHARE * requests / rate * SECOND))
    began_ns, end = gateway.policy_time_ns, fleet.simulation.now + int(requests / rate * SECOND)
    before = fleet.requests_so_far()
    while fleet.simulation.now < end and gateway.policy_time_ns - began_ns < patience * 1e9:
        fleet.run(SLICE)
    count = fleet.requests_so_far() - before
    return _RequestCost(count, (gateway.policy_time_ns - began_ns) / 1e3 / max(1, count))


def _count_examined(size: FleetSize, seed: int, requests: int) -> float:
    """The mean number of endpoints that the choice for a request examines."""
    fleet = Fleet(size, seed, sample=[0], policy_class=CountingGateway)
    policy = fleet.gateways[0].policy
    assert isinstance(policy, CountingGateway)
    fleet.run(int(requests / size.request_rate * SECOND))
    return policy.examined / max(1, fleet.requests_so_far())


def _measure_changes(fleet: Fleet) -> _ChangeCost:
    """Notify the gateway of restarted endpoints: one a message, then all in one message."""
    gateway, now = fleet.gateways[0], fleet.simulation.now
    endpoints = list(fleet.initial_endpoints.values())[:CHANGED_ENDPOINTS]
    began_ns = gateway.policy_time_ns
    for endpoint in endpoints:
        gateway.notify([msgspec.structs.replace(endpoint, started_at=now)])
    alone_ns = gateway.policy_time_ns - began_ns
    gateway.notify([msgspec.structs.replace(endpoint, started_at=now + 1) for endpoint in endpoints])
    together_ns = gateway.policy_time_ns - began_ns - alone_ns
    return _ChangeCost(alone_ns / 1e3 / len(endpoints), together_ns / 1e3 / len(endpoints))


def _measure_list(size: FleetSize) -> _ListCost:
    """Processor time of a new gateway for a whole endpoint list, and the memory that it then holds."""
    began_ns = time.thread_time_ns()
    _take_list(size, _endpoints(size))
    took_ns = time.thread_time_ns() - began_ns
    gc.collect()
    tracemalloc.start()
    gateway = _take_list(size, _endpoints(size))
    gc.collect()
    in_use, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del gateway
    return _ListCost(took_ns / 1e6, in_use / MEGABYTE, peak / MEGABYTE)


def _endpoints(size: FleetSize) -> tuple[Endpoint, ...]:
    return tuple(
        Endpoint(
            endpoint_name(number),
            EndpointState.READY,
            endpoint_class=number % 2,
            zone=number % ZONES,
            cell=number // (ZONES * CELL_SIZE),
        )
        for number in range(size.rate_servers)
    )


def _take_list(size: FleetSize, endpoints: tuple[Endpoint, ...]) -> Gateway:
    gateway, now = Gateway(replace(FLEET_SETTINGS, fleet_size=size.gateways), 1, START), START
    actions = gateway.handle(now, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, endpoints))
    while timers := [action for action in actions if isinstance(action, SetTimer)]:
        now += max(FLEET_SETTINGS.tick, timers[0].delay)
        actions = gateway.handle(now, TimerFired(timers[0].token))
    return gateway
