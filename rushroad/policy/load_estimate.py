"""The estimate of the load that other gateways put on an endpoint. Times are whole microseconds."""

from __future__ import annotations


class LoadEstimate:
    """Requests of other gateways at one endpoint, by its last load report."""

    __slots__ = ("requests", "updated_at")

    def __init__(self, now: int) -> None:
        self.requests, self.updated_at = 0.0, now
