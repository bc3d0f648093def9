"""The one place that uses the policy's private names, to observe what its public interface does not show."""

from __future__ import annotations

from rushroad.policy.gateway import Gateway, _Server


class CountingGateway(Gateway):
    """Counts the endpoints whose expected wait it computes: those that the choice of an endpoint examines."""

    examined = 0

    def _wait(self, server: _Server) -> float:
        self.examined += 1
        return super()._wait(server)


def ready_endpoints(gateway: Gateway) -> set[str]:
    """The names of the ready endpoints in a gateway's subset."""
    return {server.line.name for server in gateway._ready}
