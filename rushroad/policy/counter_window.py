"""A number on the counter that gateways share: its lifetime there is one window of a tenant's quota.

The counter forgets a name some time after the first add to it, and only that ends a window. Whichever
gateway adds first asks for a lifetime up to the next window boundary by its own clock, and expects the window
to end at that boundary. Where clocks agree, every gateway knows when windows begin. Where one clock is wrong
the name is still the same; it may then expire at another time than expected, which shows as a total that is
too low.

Times and spans are in microseconds, amounts and totals in units.
"""

from __future__ import annotations

from typing import NamedTuple

MIN_CONTINUED_FRACTION = 0.6  # of the last total plus the own add; others take back less than the rest
ROUNDING_MARGIN = 0.5  # units; totals that should be equal differ by less


class TotalChange(NamedTuple):
    """What a total from the counter says of the time since the total before it."""

    added_by_others: float  # units, below 0 where others have taken back more than they added
    window_restarted: bool  # the counter had forgotten the name in between


class CounterWindow:
    """What this gateway knows of one such number."""

    __slots__ = (
        "_boundary_offset",
        "_last_total",
        "_length",
        "_margin",
        "expires_at",
        "own_total",
        "started_at",
    )

    def __init__(self, length: int, margin: int, boundary_offset: int, now: int) -> None:
        """Windows have this length.

        margin: the longest time that a call takes to reach the counter; boundary_offset: moves the
        boundaries, so that not all tenants' windows begin at the same time.
        """
        self._length, self._margin, self._boundary_offset = length, margin, boundary_offset
        self._start(now)

    def _start(self, now: int) -> None:
        self._last_total = 0.0
        self.own_total = 0.0  # this gateway's part of the last total
        self.expires_at = self._next_boundary(now)
        self.started_at = self.expires_at - self._length

    def _next_boundary(self, now: int) -> int:
        return now - (now + self._boundary_offset) % self._length + self._length

    def restart_if_expired(self, now: int) -> bool:
        """Start a new window if the counter has surely forgotten this one; true if it did."""
        if now < self.expires_at + self._margin:
            return False
        self._start(now)
        return True

    def lifetime(self, now: int) -> int:
        """The lifetime that an add asks for, in case it is the name's first; it outlasts the call itself."""
        until_boundary = self._next_boundary(now) - now
        return until_boundary if until_boundary > self._margin else until_boundary + self._length

    def apply_total(self, amount: float, total: float, now: int) -> TotalChange:
        """Take in a total that has just arrived and contains this gateway's own add of `amount`."""
        min_continued = MIN_CONTINUED_FRACTION * (self._last_total + amount)
        window_restarted = total < max(self.own_total + amount - ROUNDING_MARGIN, min_continued)
        if window_restarted:
            was_due = now >= self.expires_at
            self._start(now)
            if not was_due:
                self.started_at = now
        added_by_others = total - self._last_total - amount
        self._last_total, self.own_total = total, self.own_total + amount
        return TotalChange(added_by_others, window_restarted)
