"""What this gateway knows of a tenant's use of its quota. Amounts are in units, times in microseconds."""

from __future__ import annotations

import math

from rushroad.policy.counter_window import CounterWindow
from rushroad.policy.durations import SECOND
from rushroad.policy.settings import Plan

WINDOW_BURSTS = 2.0  # bursts that are refilled in a window: the edge of each may admit one burst more
MAX_WINDOW = 30 * SECOND  # microseconds; half of the longest time that the counter keeps a name
REFILL_FRACTION = 1.0 - 1.0 / WINDOW_BURSTS  # of the refill; with the burst of a new window it makes the rate
MAX_MARGIN = 0.5  # of the burst kept free for use that other gateways have not reported yet
PRIOR_UNITS = 2.0  # own units in totals that weigh as much as an assumed even split
MEMORY_WINDOWS = 8.0  # windows after which the decisions made by totals have faded
SMOOTHING = 0.2  # weight of a new reading in a running mean


def window_length(plan: Plan) -> int:
    """Return for how many microseconds a tenant's counter lives."""
    if plan.rate <= 0:
        return SECOND
    return max(SECOND, min(MAX_WINDOW, int(WINDOW_BURSTS * plan.burst / plan.rate * SECOND)))


class TenantUsage:
    """One tenant's use of its quota, over all gateways."""

    __slots__ = (
        "_burst",
        "_observed_others",
        "_observed_own",
        "_overage",
        "_rate",
        "_unconfirmed",
        "_unused_refill",
        "calls_without_reply",
        "decisions",
        "estimated_others",
        "mean_unreported",
        "near_limit_at",
        "rejections",
        "unreported",
        "updated_at",
        "used",
        "window",
    )

    def __init__(self, plan: Plan, window: CounterWindow, now: int) -> None:
        self._burst, self._rate = plan.burst, plan.rate
        self.used, self.updated_at = 0.0, now  # taken from the burst and not refilled yet
        self._unused_refill = 0.0  # refilled since the last total while nothing was used
        self.window = window
        self.decisions, self.rejections = 0.0, 0.0  # by totals, fading
        self._overage = 0.0  # units in the window's totals beyond the burst
        self.estimated_others = 0.0  # part of `used` that stands for others' use until the next total
        self._observed_own, self._observed_others = 0.0, 0.0  # units in totals, fading
        self.calls_without_reply = 0  # in the window; their totals may still come
        self._unconfirmed = 0.0  # units of calls without a reply: the next total may hold them
        self.unreported = 0.0  # units admitted without a call, to be added with the next one
        self.mean_unreported = 0.0  # running mean of what was unreported when calls were made
        self.near_limit_at = now - 2 * MAX_WINDOW  # when it last had too few units left

    def advance(self, plan: Plan, now: int) -> None:
        """Bring the use up to now, at the arrival of a request."""
        if plan.rate > 0:
            passed = (now - self.updated_at) / SECOND
            self.refill(now)
            fade = math.exp(-passed * plan.rate / plan.burst / MEMORY_WINDOWS)
            self.decisions, self.rejections = self.decisions * fade, self.rejections * fade
        self.updated_at = now

    def refill(self, now: int) -> None:
        """Give back the units that the rate has refilled up to now."""
        refilled = self._rate * (now - self.updated_at) / SECOND
        self._unused_refill += max(0.0, refilled - self.used)
        self.used, self.updated_at = max(0.0, self.used - refilled), now

    def enter_window(self, now: int) -> None:
        """Start a new window if the counter has surely forgotten the name by now."""
        if self.window.restart_if_expired(now):
            self._reset_window()

    def _reset_window(self) -> None:
        self.estimated_others, self._overage = 0.0, 0.0
        self._unconfirmed, self.calls_without_reply = 0.0, 0
        self.unreported = max(0.0, self.unreported)  # the new counter never held what would be taken back

    def take_unreported(self) -> float:
        """Return the unreported units for the next call; what has been refilled since needs no report."""
        units, self.unreported = min(self.unreported, self.used), 0.0
        return units

    def call_failed(self, amount: float, never_added: bool) -> None:
        """A call ended without a total; its amount may have been added all the same, unless proven not."""
        if never_added:
            self.unreported += amount
        else:
            self.calls_without_reply += 1
            self._unconfirmed += amount
            self.window.own_total += min(0.0, amount)

    def apply_total(self, amount: float, total: float, now: int) -> None:
        """Take in the reply to a call of `amount` units."""
        self._apply_others(self._others_in(amount, total, now))

    def apply_late_total(self, amount: float, total: float, now: int) -> None:
        """Take in the reply to a call that had been given up.

        It keeps this gateway's own units from passing for others' use, and from being reported twice. A
        total that comes out of order does no harm: the next one corrects it.
        """
        if self.calls_without_reply <= 0:
            return  # the call was made in the window before
        self.calls_without_reply -= 1
        self._unconfirmed -= amount
        self.window.own_total -= min(0.0, amount)  # it was added when the call was given up
        self.apply_total(amount, total, now)

    def _others_in(self, amount: float, total: float, now: int) -> float:
        """Return the others' use that a total shows, beyond what had been estimated and refilled."""
        change = self.window.apply_total(amount, total, now)
        if change.window_restarted:
            self._reset_window()
        others = change.added_by_others
        # The total can hold this much of the unconfirmed units; the rest was not added.
        shown = min(max(others, 0.0), self._unconfirmed) if self._unconfirmed > 0 else self._unconfirmed
        self.unreported += self._unconfirmed - shown
        self._unconfirmed, others = 0.0, others - shown
        self._observed_own += amount + shown - SMOOTHING * self._observed_own
        self._observed_others += others - SMOOTHING * self._observed_others
        estimated, self.estimated_others = self.estimated_others, 0.0
        return others - estimated - self._refilled_of(others - estimated, now)

    def _refilled_of(self, others: float, now: int) -> float:
        """Return how much of the others' use since the last total has been refilled, taken as spread evenly.

        A tenant that comes through many gateways shows the use of a whole window at once at each of them,
        which is not all outstanding now.
        """
        unused = min(self._unused_refill, self._rate * (now - self.window.started_at) / SECOND)
        self._unused_refill = 0.0
        return min(max(0.0, others), REFILL_FRACTION * unused)

    def _apply_others(self, units: float) -> None:
        """Add the others' use; below 0 they have taken units back, first of the overage.

        What goes beyond the quota takes nothing from it, or the use would stay too high for as long as the
        tenant asks for all that is refilled.
        """
        returned = min(self._overage, max(0.0, -units))
        used = max(0.0, self.used + units + returned)
        self.used = min(used, self._burst)
        self._overage += used - self.used - returned

    def fits(self, units: float, entry_points: int, reserve: float, certain: float = 0.0) -> bool:
        """Whether the units fit beside `reserve` units and what other gateways have not reported yet.

        Others are taken to have as much unreported as this gateway. `certain` units of the use count as free.
        """
        margin = min(
            MAX_MARGIN * self._burst, self.mean_unreported * self.others_per_own(entry_points) + reserve
        )
        return self.used - certain + units + margin <= max(self._burst, units + margin)

    def others_per_own(self, entry_points: int) -> float:
        """Return the units that others admit for each unit admitted here.

        By the totals; where these tell little, every gateway is taken to admit as much.
        """
        others = max(0.0, self._observed_others) + PRIOR_UNITS * max(0, entry_points - 1)
        return others / (max(0.0, self._observed_own) + PRIOR_UNITS)
