"""The experiment `zone-lost`: a zone's rate servers go silent, leave the endpoint list and restart."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace

import msgspec
from msgspec import UNSET, UnsetType

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.report import Run
from rushroad.bench.rows import Row
from rushroad.bench.simulated.fleet import SETTLING_TIME, Fleet
from rushroad.bench.simulated.fleet_settings import FLEET_SETTINGS
from rushroad.bench.simulated.rate_server import SimulatedRateServer, endpoint_name
from rushroad.bench.simulated.simulation import SECOND, Metric
from rushroad.bench.simulated.subsets import gateways_of_endpoint
from rushroad.policy.events import EndpointState

SILENT_TIME = 2 * SECOND  # until the lost zone leaves the endpoint list
OUTAGE_TIME = 14 * SECOND  # from the loss of the zone to its restart; outages last up to 14 s
RECOVERY_TIME = 10 * SECOND  # after the warm-up of the zone
MAX_FULLY_SIMULATED_SERVERS = 8  # of the lost zone, if not all gateways are simulated
BASELINE_S = 2  # reported before the loss of the zone


class ZoneLostRow(Row, frozen=True, kw_only=True):
    """Counts of one second, or their sum over the run."""

    size: str
    zones: int
    second: int | str  # since the loss of the zone; "all" for the sum
    simulated_gateways: int | UnsetType = msgspec.field(name="emulated", default=UNSET)  # in the sum only
    fully_simulated_servers: int | UnsetType = msgspec.field(name="whole_cold", default=UNSET)
    requests: int = msgspec.field(name="asked")
    served: int
    rejected: int = msgspec.field(name="refused")
    failed: int
    attempts: int
    attempts_unavailable: int = msgspec.field(name="attempts_gone")  # to down or silent rate servers
    crashes: int = msgspec.field(name="falls")
    connects: int


def run_zone_lost(sizes: Sequence[FleetSize], zones: Sequence[int], max_gateways: int, seed: int) -> Run:
    """For each number of zones, lose one zone and restore it; reports counts of each second.

    In fleets with more than `max_gateways` gateways, those that share some of the zone's rate servers are
    simulated; the column `whole_cold` has the number of these rate servers. The other gateways' requests to
    warm rate servers increase by the zone's share from its loss until the end of its warm-up. Their requests
    to servers that warm up are not modelled, so crashes are complete only for the rate servers counted in
    `whole_cold`.
    """
    parameters = {"sizes": [str(size) for size in sizes], "zones": list(zones), "most": max_gateways}
    run = Run("zone-lost", seed, parameters)
    for size in sizes:
        for zone_count in zones:
            scenario = _scenario(size, zone_count, max_gateways, seed)
            _simulate_outage(scenario)
            for row in _rows(scenario):
                run.add_row(row)
    return run


@dataclass(frozen=True, slots=True)
class _Scenario:
    fleet: Fleet
    zones: int
    lost: list[SimulatedRateServer]  # rate servers of the lost zone
    fully_simulated_servers: int  # of the lost zone, all of whose gateways are simulated


def _scenario(size: FleetSize, zones: int, max_gateways: int, seed: int) -> _Scenario:
    gateways_of = gateways_of_endpoint(size)
    all_simulated = size.gateways <= max_gateways
    observed = [endpoint_name(number) for number in range(0, size.rate_servers, zones)][
        :MAX_FULLY_SIMULATED_SERVERS
    ]
    sharing = {index for name in observed for index in gateways_of(name)}
    fleet = Fleet(size, seed, sample=sorted(range(size.gateways) if all_simulated else sharing), zones=zones)
    lost = [server for server in fleet.rate_servers.values() if server.zone == 0]
    return _Scenario(fleet, zones, lost, len(lost) if all_simulated else len(observed))


def _simulate_outage(scenario: _Scenario) -> None:
    fleet, lost = scenario.fleet, scenario.lost
    remaining = max(1, fleet.size.rate_servers - len(lost))
    fleet.start_background_load(
        gateways_of_endpoint(fleet.size),
        gateways_of_endpoint(replace(fleet.size, rate_servers=remaining)),
    )
    fleet.run(SETTLING_TIME)
    for server in lost:
        server.silent = True
    fleet.background_load.rate_factor = fleet.size.rate_servers / remaining
    fleet.run(SILENT_TIME)
    fleet.notify_gateways([server.endpoint(EndpointState.REMOVED) for server in lost])
    fleet.run(OUTAGE_TIME - SILENT_TIME)
    for server in lost:
        server.start()
    fleet.notify_gateways([server.endpoint() for server in lost])
    fleet.run(FLEET_SETTINGS.safety.warm_up_time)
    fleet.background_load.rate_factor = 1.0
    fleet.run(RECOVERY_TIME)


def _rows(scenario: _Scenario) -> list[ZoneLostRow]:
    simulation, lost_at_s = scenario.fleet.simulation, SETTLING_TIME // SECOND
    first_s, last_s = lost_at_s - BASELINE_S, simulation.elapsed_s
    rows = [
        _row(scenario, second - lost_at_s, simulation.counts(second, second + 1))
        for second in range(first_s, last_s)
    ]
    total = _row(scenario, "all", simulation.counts(first_s, last_s))
    simulated = len(scenario.fleet.gateways)
    return [
        *rows,
        msgspec.structs.replace(
            total, simulated_gateways=simulated, fully_simulated_servers=scenario.fully_simulated_servers
        ),
    ]


def _row(scenario: _Scenario, second: int | str, counts: Counter[str]) -> ZoneLostRow:
    return ZoneLostRow(
        size=str(scenario.fleet.size),
        zones=scenario.zones,
        second=second,
        requests=counts[Metric.REQUESTS],
        served=counts[Metric.SERVED],
        rejected=counts[Metric.REJECTED],
        failed=counts[Metric.FAILED],
        attempts=counts[Metric.ATTEMPTS],
        attempts_unavailable=counts[Metric.UNAVAILABLE],
        crashes=counts[Metric.CRASHES],
        connects=counts[Metric.CONNECTS],
    )
