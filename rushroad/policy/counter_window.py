"""A named total on the shared counter, whose lifetime there is one window of a tenant's quota.

A name expires a given time after the first add to it, and only that ends a window. The gateway that makes
this add requests a lifetime up to the next window boundary by its own clock, and expects the window to end at
that boundary. Where clocks agree, every gateway knows when windows begin. Where a clock is wrong, the name
is still the same, but may expire at another time than expected, which shows as a total that is too low.

Times are whole microseconds, amounts and totals are in units.
"""

from __future__ import annotations

from typing import NamedTuple

# Of the previous total plus the own add. A lower total is that of a new window: others subtract less.
MIN_CONTINUED_FRACTION = 0.6
ROUNDING_MARGIN = 0.5  # units or slots; totals that should be equal differ by less


class TotalChange(NamedTuple):
    """What a total shows of the time since the previous total."""

    added_by_others: float  # units; negative where others have subtracted more than they added
    window_restarted: bool  # the name had expired in between


class CounterWindow:
    """What this gateway knows of one named total."""

    __slots__ = (
        "_boundary_offset",
        "_last_total",
        "_length",
        "_max_call_delay",
        "expires_at",
        "own_total",
        "started_at",
    )

    def __init__(self, length: int, max_call_delay: int, boundary_offset: int, now: int) -> None:
        """Start in the current window.

        length: of each window; max_call_delay: the longest time that a call takes to reach the counter;
        boundary_offset: shifts the boundaries, so that not all tenants' windows begin at the same time.
        """
        self._length, self._max_call_delay, self._boundary_offset = length, max_call_delay, boundary_offset
        self._start(now)

    def _start(self, now: int) -> None:
        self._last_total = 0.0
        self.own_total = 0.0  # what the last total includes of this gateway's adds
        self.expires_at = self._next_boundary(now)
        self.started_at = self.expires_at - self._length

    def _next_boundary(self, now: int) -> int:
        return now - (now + self._boundary_offset) % self._length + self._length

    def restart_if_expired(self, now: int) -> bool:
        """Start a new window if the name must have expired by now; returns whether it did."""
        if now < self.expires_at + self._max_call_delay:
            return False
        self._start(now)
        return True

    def lifetime(self, now: int) -> int:
        """Return the lifetime to request in case an add is the name's first; it outlasts the call."""
        until_boundary = self._next_boundary(now) - now
        return until_boundary if until_boundary > self._max_call_delay else until_boundary + self._length

    def apply_total(self, amount: float, total: float, now: int) -> TotalChange:
        """Apply a total that has just arrived and includes this gateway's own add of `amount`."""
        min_continued = MIN_CONTINUED_FRACTION * (self._last_total + amount)
        window_restarted = total < max(self.own_total + amount - ROUNDING_MARGIN, min_continued)
        if window_restarted:
            expiry_was_due = now >= self.expires_at
            self._start(now)
            if not expiry_was_due:
                self.started_at = now
        added_by_others = total - self._last_total - amount
        self._last_total, self.own_total = total, self.own_total + amount
        return TotalChange(added_by_others, window_restarted)
