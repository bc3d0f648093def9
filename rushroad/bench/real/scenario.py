"""The scenario of one row, and its processes: real gateways, stand-ins and clients."""

from __future__ import annotations

import contextlib
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog

from rushroad.bench.commands import GetStats, StandInAddresses, StandInStats, StartLoad, StartStandIns
from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.real.gateway_processes import FleetConfiguration, RealFleet
from rushroad.bench.real.gateway_settings import PLAN, REQUEST_CLASS
from rushroad.bench.real.run_limits import sigterm_as_exit, time_limit
from rushroad.bench.stand_ins.discovery_entries import endpoint_entry
from rushroad.bench.stand_ins.rate_servers import rate_server_address
from rushroad.bench.worker import Worker

PEAK_REQUEST_RATE = 173.0  # requests/s to a gateway at the planned peak
MAX_ENTRY_POINTS = 3  # number of gateways over which a tenant's requests are spread
CLIENT_DEADLINE_MS = 10_000  # as in the request class
TIME_LIMIT_S = 240.0  # of one scenario, in addition to the duration of its load
log = structlog.wrap_logger(structlog.PrintLogger(sys.stderr))


@dataclass(frozen=True, slots=True)
class Scenario:
    """The size and the conditions of one measurement.

    `gateways` processes are started, as the first gateways of a fleet of `size.gateways`. The size of the
    fleet is given in their settings, as the machine limits the number of processes.
    """

    size: FleetSize
    gateways: int = 1
    request_rate: float = PEAK_REQUEST_RATE  # requests/s to each gateway
    seconds: float = 10.0  # duration of the load
    tenants: int = 1_000
    work_ms: float = 20.0  # service time of a request at a rate server
    list_changes_per_s: float = 0.0
    list_indent: int | None = None  # of discovery's JSON; None puts each message on one line
    has_cached_snapshot: bool = True  # in the configuration; else discovery sends the whole endpoint list
    seed: int = 1

    def parameters(self) -> dict[str, Any]:
        """Return the parameters by their names in stored records."""
        return {
            "size": str(self.size),
            "gateways": self.gateways,
            "rate": self.request_rate,
            "seconds": self.seconds,
            "tenants": self.tenants,
            "work_ms": self.work_ms,
            "changes": self.list_changes_per_s,
            "indent": self.list_indent,
            "known": self.has_cached_snapshot,
            "seed": self.seed,
        }


@dataclass(frozen=True, slots=True)
class RunningScenario:
    """The running processes of a scenario."""

    scenario: Scenario
    stand_ins: Worker
    clients: Worker
    fleet: RealFleet

    def stand_in_stats(self) -> StandInStats:
        """Return the statistics of the stand-ins since their start."""
        return self.stand_ins.call(GetStats(), StandInStats)

    def start_load(self, seconds: float) -> None:
        """Start the scenario's load for this time; the clients reply with a LoadResult at its end."""
        scenario, gateways = self.scenario, self.fleet.gateways
        request_rate = scenario.request_rate * len(gateways)
        self.clients.send(
            StartLoad(
                gateways=tuple(gateway.address for gateway in gateways),
                gateway_indices=tuple(gateway.index for gateway in gateways),
                fleet_size=scenario.size.gateways,
                request_rate=request_rate,
                requests=max(1, round(request_rate * seconds)),
                tenants=scenario.tenants,
                entry_points=min(MAX_ENTRY_POINTS, scenario.size.gateways),
                deadline_ms=CLIENT_DEADLINE_MS,
                request_class=REQUEST_CLASS,
                plan=PLAN,
                seed=scenario.seed,
            )
        )


@contextlib.contextmanager
def run_scenario(scenario: Scenario) -> Iterator[RunningScenario]:
    """Start stand-ins, clients and gateways; all are stopped when the block is left, also by an exception."""
    log.info("scenario started", **scenario.parameters())
    with (
        sigterm_as_exit(),
        time_limit(TIME_LIMIT_S + scenario.seconds),
        tempfile.TemporaryDirectory(prefix="rushroad-bench-") as directory,
        Worker("rushroad.bench.stand_ins") as stand_ins,
        Worker("rushroad.bench.load") as clients,
    ):
        command = StartStandIns(
            rate_servers=scenario.size.rate_servers,
            work_s=scenario.work_ms / 1e3,
            load_reports=True,
            indent=scenario.list_indent,
            seed=scenario.seed,
        )
        addresses = stand_ins.call(command, StandInAddresses)
        fleet_configuration = FleetConfiguration(
            addresses.discovery, addresses.counter, _cached_snapshot(scenario, addresses), Path(directory)
        )
        with RealFleet(scenario.gateways, scenario.size.gateways, fleet_configuration) as fleet:
            yield RunningScenario(scenario, stand_ins, clients, fleet)


def _cached_snapshot(scenario: Scenario, addresses: StandInAddresses) -> dict[str, Any]:
    """Return the cached snapshot for the gateways' configuration, as a message of discovery's watch."""
    port = int(addresses.first_rate_server.rpartition(":")[2])
    indices = range(scenario.size.rate_servers if scenario.has_cached_snapshot else 0)
    return {
        "generation": int(scenario.has_cached_snapshot),
        "reset": True,
        "instances": [endpoint_entry(index, rate_server_address(index, port)) for index in indices],
    }
