"""What is known of an endpoint's load beside this gateway's own."""

from __future__ import annotations


class LoadEstimate:
    """Requests of other gateways at one endpoint, as last reported."""

    __slots__ = ("requests", "updated_at")

    def __init__(self, now: int) -> None:
        self.requests, self.updated_at = 0.0, now  # microseconds
