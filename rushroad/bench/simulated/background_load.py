"""Requests of the gateways that are not simulated, at the rate servers of those that are."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.simulated.rate_server import SimulatedRateServer
from rushroad.bench.simulated.simulation import SECOND, Simulation
from rushroad.bench.simulated.subsets import GatewaysOfEndpoint


class BackgroundLoad:
    """Sends each rate server the requests of the gateways that are not simulated, as a Poisson process.

    A rate server gets them in proportion to its speed, as from gateways that know what each can take.
    """

    def __init__(self, simulation: Simulation, size: FleetSize, simulated: Collection[int]) -> None:
        """`simulated`: the indices of the gateways that are simulated."""
        self._simulation, self._size, self._simulated = simulation, size, simulated
        self.factor = 1.0  # requests a second to a rate server, over the usual

    def start(
        self,
        rate_servers: Iterable[SimulatedRateServer],
        gateways_of: GatewaysOfEndpoint,
        later_gateways_of: GatewaysOfEndpoint | None = None,
    ) -> None:
        """Begin. `later_gateways_of`: who may send to a rate server later, where that can be more of them."""
        rate_servers = list(rate_servers)
        total_rate = self._size.request_rate * self._size.gateways
        rate_per_speed = total_rate / sum(server.speed for server in rate_servers)
        for server in rate_servers:
            gateways = gateways_of(server.name)
            simulated = sum(index in self._simulated for index in gateways)
            rate = rate_per_speed * server.speed * (1 - simulated / len(gateways))
            reachable = (later_gateways_of or gateways_of)(server.name)
            if rate > 0 and any(index in self._simulated for index in reachable):
                self._schedule(server, rate)

    def _schedule(self, server: SimulatedRateServer, rate: float) -> None:
        gap = self._simulation.random.expovariate(rate * self.factor) * SECOND
        self._simulation.after(int(gap), self._send, server, rate)

    def _send(self, server: SimulatedRateServer, rate: float) -> None:
        if server.warm_share() == 1.0:  # how little others send to a server that warms up is not known
            server.arrive(None)
        self._schedule(server, rate)
