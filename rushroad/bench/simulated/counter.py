"""The simulated counter that all gateways of a fleet share."""

from __future__ import annotations

from dataclasses import dataclass

from rushroad.bench.simulated.simulation import MILLISECOND, Simulation
from rushroad.policy.actions import CounterAdd

COUNTER_DELAY = 3 * MILLISECOND  # there and back, with the counter's work


@dataclass(slots=True)
class _Total:
    total: float
    expires_at: int


class SimulatedCounter:
    """Totals by name; a name lives as long as its first call asked for."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.down = False
        self._totals: dict[int, _Total] = {}

    def add(self, call: CounterAdd) -> float:
        """Add to a name's total; returns the total after it."""
        now = self._simulation.now
        entry = self._totals.get(call.name)
        if entry is None or entry.expires_at <= now:
            entry = self._totals[call.name] = _Total(0.0, now + call.lifetime)
        entry.total += call.amount
        return entry.total
