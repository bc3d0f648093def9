"""The hard limit on a tenant's rate: a share of a token bucket, kept without the shared counter.

Times are whole microseconds.
"""

from __future__ import annotations

from rushroad.policy.settings import Plan
from rushroad.policy.time_units import SECOND


class RateCeiling:
    """One tenant's token bucket at this gateway: its share of the ceiling, equal at all entry points."""

    __slots__ = ("_updated_at", "available_units")

    def __init__(self, started_at: int) -> None:
        """Start empty at the start of the gateway, so that a restart does not refill the bucket."""
        self.available_units = 0.0
        self._updated_at = started_at

    def refill(self, plan: Plan, entry_point_count: int, now: int) -> None:
        """Add the units refilled up to now."""
        self.available_units = min(
            plan.ceiling_burst / entry_point_count,
            self.available_units + plan.ceiling_rate / entry_point_count * (now - self._updated_at) / SECOND,
        )
        self._updated_at = now

    def allows(self, plan: Plan, units: float) -> bool:
        """Return whether a request of `units` stays within the ceiling."""
        return plan.ceiling_rate <= 0 or self.available_units >= units

    def consume(self, units: float) -> None:
        """Consume the units of a request that is forwarded for the first time."""
        self.available_units -= units
