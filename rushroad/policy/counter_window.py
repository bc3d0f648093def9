"""A count that gateways share: one name on the counter, whose life there is a window of the quota.

The counter forgets a name some time after its first call, and that alone ends a window. Whoever calls first
asks for a life up to the next boundary of its own clock, and goes by these boundaries. Where clocks agree
every gateway knows when windows begin. Where one is wrong the name is still the same one: it may be forgotten
at another time than expected, which a total that is too low shows.
"""

from __future__ import annotations

RENEWED_PART = 0.6  # of what the same count would show; a new one shows less, others take less back
CHANCE = 0.5  # units below which totals that should be alike differ by rounding only


class SharedCount:
    """What this gateway knows of such a name. Times and spans are in microseconds, amounts in units."""

    __slots__ = ("_length", "_margin", "_offset", "began", "ends", "own", "total")

    def __init__(self, length: int, margin: int, offset: int, now: int) -> None:
        """margin: how late a call may reach the counter; offset: moves the boundaries."""
        self._length, self._margin, self._offset = length, margin, offset
        self.total, self.own = 0.0, 0.0  # the last total, and this gateway's adds in it
        self.ends = self._boundary(now)  # when it should be forgotten
        self.began = self.ends - length

    def _boundary(self, now: int) -> int:
        """The next one."""
        return now - (now + self._offset) % self._length + self._length

    def enter(self, now: int) -> bool:
        """Whether what was told of it has surely been forgotten; a new window begins then."""
        if now < self.ends + self._margin:
            return False
        self._begin(now)
        return True

    def _begin(self, now: int) -> None:
        self.total, self.own = 0.0, 0.0
        self.ends = self._boundary(now)
        self.began = self.ends - self._length

    def life(self, now: int) -> int:
        """What a call asks for, should it be the name's first; never so short that it ends under way."""
        left = self._boundary(now) - now
        return left if left > self._margin else left + self._length

    def hear(self, amount: float, total: float, now: int) -> tuple[float, bool]:
        """Take a total with this gateway's own add in it.

        Returns what others have added since the last total, and whether the name had been forgotten since.
        """
        renewed = total < max(self.own + amount - CHANCE, RENEWED_PART * (self.total + amount))
        if renewed:
            expected = now >= self.ends
            self._begin(now)
            if not expected:
                self.began = now
        others = total - self.total - amount
        self.total, self.own = total, self.own + amount
        return others, renewed
