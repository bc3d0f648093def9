"""A simulated fleet: many gateways in one process, without sockets, on a virtual clock.

The gateways run the real policy, `rushroad.policy.gateway.Gateway`; clients, the shared counter, the rate
servers and the endpoint list are simulated. Times are in microseconds of the virtual clock. All random
numbers come from one seed. A run never sleeps, so it takes only as long as the computation.

For a large fleet, a sample of the gateways can be simulated. Requests of the others to the rate servers of
the sample are then background load. Such a run shows neither the effect of a fault on the other gateways nor
the full load on the counter.
"""

from __future__ import annotations

from collections.abc import Sequence

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.simulated.background_load import BackgroundLoad
from rushroad.bench.simulated.clients import SimulatedClients
from rushroad.bench.simulated.counter import SimulatedCounter
from rushroad.bench.simulated.fleet_settings import FLEET_SETTINGS
from rushroad.bench.simulated.gateway import Environment, SimulatedGateway
from rushroad.bench.simulated.rate_server import SimulatedRateServer
from rushroad.bench.simulated.simulation import MILLISECOND, SECOND, Metric, Simulation
from rushroad.bench.simulated.subsets import GatewaysOfEndpoint
from rushroad.policy.events import Endpoint
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import Settings

ZONES = 3
SETTLING_TIME = 10 * SECOND  # until all gateways know their endpoints and typical latencies
MIN_WATCH_DELAY, MAX_WATCH_DELAY = 500 * MILLISECOND, 4 * SECOND  # until an endpoint update reaches a gateway


class Fleet:
    """Clients, gateways, the counter, rate servers and the endpoint list, on one virtual clock."""

    def __init__(
        self,
        size: FleetSize,
        seed: int,
        *,
        sample: Sequence[int] | None = None,
        zones: int = ZONES,
        policy_class: type[Gateway] = Gateway,
        settings: Settings = FLEET_SETTINGS,
    ) -> None:
        """`sample` has the indices of the gateways to simulate; None stands for all."""
        self.size, self._zones = size, zones
        self.simulation = Simulation(settings, seed)
        servers = [SimulatedRateServer(self.simulation, number, zones) for number in range(size.rate_servers)]
        self.rate_servers = {server.name: server for server in servers}
        self.initial_endpoints = {server.name: server.endpoint() for server in servers}
        self.counter = SimulatedCounter(self.simulation)
        environment = Environment(self.simulation, self.rate_servers, self.counter, self.initial_endpoints)
        self.gateways = {
            index: SimulatedGateway(environment, index, size.gateways, policy_class)
            for index in (range(size.gateways) if sample is None else sample)
        }
        self.background_load = BackgroundLoad(self.simulation, size, self.gateways.keys())
        self.clients = SimulatedClients(self.simulation, size, self.gateways.values())

    def start_background_load(
        self, gateways_of: GatewaysOfEndpoint, later_gateways_of: GatewaysOfEndpoint | None = None
    ) -> None:
        """Start the requests of the gateways that are not simulated; see BackgroundLoad.start."""
        self.background_load.start(self.rate_servers.values(), gateways_of, later_gateways_of)

    def run(self, duration: int) -> None:
        """Run the simulation for this much virtual time."""
        self.simulation.run(duration)

    def request_count(self) -> int:
        """Return the number of client requests since the start of the run."""
        return self.simulation.counts(0, self.simulation.elapsed_s + 1)[Metric.REQUESTS]

    def notify_gateways(self, endpoints: Sequence[Endpoint]) -> None:
        """Send a change of the endpoint list to all gateways, each with its own random delay."""
        for gateway in self.gateways.values():
            delay = self.simulation.random.randint(MIN_WATCH_DELAY, MAX_WATCH_DELAY)
            self.simulation.schedule(delay, gateway.notify, endpoints)

    def add_rate_server(self) -> SimulatedRateServer:
        """Add and start a rate server, without notifying the gateways."""
        server = SimulatedRateServer(self.simulation, len(self.rate_servers), self._zones)
        self.rate_servers[server.name] = server
        server.start()
        return server
