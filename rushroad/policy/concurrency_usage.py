"""A tenant's open requests at this gateway. Times are whole microseconds."""

from __future__ import annotations


class ConcurrencyUsage:
    """One tenant's open requests, as far as this gateway knows."""

    __slots__ = ("full_until", "open_requests")

    def __init__(self, now: int) -> None:
        self.open_requests = 0  # requests with attempts in flight at this gateway
        self.full_until = now  # until then no slot is free at any gateway, by the last total

    def request_opened(self) -> None:
        """Count a request that now has an attempt in flight."""
        self.open_requests += 1

    def request_closed(self) -> None:
        """Stop counting a request that has no attempt in flight any more."""
        self.open_requests = max(0, self.open_requests - 1)
