"""What one row is measured on: real gateways, stand-ins and clients, and the processes while they run."""

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

PEAK_REQUEST_RATE = 173.0  # requests a second at a gateway at the planned peak
MAX_ENTRY_POINTS = 3  # gateways that a tenant's requests come through
CLIENT_DEADLINE_MS = 10_000  # the class's
TIME_LIMIT_S = 240.0  # of one scene, beside its seconds of requests
log = structlog.wrap_logger(structlog.PrintLogger(sys.stderr))


@dataclass(frozen=True, slots=True)
class Scene:
    """The size and the conditions of one measurement.

    `gateways` real ones are started, the first of a fleet of `size.gateways`: a fleet's size is in their
    settings, and how many run here is limited by the machine.
    """

    size: FleetSize
    gateways: int = 1
    request_rate: float = PEAK_REQUEST_RATE  # a second at each gateway
    seconds: float = 10.0  # of requests
    tenants: int = 1_000
    work_ms: float = 20.0  # of a rate server on a request
    list_changes_per_s: float = 0.0
    list_indent: int | None = None  # of discovery's JSON
    list_configured: bool = True  # the endpoint list is in the configuration; else discovery sends all of it
    seed: int = 1

    def parameters(self) -> dict[str, Any]:
        """The scene by the names that records use."""
        return {
            "size": str(self.size),
            "gateways": self.gateways,
            "rate": self.request_rate,
            "seconds": self.seconds,
            "tenants": self.tenants,
            "work_ms": self.work_ms,
            "changes": self.list_changes_per_s,
            "indent": self.list_indent,
            "known": self.list_configured,
            "seed": self.seed,
        }


@dataclass(frozen=True, slots=True)
class RunningScene:
    """The processes of a scene while they run."""

    scene: Scene
    stand_ins: Worker
    clients: Worker
    fleet: RealFleet

    def stand_in_stats(self) -> StandInStats:
        """What has come to the stand-ins so far."""
        return self.stand_ins.call(GetStats(), StandInStats)

    def start_load(self, seconds: float) -> None:
        """Begin with the scene's requests, for so long; the clients' reply is their LoadResult."""
        scene, gateways = self.scene, self.fleet.gateways
        request_rate = scene.request_rate * len(gateways)
        self.clients.send(
            StartLoad(
                gateways=tuple(gateway.address for gateway in gateways),
                gateway_indices=tuple(gateway.index for gateway in gateways),
                fleet_size=scene.size.gateways,
                request_rate=request_rate,
                requests=max(1, round(request_rate * seconds)),
                tenants=scene.tenants,
                entry_points=min(MAX_ENTRY_POINTS, scene.size.gateways),
                deadline_ms=CLIENT_DEADLINE_MS,
                request_class=REQUEST_CLASS,
                plan=PLAN,
                seed=scene.seed,
            )
        )


@contextlib.contextmanager
def running(scene: Scene) -> Iterator[RunningScene]:
    """Start stand-ins, clients and gateways; all have ended when the block is left, whatever happened."""
    log.info("start", **scene.parameters())
    with (
        sigterm_as_exit(),
        time_limit(TIME_LIMIT_S + scene.seconds),
        tempfile.TemporaryDirectory(prefix="rushroad-bench-") as folder,
        Worker("rushroad.bench.stand_ins") as stand_ins,
        Worker("rushroad.bench.load") as clients,
    ):
        command = StartStandIns(
            rate_servers=scene.size.rate_servers,
            work_s=scene.work_ms / 1e3,
            load_reports=True,
            indent=scene.list_indent,
            seed=scene.seed,
        )
        addresses = stand_ins.call(command, StandInAddresses)
        fleet_configuration = FleetConfiguration(
            addresses.discovery, addresses.counter, _known_endpoints(scene, addresses), Path(folder)
        )
        with RealFleet(scene.gateways, scene.size.gateways, fleet_configuration) as fleet:
            yield RunningScene(scene, stand_ins, clients, fleet)


def _known_endpoints(scene: Scene, addresses: StandInAddresses) -> dict[str, Any]:
    """The endpoint list in the gateways' configuration, by the published names of its fields."""
    port = int(addresses.first_rate_server.rpartition(":")[2])
    indices = range(scene.size.rate_servers if scene.list_configured else 0)
    return {
        "generation": int(scene.list_configured),
        "reset": True,
        "instances": [endpoint_entry(index, rate_server_address(index, port)) for index in indices],
    }
