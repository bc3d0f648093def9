"""The experiment `restart-tenth`: a tenth of a fleet's gateways restart at once."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import msgspec

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.report import Run
from rushroad.bench.rows import Row
from rushroad.bench.simulated.fleet import SETTLING_TIME, Fleet
from rushroad.bench.simulated.simulation import SECOND, Metric
from rushroad.bench.simulated.subsets import gateways_of_endpoint

DOWN_TIME = 3 * SECOND  # of a restarting gateway; restarts take 1.1 to 7.6 s
RECOVERY_TIME = 10 * SECOND  # observed after the restart


class RestartRow(Row, frozen=True, kw_only=True):
    """One phase of a restart; counts are means per second."""

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
    start_s: int  # seconds from the start of the run
    end_s: int


def run_restart_tenth(sizes: Sequence[FleetSize], max_gateways: int, seed: int) -> Run:
    """Stop a tenth of the gateways at once and start them again; reports counts per second by phase.

    In fleets with more than `max_gateways` gateways, a random sample of that size is simulated. The others do
    not restart.
    """
    run = Run("restart-tenth", seed, {"sizes": [str(size) for size in sizes], "most": max_gateways})
    for size in sizes:
        sample = sorted(Random(seed).sample(range(size.gateways), min(max_gateways, size.gateways)))
        fleet = Fleet(size, seed, sample=sample)
        restarted = _restart_gateways(fleet)
        back_s = (SETTLING_TIME + DOWN_TIME) // SECOND
        phases = (
            _Phase("before", back_s // 2, SETTLING_TIME // SECOND),
            _Phase("down", SETTLING_TIME // SECOND, back_s),
            _Phase("back, first 2 s", back_s, back_s + 2),
            _Phase("after", back_s + 2, fleet.simulation.elapsed_s),
        )
        for phase in phases:
            run.add_row(_phase_row(fleet, restarted, phase))
    return run


def _restart_gateways(fleet: Fleet) -> int:
    """Run the fleet through the restart; returns the number of restarted gateways."""
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
    counts, seconds = fleet.simulation.counts(phase.start_s, phase.end_s), phase.end_s - phase.start_s
    return RestartRow(
        size=str(fleet.size),
        simulated_gateways=len(fleet.gateways),
        restarted=restarted,
        phase=phase.name,
        requests=counts[Metric.REQUESTS] / seconds,
        served=counts[Metric.SERVED] / seconds,
        rejected=counts[Metric.REJECTED] / seconds,
        failed=counts[Metric.FAILED] / seconds,
        lost=counts[Metric.LOST] / seconds,
        connects=counts[Metric.CONNECTS] / seconds,
    )
