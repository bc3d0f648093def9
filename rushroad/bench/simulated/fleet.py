"""A simulated fleet: many gateways in one process, without sockets, on a virtual clock.

The gateways' decisions are those of the real policy, `rushroad.policy.gateway.Gateway`. Clients, the shared
counter, the rate servers and the endpoint list are simulated around it. Times are microseconds of the
virtual clock, all random numbers come from one seed, and nothing waits: a run takes as long as the policy's
work does.

Of a large fleet a part of the gateways can be simulated. Requests of the others to the rate servers that this
part knows are then background load. That does not show what a fault does to the others, nor the load on the
counter.
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
from rushroad.bench.simulated.simulation import MILLISECOND, SECOND, Simulation, Tally
from rushroad.bench.simulated.subsets import GatewaysOfEndpoint
from rushroad.policy.events import Endpoint
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import Settings

ZONES = 3
SETTLING_TIME = 10 * SECOND  # until every gateway knows its endpoints and their typical latency
MIN_WATCH_DELAY, MAX_WATCH_DELAY = 500 * MILLISECOND, 4 * SECOND  # until a watch event reaches a gateway


class Fleet:
    """Clients, gateways, the counter, rate servers and their endpoint list on the virtual clock."""

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
        """`sample`: indices of the gateways that are simulated, all if None."""
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
        self.background = BackgroundLoad(self.simulation, size, self.gateways.keys())
        self.clients = SimulatedClients(self.simulation, size, self.gateways.values())

    def start_background_load(
        self, gateways_of: GatewaysOfEndpoint, later_gateways_of: GatewaysOfEndpoint | None = None
    ) -> None:
        """Begin with the requests of the gateways that are not simulated; see BackgroundLoad.start."""
        self.background.start(self.rate_servers.values(), gateways_of, later_gateways_of)

    def run(self, span: int) -> None:
        """Let this much virtual time pass."""
        self.simulation.run(span)

    def requests_so_far(self) -> int:
        """Requests of clients since the start of the run."""
        return self.simulation.counts(0, self.simulation.second + 1)[Tally.REQUESTS]

    def notify_gateways(self, endpoints: Sequence[Endpoint]) -> None:
        """Send a change of the endpoint list to each gateway, which gets it after a delay of its own."""
        for gateway in self.gateways.values():
            delay = self.simulation.random.randint(MIN_WATCH_DELAY, MAX_WATCH_DELAY)
            self.simulation.after(delay, gateway.notify, endpoints)

    def add_rate_server(self) -> SimulatedRateServer:
        """Start one more rate server; no gateway is notified yet."""
        server = SimulatedRateServer(self.simulation, len(self.rate_servers), self._zones)
        self.rate_servers[server.name] = server
        server.start()
        return server
