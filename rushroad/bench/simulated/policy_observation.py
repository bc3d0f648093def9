"""What experiments and tests observe in the policy beside its actions; nothing else of the bench does so."""

from __future__ import annotations

from rushroad.policy.active_endpoints import ActiveEndpoint
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import Settings


class CountingGateway(Gateway):
    """Counts the endpoints whose expected wait it computes: those that the choice of an endpoint examines."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(settings, seed, now)
        self.examined = 0
        expected_wait = self.load_balancer.expected_wait

        def counted(endpoint: ActiveEndpoint, now: int) -> float:
            self.examined += 1
            return expected_wait(endpoint, now)

        self.load_balancer.expected_wait = counted  # type: ignore[method-assign]


def ready_endpoints(gateway: Gateway) -> set[str]:
    """The names of the ready endpoints in a gateway's subset."""
    return {endpoint.entry.name for endpoint in gateway.endpoints.ready}
