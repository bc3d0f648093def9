"""The hard limit on a tenant's rate: this gateway's part of a token bucket, whatever the counter says."""

from __future__ import annotations

from rushroad.policy.durations import SECOND
from rushroad.policy.settings import Plan


class RateCeiling:
    """One tenant's token bucket at this gateway: the ceiling divided by the gateways it comes through."""

    __slots__ = ("_updated_at", "units")

    def __init__(self, filled_since: int) -> None:
        """Start empty at `filled_since` microseconds, the start of the gateway: no restart refills it."""
        self.units = 0.0
        self._updated_at = filled_since

    def refill(self, plan: Plan, entry_points: int, now: int) -> None:
        """Add the units that have become available up to now."""
        self.units = min(
            plan.ceiling_burst / entry_points,
            self.units + plan.ceiling_rate / entry_points * (now - self._updated_at) / SECOND,
        )
        self._updated_at = now

    def allows(self, plan: Plan, units: float) -> bool:
        """Whether a request of so many units stays within the ceiling."""
        return plan.ceiling_rate <= 0 or self.units >= units

    def take(self, units: float) -> None:
        """Take the units of a request that is forwarded for the first time."""
        self.units -= units
