"""The size of a fleet, as the command line and the records write it: GATEWAYS/SERVERS."""

from __future__ import annotations

from dataclasses import dataclass

REQUEST_RATE_PER_RATE_SERVER = 850_000 / 97_000  # requests a second in the mean, at the planned fleet size


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of gateways and of rate servers, and the requests a second at each gateway."""

    gateways: int
    rate_servers: int
    request_rate: float

    def __str__(self) -> str:
        return f"{self.gateways}/{self.rate_servers}"


def parse_fleet_size(text: str, request_rate: float = REQUEST_RATE_PER_RATE_SERVER) -> FleetSize:
    """Parse "GATEWAYS/SERVERS"; `request_rate` is requests a second to each rate server.

    Raises ValueError where the text is not of this form or a number is below 1.
    """
    gateways, rate_servers = (int(part) for part in text.split("/"))
    if gateways < 1 or rate_servers < 1:
        raise ValueError(f"a fleet has at least one gateway and one rate server, not {text}")
    return FleetSize(gateways, rate_servers, request_rate * rate_servers / gateways)
