"""Limits the attempts at an endpoint that has just started. Times are whole microseconds."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from rushroad.policy.clock_skew import ClockSkew
from rushroad.policy.events import Endpoint
from rushroad.policy.settings import SafetyLimits
from rushroad.policy.time_units import SECOND

if TYPE_CHECKING:
    from rushroad.policy.active_endpoints import ActiveEndpoint

BUDGET_FRACTION = 0.6  # of the allowed load; the rest absorbs randomness and uneven load from other gateways
MAX_BUDGET = 1.0  # attempts that can accumulate


class SlowStartBudget:
    """Attempts that this gateway may start at one endpoint while it is warming up.

    The budget starts at a random fraction of an attempt, so that of hundreds of gateways, each with a small
    share of the load, some send at once.
    """

    __slots__ = ("attempts", "updated_at")

    def __init__(self, random: Random, now: int) -> None:
        self.attempts, self.updated_at = random.random(), now

    def reset(self, random: Random, now: int) -> None:
        """Start again with a new random fraction, as after a restart of the endpoint."""
        self.attempts, self.updated_at = random.random(), now


class SlowStart:
    """Determines which endpoints are warming up, and whether one of them may get a request."""

    def __init__(self, safety: SafetyLimits, clock_skew: ClockSkew) -> None:
        self._safety = safety
        self._clock_skew = clock_skew

    def is_warming_up(self, entry: Endpoint, now: int) -> bool:
        """Return whether the endpoint started less than the warm-up time ago."""
        return (
            entry.started_at > 0
            and self._clock_skew.uptime(entry.started_at, now) < self._safety.warm_up_time
        )

    def has_budget(self, endpoint: ActiveEndpoint, warm_response_rate: float, now: int) -> bool:
        """Return whether an endpoint that is warming up may get one more attempt from this gateway.

        The budget grows by this gateway's share of the endpoint's guaranteed capacity at its uptime, derived
        from the responses per second that this gateway gets from a warm endpoint.
        """
        safety, budget = self._safety, endpoint.slow_start_budget
        warm_up_progress = max(0, self._clock_skew.uptime(endpoint.entry.started_at, now)) / max(
            1, safety.warm_up_time
        )
        capacity = safety.initial_capacity + (1 - safety.initial_capacity) * warm_up_progress
        rate = BUDGET_FRACTION * safety.overload_multiple * capacity * warm_response_rate
        grown = budget.attempts + rate * (now - budget.updated_at) / SECOND
        budget.attempts, budget.updated_at = min(MAX_BUDGET, grown), now
        return budget.attempts >= MAX_BUDGET

    def consume(self, endpoint: ActiveEndpoint) -> None:
        """Subtract a started attempt from the budget."""
        endpoint.slow_start_budget.attempts -= 1.0
