"""Bounds the skew of this gateway's clock against the clock of the start times in the endpoint list.

Uptimes of endpoints, and with them slow start, must stay correct if this machine's wall clock is stepped.
There is no reference clock, but a start can't be reported before it has happened: the smallest observed
difference between the arrival of a start time and the start time itself is an upper bound of the skew.
Times are whole microseconds.
"""

from __future__ import annotations

from rushroad.policy.events import EndpointUpdate, UpdateKind

MAX_CONFLICTING_FRACTION = 0.5  # of the endpoints: warm by the wall clock, warming up by the bound


class ClockSkew:
    """Tracks an upper bound of the skew; uptimes corrected by it are never too long.

    Right after this gateway's start, the bound is far too high if even the newest endpoint started long ago:
    endpoints that started at about the same time then count as warming up. That is accepted for a minority.
    If it affects more than MAX_CONFLICTING_FRACTION of the endpoints, the wall clock is used until a delta
    proves it wrong: otherwise a gateway that starts after a fleet-wide release would reject nearly every
    request.
    """

    __slots__ = ("_newest_start", "_skew", "_uses_wall_clock")

    def __init__(self) -> None:
        self._skew: int | None = None  # negative if this clock is behind; None before the first start time
        self._newest_start = 0
        self._uses_wall_clock = False

    def observe(self, update: EndpointUpdate, now: int) -> None:
        """Tighten the bound by the start times in an update that has just arrived."""
        started_at = max((endpoint.started_at for endpoint in update.endpoints), default=0)
        if started_at <= 0:
            return
        skew = now - started_at
        is_new_start = update.kind is UpdateKind.DELTA and started_at > self._newest_start
        self._newest_start = max(self._newest_start, started_at)
        if self._skew is None or skew < self._skew or (self._uses_wall_clock and is_new_start):
            self._skew, self._uses_wall_clock = skew, False

    def uptime(self, started_at: int, now: int) -> int:
        """Return the shortest possible uptime of an endpoint with this start time."""
        return now - started_at - (self._skew or 0)

    def check_plausibility(self, start_times: list[int], now: int, warm_up_time: int) -> None:
        """Use the wall clock if the bound alone would make too many endpoints count as warming up."""
        if self._skew is None or self._skew <= 0:
            return
        conflicting = sum(
            1
            for started_at in start_times
            if started_at > 0 and now - started_at >= warm_up_time > self.uptime(started_at, now)
        )
        if conflicting > MAX_CONFLICTING_FRACTION * len(start_times):
            self._skew, self._uses_wall_clock = 0, True
