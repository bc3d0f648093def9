"""Measures the lag of the event loop, so that input delayed by a stall counts from its arrival."""

from __future__ import annotations

import asyncio

PROBE_INTERVAL_S = 0.05
PROBE_TOLERANCE_S = 0.005  # a probe that is later than this indicates a stall
BACKLOG_TIME_S = 0.05  # time after a stall in which input that arrived during it may still be read


class LoopLagMonitor:
    """Probes the event loop with a timer: if a probe runs late, the loop was stalled since it was due."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._probed_at = loop.time()
        self._stalled_since, self._backlog_until = 0.0, 0.0  # of the last stall

    def probe(self) -> None:
        """Probe now and at each PROBE_INTERVAL_S."""
        now, due = self._loop.time(), self._probed_at + PROBE_INTERVAL_S
        if now - due > PROBE_TOLERANCE_S:
            self._stalled_since, self._backlog_until = due, now + BACKLOG_TIME_S
        self._probed_at = now
        self._loop.call_later(PROBE_INTERVAL_S, self.probe)

    def earliest_arrival(self) -> float:
        """Return the earliest arrival time of input that is read now, in seconds on the loop's clock."""
        now = self._loop.time()
        if now <= self._backlog_until:
            return self._stalled_since
        return min(now, self._probed_at + PROBE_INTERVAL_S)
