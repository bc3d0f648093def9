"""The experiment `cold-fleet`: the load on a rate server from all its gateways while it warms up."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from statistics import fmean

import msgspec

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.report import Run
from rushroad.bench.rows import Row
from rushroad.bench.simulated.fleet import SETTLING_TIME, Fleet
from rushroad.bench.simulated.fleet_settings import FLEET_SETTINGS
from rushroad.bench.simulated.rate_server import WarmUpArrival, endpoint_name
from rushroad.bench.simulated.simulation import SECOND
from rushroad.bench.simulated.subsets import gateways_of_endpoint


class WarmUpWindowRow(Row, frozen=True, kw_only=True):
    """One overload window since the start of the rate server, over all trials."""

    size: str
    window_start_s: float = msgspec.field(name="from_s")
    attempts_mean: float
    attempts_max: int
    allowed_mean: float = msgspec.field(name="bears_mean")  # attempts in the window before a crash
    max_load: float = msgspec.field(name="nearest")  # peak ratio of attempts to those allowed


class WarmUpTotalRow(Row, frozen=True, kw_only=True):
    """All trials at one fleet size."""

    size: str
    trials: int
    simulated_gateways: int = msgspec.field(name="emulated")
    sharing_gateways: int = msgspec.field(name="sharers")  # that may send to the rate server
    crashes: int = msgspec.field(name="falls")
    max_load: float = msgspec.field(name="nearest")


@dataclass(frozen=True, slots=True)
class _Trial:
    crashes: int
    arrivals: list[WarmUpArrival]
    simulated_gateways: int


def run_cold_fleet(sizes: Sequence[FleetSize], trials: int, max_gateways: int, seed: int) -> Run:
    """Add one rate server, and count the attempts it gets while it warms up; it stays down after a crash.

    In fleets with more than `max_gateways` gateways, only those that may send to this rate server are
    simulated.
    """
    parameters = {"sizes": [str(size) for size in sizes], "trials": trials, "most": max_gateways}
    run = Run("cold-fleet", seed, parameters)
    for size in sizes:
        results = [_run_trial(size, max_gateways, seed + trial) for trial in range(trials)]
        safety = FLEET_SETTINGS.safety
        for window in range(safety.warm_up_time // safety.overload_window):  # complete windows only
            run.add_row(_window_row(size, window, results))
        gateways_of = gateways_of_endpoint(_with_added_server(size))
        run.add_row(
            WarmUpTotalRow(
                size=str(size),
                trials=trials,
                simulated_gateways=results[0].simulated_gateways,
                sharing_gateways=len(gateways_of(endpoint_name(size.rate_servers))),
                crashes=sum(trial.crashes for trial in results),
                max_load=_max_load([arrival for trial in results for arrival in trial.arrivals]),
            )
        )
    return run


def _window_row(size: FleetSize, window: int, results: Sequence[_Trial]) -> WarmUpWindowRow:
    length = FLEET_SETTINGS.safety.overload_window
    by_trial = [
        [arrival for arrival in trial.arrivals if arrival.uptime // length == window] for trial in results
    ]
    arrivals = [arrival for inside in by_trial for arrival in inside]
    return WarmUpWindowRow(
        size=str(size),
        window_start_s=window * length / SECOND,
        attempts_mean=len(arrivals) / len(results),
        attempts_max=max(map(len, by_trial)),
        allowed_mean=fmean(arrival.allowed_attempts for arrival in arrivals) if arrivals else 0.0,
        max_load=_max_load(arrivals),
    )


def _max_load(arrivals: Sequence[WarmUpArrival]) -> float:
    return max((arrival.attempts_in_window / arrival.allowed_attempts for arrival in arrivals), default=0.0)


def _with_added_server(size: FleetSize) -> FleetSize:
    return replace(size, rate_servers=size.rate_servers + 1)


def _run_trial(size: FleetSize, max_gateways: int, seed: int) -> _Trial:
    gateways_of = gateways_of_endpoint(_with_added_server(size))
    sample = None if size.gateways <= max_gateways else sorted(gateways_of(endpoint_name(size.rate_servers)))
    fleet = Fleet(size, seed, sample=sample)
    if sample is not None:
        fleet.start_background_load(gateways_of)
    fleet.run(SETTLING_TIME)
    server = fleet.add_rate_server()
    fleet.notify_gateways([server.endpoint()])
    fleet.run(FLEET_SETTINGS.safety.warm_up_time)
    return _Trial(server.crashes, server.warm_up_arrivals, len(fleet.gateways))
