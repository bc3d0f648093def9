"""How far this gateway's clock may be ahead of the servers', whose starts discovery tells.

A wall clock can be stepped. Nothing tells the true time, but no start is heard of before it has happened:
the smallest difference between hearing of a start and the start itself bounds the error.
"""

from __future__ import annotations

from rushroad.policy.events import EndpointUpdate, UpdateKind

SUSPECT_MOST = 0.5  # part of the servers that may look warm by the wall clock alone before that is believed


class ClockLead:
    """The bound, in microseconds; below 0 where the clock is behind. Ages are by it, so never too high.

    After a start the bound may be far too high, where the last server started long ago: then servers that
    started together with that one are taken to be cold. That holds while they are few. Where they are most of
    all servers the wall clock is believed until a change shows that it is wrong: else a gateway that starts
    after a release of the whole fleet would refuse nearly everything.
    """

    __slots__ = ("_believed", "_lead", "_newest")

    def __init__(self) -> None:
        self._lead: int | None = None  # None before any start has been heard of
        self._newest = 0  # the latest start
        self._believed = False  # the wall clock, for want of anything better

    def hear(self, event: EndpointUpdate, now: int) -> None:
        """Take the starts that a list tells."""
        started = max((member.started_at for member in event.endpoints), default=0)
        if started <= 0:
            return
        lead = now - started
        shown_wrong = self._believed and event.kind is UpdateKind.DELTA and started > self._newest
        self._newest = max(self._newest, started)
        if self._lead is None or lead < self._lead or shown_wrong:
            self._lead, self._believed = lead, False

    def age(self, started: int, now: int) -> int:
        """Microseconds since a start, at the least."""
        return now - started - (self._lead or 0)

    def check(self, starts: list[int], now: int, cold_span: int) -> None:
        """Believe the wall clock where too many servers look warm by it alone."""
        if self._lead is None or self._lead <= 0:
            return
        doubtful = [at for at in starts if at > 0 and now - at >= cold_span > self.age(at, now)]
        if len(doubtful) > SUSPECT_MOST * len(starts):
            self._lead, self._believed = 0, True
