"""The simulated counter service, which all gateways of a fleet share."""

from __future__ import annotations

from dataclasses import dataclass

from rushroad.bench.simulated.simulation import MILLISECOND, Simulation
from rushroad.policy.actions import CounterAdd

COUNTER_DELAY = 3 * MILLISECOND  # round trip, including the work of the counter


@dataclass(slots=True)
class _Total:
    total: float
    expires_at: int


class SimulatedCounter:
    """Totals by name; a total expires after the lifetime given by the call that created it."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.down = False
        self._totals: dict[int, _Total] = {}

    def add(self, call: CounterAdd) -> float:
        """Add to a total and return the new value."""
        now = self._simulation.now
        entry = self._totals.get(call.total_name)
        if entry is None or entry.expires_at <= now:
            entry = self._totals[call.total_name] = _Total(0.0, now + call.lifetime)
        entry.total += call.amount
        return entry.total
