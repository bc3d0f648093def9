"""Fleet sizes, written as GATEWAYS/SERVERS on the command line and in records."""

from __future__ import annotations

from dataclasses import dataclass

REQUEST_RATE_PER_RATE_SERVER = 850_000 / 97_000  # requests/s, mean at the planned fleet size


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of gateways and rate servers, and the request rate at each gateway."""

    gateways: int
    rate_servers: int
    request_rate: float  # requests/s at each gateway

    def __str__(self) -> str:
        return f"{self.gateways}/{self.rate_servers}"


def parse_fleet_size(text: str, request_rate: float = REQUEST_RATE_PER_RATE_SERVER) -> FleetSize:
    """Parse "GATEWAYS/SERVERS"; `request_rate` is in requests/s per rate server.

    Raises ValueError if the text is malformed or a number is below 1.
    """
    gateways, rate_servers = (int(part) for part in text.split("/"))
    if gateways < 1 or rate_servers < 1:
        raise ValueError(f"expected at least one gateway and one rate server, got {text}")
    return FleetSize(gateways, rate_servers, request_rate * rate_servers / gateways)
