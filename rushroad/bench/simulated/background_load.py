"""Requests that gateways outside of the simulation send to the simulated rate servers."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.simulated.rate_server import SimulatedRateServer
from rushroad.bench.simulated.simulation import SECOND, Simulation
from rushroad.bench.simulated.subsets import GatewaysOfEndpoint


class BackgroundLoad:
    """Sends each rate server the requests of the gateways that are not simulated, as a Poisson process.

    The request rate of a rate server is proportional to its speed, as it is with gateways that balance load
    by capacity.
    """

    def __init__(self, simulation: Simulation, size: FleetSize, simulated_indices: Collection[int]) -> None:
        """`simulated_indices` are those of the gateways that are simulated, and send no background load."""
        self._simulation, self._size, self._simulated_indices = simulation, size, simulated_indices
        self.rate_factor = 1.0  # multiplies the request rate of every rate server

    def start(
        self,
        rate_servers: Iterable[SimulatedRateServer],
        gateways_of: GatewaysOfEndpoint,
        later_gateways_of: GatewaysOfEndpoint | None = None,
    ) -> None:
        """Start sending to the rate servers that a simulated gateway may send to, now or later.

        `gateways_of` returns the gateways that may send to a rate server, `later_gateways_of` those that may
        send to it after a change of the endpoint list, if these can be more.
        """
        rate_servers = list(rate_servers)
        total_rate = self._size.request_rate * self._size.gateways
        rate_per_speed = total_rate / sum(server.speed for server in rate_servers)
        for server in rate_servers:
            gateways = gateways_of(server.name)
            simulated_count = sum(index in self._simulated_indices for index in gateways)
            rate = rate_per_speed * server.speed * (1 - simulated_count / len(gateways))
            possible_gateways = (later_gateways_of or gateways_of)(server.name)
            if rate > 0 and any(index in self._simulated_indices for index in possible_gateways):
                self._schedule(server, rate)

    def _schedule(self, server: SimulatedRateServer, rate: float) -> None:
        gap = self._simulation.random.expovariate(rate * self.rate_factor) * SECOND
        self._simulation.schedule(int(gap), self._send, server, rate)

    def _send(self, server: SimulatedRateServer, rate: float) -> None:
        if server.capacity_fraction() == 1.0:  # the reduced load during warm-up is unknown
            server.receive_attempt(None)
        self._schedule(server, rate)
