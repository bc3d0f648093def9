"""A count that gateways share: one name on the counter, whose life there is a window of the quota.

The counter forgets a name some time after its first call, and nothing else begins a window: wall clocks
differ. A gateway does not see when that happens. It knows between what times it can, and tells it by a total
that is too low.
"""

from __future__ import annotations

RENEWED_PART = 0.6  # of what the same count would show; a new one shows less, others take less back
CHANCE = 0.5  # units below which totals that should be alike differ by rounding only


class SharedCount:
    """What this gateway knows of such a name. Times and lives are in microseconds, amounts in units."""

    __slots__ = ("_began_after", "_began_by", "_heard_at", "_life", "_new", "own", "total")

    def __init__(self, life: int, now: int) -> None:
        self._life = life
        self.total, self.own = 0.0, 0.0  # the last total, and this gateway's adds in it
        self._began_after, self._began_by = now - 2 * life, now - life  # its life began between these times
        self._heard_at = now - 2 * life
        self._new = True  # no total has been heard of it

    def over(self, now: int) -> bool:
        """The counter has surely forgotten what was last told of it."""
        return now >= self._began_by + self._life

    def began(self) -> int:
        """The latest time at which its life can have begun: so much has surely been refilled since."""
        return self._began_by

    def begin(self, now: int) -> None:
        """It is over: what the counter holds now began since, and nothing is known of it."""
        self._renew(max(self._began_after + self._life, now - self._life), now)

    def hear(self, amount: float, total: float, now: int) -> tuple[float, bool]:
        """Take a total with this gateway's own add in it.

        Returns what others have added since the last total, and whether the name had been forgotten since.
        """
        may_be_over = now >= self._began_after + self._life
        lower = total < RENEWED_PART * (self.total + amount)
        renewed = total < self.own + amount - CHANCE or (may_be_over and lower)
        if renewed:
            after = max(self._heard_at, self._began_after + self._life) if may_be_over else self._heard_at
            self._renew(min(after, now), now)
        self._began_after = max(self._began_after, now - self._life)  # it lives
        if self._new and total <= amount + CHANCE:  # this add was the first
            self._began_after = now
        self._began_by = max(self._began_by, self._began_after)
        others = total - self.total - amount
        self.total, self.own = total, self.own + amount
        self._heard_at, self._new = now, False
        return others, renewed

    def _renew(self, after: int, by: int) -> None:
        self.total, self.own, self._new = 0.0, 0.0, True
        self._began_after, self._began_by = min(after, by), by
