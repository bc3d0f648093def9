"""Limits what a gateway sends to an endpoint that has just started. Times are in microseconds."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from rushroad.policy.clock_skew import ClockSkew
from rushroad.policy.durations import SECOND
from rushroad.policy.events import Endpoint
from rushroad.policy.settings import SafetyLimits

if TYPE_CHECKING:
    from rushroad.policy.active_endpoints import ActiveEndpoint

BUDGET_FRACTION = 0.6  # of the allowed load; the rest is for chance and what other gateways do unevenly
MAX_BUDGET = 1.0  # attempts saved up


class SlowStartBudget:
    """Attempts that may be sent to one endpoint while it is warming up.

    It starts at a random fraction of an attempt: of hundreds of gateways, each with a small share of the
    load, some send at once.
    """

    __slots__ = ("attempts", "updated_at")

    def __init__(self, random: Random, now: int) -> None:
        self.attempts, self.updated_at = random.random(), now

    def reset(self, random: Random, now: int) -> None:
        """Start again, as after a restart of the endpoint."""
        self.attempts, self.updated_at = random.random(), now


class SlowStart:
    """Tells which endpoints are warming up, and whether one may get a request."""

    def __init__(self, safety: SafetyLimits, clock_skew: ClockSkew) -> None:
        self._safety = safety
        self._clock_skew = clock_skew

    def is_warming_up(self, entry: Endpoint, now: int) -> bool:
        """Whether the endpoint has started less than the warm-up time ago."""
        return (
            entry.started_at > 0
            and self._clock_skew.uptime(entry.started_at, now) < self._safety.warm_up_time
        )

    def has_budget(self, endpoint: ActiveEndpoint, warm_response_rate: float, now: int) -> bool:
        """Whether an endpoint that is warming up may get one more attempt of this gateway.

        The budget grows by this gateway's part of what the endpoint surely bears at its age, judged by the
        responses a second that a warm endpoint gives to this gateway.
        """
        safety, budget = self._safety, endpoint.slow_start
        uptime = max(0, self._clock_skew.uptime(endpoint.entry.started_at, now)) / max(1, safety.warm_up_time)
        capacity = safety.initial_capacity + (1 - safety.initial_capacity) * uptime
        rate = BUDGET_FRACTION * safety.overload_multiple * capacity * warm_response_rate
        grown = budget.attempts + rate * (now - budget.updated_at) / SECOND
        budget.attempts, budget.updated_at = min(MAX_BUDGET, grown), now
        return budget.attempts >= MAX_BUDGET

    def take(self, endpoint: ActiveEndpoint) -> None:
        """Count an attempt that has been started."""
        endpoint.slow_start.attempts -= 1.0
