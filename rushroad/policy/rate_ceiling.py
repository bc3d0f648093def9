"""The hard limit on a tenant's rate: a share of a token bucket, kept without the shared counter.

Times are whole microseconds.
"""

from __future__ import annotations

from rushroad.policy.durations import SECOND
from rushroad.policy.settings import Plan


class RateCeiling:
    """One tenant's token bucket at this gateway: the ceiling divided by the tenant's entry points."""

    __slots__ = ("_updated_at", "available_units")

    def __init__(self, started_at: int) -> None:
        """Start empty at the start of the gateway, so that a restart does not refill the bucket."""
        self.available_units = 0.0
        self._updated_at = started_at

    def refill(self, plan: Plan, entry_points: int, now: int) -> None:
        """Add the units refilled up to now."""
        self.available_units = min(
            plan.ceiling_burst / entry_points,
            self.available_units + plan.ceiling_rate / entry_points * (now - self._updated_at) / SECOND,
        )
        self._updated_at = now

    def allows(self, plan: Plan, units: float) -> bool:
        """Whether a request of `units` stays within the ceiling."""
        return plan.ceiling_rate <= 0 or self.available_units >= units

    def take(self, units: float) -> None:
        """Take the units of a request that is forwarded for the first time."""
        self.available_units -= units
