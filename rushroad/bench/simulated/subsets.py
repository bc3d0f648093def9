"""The subsets of a whole fleet, computed by the policy's algorithm."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.simulated.rate_server import endpoint_name
from rushroad.policy import subsetting

GatewaysOfEndpoint = Callable[[str], Sequence[int]]  # indices of the gateways that may send to an endpoint


def gateways_per_endpoint(size: FleetSize) -> float:
    """Return the mean number of gateways that share an endpoint."""
    return subsetting.mean_replicas(size.gateways, size.rate_servers)


def gateways_of_endpoint(size: FleetSize) -> GatewaysOfEndpoint:
    """Return a function from an endpoint's name to the gateways that may send to it."""
    replicas = gateways_per_endpoint(size)
    if replicas >= size.gateways:
        return lambda _name: range(size.gateways)
    return lambda name: subsetting.replicas_of(name, size.gateways, replicas)


def subsets_of_fleet(gateways: int, endpoints: Sequence[str]) -> list[set[str]]:
    """Return the endpoints that each gateway may send to, by gateway index."""
    gateways_of = gateways_of_endpoint(FleetSize(gateways, len(endpoints), 0.0))
    subsets = [set[str]() for _ in range(gateways)]
    for endpoint in endpoints:
        for index in gateways_of(endpoint):
            subsets[index].add(endpoint)
    return subsets


def endpoint_names(count: int) -> list[str]:
    """Return the addresses of the first `count` rate servers."""
    return [endpoint_name(number) for number in range(count)]
