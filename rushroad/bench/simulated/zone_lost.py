"""The experiment `zone-lost`: a zone's rate servers go silent, leave the endpoint list, and come back."""

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
from rushroad.bench.simulated.simulation import SECOND, Tally
from rushroad.bench.simulated.subsets import gateways_of_endpoint
from rushroad.policy.events import EndpointState

SILENT_TIME = 2 * SECOND  # until the lost zone leaves the endpoint list
AWAY_TIME = 14 * SECOND  # of the zone in all; up to so long was seen
RECOVERY_TIME = 10 * SECOND  # observed after the zone has warmed up
WHOLLY_SIMULATED = 8  # rate servers of the zone whose gateways are all simulated, where not all can be
SECONDS_BEFORE = 2  # that are shown before the zone is lost


class ZoneLostRow(Row, frozen=True, kw_only=True):
    """Counts of one second, or of all of them."""

    size: str
    zones: int
    second: int | str  # from the loss of the zone; "all": the sum
    simulated_gateways: int | UnsetType = msgspec.field(name="emulated", default=UNSET)  # with the sum only
    wholly_simulated: int | UnsetType = msgspec.field(name="whole_cold", default=UNSET)
    requests: int = msgspec.field(name="asked")
    served: int
    rejected: int = msgspec.field(name="refused")
    failed: int
    attempts: int
    attempts_unavailable: int = msgspec.field(name="attempts_gone")  # to rate servers down or silent
    crashes: int = msgspec.field(name="falls")
    connects: int


def zone_lost(sizes: Sequence[FleetSize], zones: Sequence[int], max_gateways: int, seed: int) -> Run:
    """Lose one of so many zones and take it back; counts of each second.

    Of fleets of more than `max_gateways` gateways, all that share some of the zone's rate servers are
    simulated; `whole_cold` says of how many. What others send to warm rate servers grows by what the zone
    had, from its loss until it is warm again; what they send to servers that warm up is left out, so only at
    those of `whole_cold` are all crashes seen.
    """
    parameters = {"sizes": [str(size) for size in sizes], "zones": list(zones), "most": max_gateways}
    run = Run("zone-lost", seed, parameters)
    for size in sizes:
        for number in zones:
            scenario = _scenario(size, number, max_gateways, seed)
            _lose_zone(scenario)
            for row in _rows(scenario):
                run.add_row(row)
    return run


@dataclass(frozen=True, slots=True)
class _Scenario:
    fleet: Fleet
    zones: int
    lost: list[SimulatedRateServer]  # the zone's
    wholly_simulated: int


def _scenario(size: FleetSize, zones: int, max_gateways: int, seed: int) -> _Scenario:
    gateways_of = gateways_of_endpoint(size)
    all_simulated = size.gateways <= max_gateways
    observed = [endpoint_name(number) for number in range(0, size.rate_servers, zones)][:WHOLLY_SIMULATED]
    sharing = {index for name in observed for index in gateways_of(name)}
    fleet = Fleet(size, seed, sample=sorted(range(size.gateways) if all_simulated else sharing), zones=zones)
    lost = [server for server in fleet.rate_servers.values() if server.zone == 0]
    return _Scenario(fleet, zones, lost, len(lost) if all_simulated else len(observed))


def _lose_zone(scenario: _Scenario) -> None:
    fleet, lost = scenario.fleet, scenario.lost
    remaining = max(1, fleet.size.rate_servers - len(lost))
    fleet.start_background_load(
        gateways_of_endpoint(fleet.size),
        gateways_of_endpoint(replace(fleet.size, rate_servers=remaining)),
    )
    fleet.run(SETTLING_TIME)
    for server in lost:
        server.silent = True
    fleet.background.factor = fleet.size.rate_servers / remaining
    fleet.run(SILENT_TIME)
    fleet.notify_gateways([server.endpoint(EndpointState.REMOVED) for server in lost])
    fleet.run(AWAY_TIME - SILENT_TIME)
    for server in lost:
        server.start()
    fleet.notify_gateways([server.endpoint() for server in lost])
    fleet.run(FLEET_SETTINGS.safety.warm_up_time)
    fleet.background.factor = 1.0
    fleet.run(RECOVERY_TIME)


def _rows(scenario: _Scenario) -> list[ZoneLostRow]:
    simulation, lost_at = scenario.fleet.simulation, SETTLING_TIME // SECOND
    first, last = lost_at - SECONDS_BEFORE, simulation.second
    rows = [
        _row(scenario, second - lost_at, simulation.counts(second, second + 1))
        for second in range(first, last)
    ]
    total = _row(scenario, "all", simulation.counts(first, last))
    simulated = len(scenario.fleet.gateways)
    return [
        *rows,
        msgspec.structs.replace(
            total, simulated_gateways=simulated, wholly_simulated=scenario.wholly_simulated
        ),
    ]


def _row(scenario: _Scenario, second: int | str, counts: Counter[str]) -> ZoneLostRow:
    return ZoneLostRow(
        size=str(scenario.fleet.size),
        zones=scenario.zones,
        second=second,
        requests=counts[Tally.REQUESTS],
        served=counts[Tally.SERVED],
        rejected=counts[Tally.REJECTED],
        failed=counts[Tally.FAILED],
        attempts=counts[Tally.ATTEMPTS],
        attempts_unavailable=counts[Tally.UNAVAILABLE],
        crashes=counts[Tally.CRASHES],
        connects=counts[Tally.CONNECTS],
    )
