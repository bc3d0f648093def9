"""How far this gateway's clock may be ahead of the clock behind the start times in the endpoint list.

Uptimes of endpoints, and with them slow start, must hold although this machine's wall clock can be stepped.
Nothing tells the true time, but no start is reported before it has happened: the smallest difference seen
between the arrival of a start time and the start time itself is an upper bound of the skew.
"""

from __future__ import annotations

from rushroad.policy.events import EndpointUpdate, UpdateKind

MAX_SUSPECT_FRACTION = 0.5  # of the endpoints, which may be warm by the uncorrected wall clock alone


class ClockSkew:
    """An upper bound of the skew, and uptimes corrected by it, which are therefore never too long.

    Right after this gateway's start the bound may be far too high, if the newest endpoint started long ago:
    endpoints that started at about the same time then count as warming up. That is accepted for a minority.
    If it concerns more than MAX_SUSPECT_FRACTION of the endpoints, the wall clock is trusted until a delta
    shows that it is wrong: otherwise a gateway that starts after a release of the whole fleet would reject
    nearly every request. All times are in microseconds.
    """

    __slots__ = ("_newest_start", "_skew", "_trusts_wall_clock")

    def __init__(self) -> None:
        self._skew: int | None = None  # below 0 where this clock is behind; None before any start time
        self._newest_start = 0
        self._trusts_wall_clock = False

    def observe(self, update: EndpointUpdate, now: int) -> None:
        """Tighten the bound by the start times of an update that has just arrived."""
        started_at = max((endpoint.started_at for endpoint in update.endpoints), default=0)
        if started_at <= 0:
            return
        skew = now - started_at
        is_new_start = update.kind is UpdateKind.DELTA and started_at > self._newest_start
        self._newest_start = max(self._newest_start, started_at)
        if self._skew is None or skew < self._skew or (self._trusts_wall_clock and is_new_start):
            self._skew, self._trusts_wall_clock = skew, False

    def uptime(self, started_at: int, now: int) -> int:
        """The shortest uptime, in microseconds, that an endpoint started at this time may have."""
        return now - started_at - (self._skew or 0)

    def check_plausible(self, start_times: list[int], now: int, warm_up_time: int) -> None:
        """Trust the wall clock if too many endpoints would count as warming up by the bound alone."""
        if self._skew is None or self._skew <= 0:
            return
        suspect = sum(
            1
            for started_at in start_times
            if started_at > 0 and now - started_at >= warm_up_time > self.uptime(started_at, now)
        )
        if suspect > MAX_SUSPECT_FRACTION * len(start_times):
            self._skew, self._trusts_wall_clock = 0, True
