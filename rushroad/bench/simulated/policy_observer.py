"""Access to a policy's internals: the endpoints that it examines, and those that it forwards to."""

from __future__ import annotations

from rushroad.policy.active_endpoints import ActiveEndpoint
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import Settings


class CountingGateway(Gateway):
    """Counts the endpoints examined for requests, which are those whose expected wait is computed."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(settings, seed, now)
        self.examined = 0
        expected_wait = self.load_balancer.expected_wait

        def count(endpoint: ActiveEndpoint, now: int) -> float:
            self.examined += 1
            return expected_wait(endpoint, now)

        self.load_balancer.expected_wait = count  # type: ignore[method-assign]


def ready_endpoints(gateway: Gateway) -> set[str]:
    """Return the names of the ready endpoints that a gateway forwards to."""
    return {endpoint.entry.name for endpoint in gateway.endpoints.ready}
