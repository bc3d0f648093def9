"""The experiment `restart-tenth`: a tenth of a fleet's gateways restarts at once."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import msgspec

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.report import Run
from rushroad.bench.rows import Row
from rushroad.bench.simulated.fleet import SETTLING_TIME, Fleet
from rushroad.bench.simulated.simulation import SECOND, Tally
from rushroad.bench.simulated.subsets import gateways_of_endpoint

DOWN_TIME = 3 * SECOND  # of a gateway that restarts; 1.1 to 7.6 s were seen
RECOVERY_TIME = 10 * SECOND  # observed after the restart


class RestartRow(Row, frozen=True, kw_only=True):
    """One phase of a restart; the counts are means a second."""

    size: str
    simulated_gateways: int = msgspec.field(name="emulated")
    restarted: int
    phase: str
    requests: float = msgspec.field(name="asked")
    served: float
    rejected: float = msgspec.field(name="refused")
    failed: float
    lost: float
    connects: float


class _Phase(NamedTuple):
    name: str
    since: int  # seconds from the start of the run
    until: int


def restart_tenth(sizes: Sequence[FleetSize], max_gateways: int, seed: int) -> Run:
    """Stop a tenth of the gateways at once and start them again; counts a second of each phase.

    Of fleets of more than `max_gateways` gateways so many are simulated, drawn at random. The others do not
    restart then.
    """
    run = Run("restart-tenth", seed, {"sizes": [str(size) for size in sizes], "most": max_gateways})
    for size in sizes:
        sample = sorted(Random(seed).sample(range(size.gateways), min(max_gateways, size.gateways)))
        fleet = Fleet(size, seed, sample=sample)
        restarted = _restart(fleet)
        back = (SETTLING_TIME + DOWN_TIME) // SECOND
        phases = (
            _Phase("before", back // 2, SETTLING_TIME // SECOND),
            _Phase("down", SETTLING_TIME // SECOND, back),
            _Phase("back, first 2 s", back, back + 2),
            _Phase("after", back + 2, fleet.simulation.second),
        )
        for phase in phases:
            run.add_row(_phase_row(fleet, restarted, phase))
    return run


def _restart(fleet: Fleet) -> int:
    """Run the fleet through the restart; returns how many gateways restarted."""
    fleet.start_background_load(gateways_of_endpoint(fleet.size))
    fleet.run(SETTLING_TIME)
    gateways = list(fleet.gateways.values())
    restarting = fleet.simulation.random.sample(gateways, max(1, len(gateways) // 10))
    for gateway in restarting:
        gateway.stop()
    fleet.run(DOWN_TIME)
    for gateway in restarting:
        gateway.start()
    fleet.run(RECOVERY_TIME)
    return len(restarting)


def _phase_row(fleet: Fleet, restarted: int, phase: _Phase) -> RestartRow:
    counts, seconds = fleet.simulation.counts(phase.since, phase.until), phase.until - phase.since
    return RestartRow(
        size=str(fleet.size),
        simulated_gateways=len(fleet.gateways),
        restarted=restarted,
        phase=phase.name,
        requests=counts[Tally.REQUESTS] / seconds,
        served=counts[Tally.SERVED] / seconds,
        rejected=counts[Tally.REJECTED] / seconds,
        failed=counts[Tally.FAILED] / seconds,
        lost=counts[Tally.LOST] / seconds,
        connects=counts[Tally.CONNECTS] / seconds,
    )
