"""Endpoint lists for tests of the policy, and settings with which only the endpoints limit a gateway."""

from dataclasses import replace

from rushroad.policy.events import Endpoint, EndpointState
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import Plan
from tests.support.gateway_driver import SETTINGS

ENDPOINT_LIMITED = replace(SETTINGS, counter=None, plans=(Plan(),), fleet_size=200)


def ready_endpoints(count: int, cell_size: int = 10) -> tuple[Endpoint, ...]:
    """Ready endpoints, with `cell_size` of them in each cell."""
    return tuple(
        Endpoint(
            f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}:80",
            EndpointState.READY,
            cell=number // cell_size,
        )
        for number in range(count)
    )


def usable_names(gateway: Gateway) -> set[str]:
    """The names of the ready endpoints that a gateway forwards to: its subset and the fallback endpoints."""
    return {endpoint.entry.name for endpoint in gateway.endpoints.ready}
