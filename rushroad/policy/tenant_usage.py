"""What this gateway knows of a tenant's use of its quota.

Amounts are in units, times in whole microseconds. A window is the lifetime of the tenant's total on the
shared counter; `counter_window` says how it begins and ends.
"""

from __future__ import annotations

import math

from rushroad.policy.counter_window import CounterWindow
from rushroad.policy.settings import Plan
from rushroad.policy.time_units import SECOND

BURSTS_PER_WINDOW = 2.0  # bursts refilled in a window; at its boundary one more may be admitted
MAX_WINDOW = 30 * SECOND  # half of the longest time that the counter keeps a total
# Fraction of the unused refill that is credited against others' use; the rest is a new window's burst.
REFILL_CREDIT_FRACTION = 1.0 - 1.0 / BURSTS_PER_WINDOW
MAX_MARGIN_FRACTION = 0.5  # of the burst, kept free for units that other gateways have not reported yet
PRIOR_UNITS = 2.0  # weight of the prior that all gateways admit equally, as own units in totals
DECISION_DECAY_REFILLS = 8.0  # time constant of the decay of decision counts, in refills of the burst
USAGE_SMOOTHING = 0.2  # weight of a new value in the moving averages of a tenant's units


def window_length(plan: Plan) -> int:
    """Return the length of a plan's windows, the lifetime of a tenant's total on the counter."""
    if plan.rate <= 0:
        return SECOND
    return max(SECOND, min(MAX_WINDOW, int(BURSTS_PER_WINDOW * plan.burst / plan.rate * SECOND)))


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
        self._unused_refill = 0.0  # units refilled since the last total beyond the use
        self.window = window
        self.decisions, self.rejections = 0.0, 0.0  # decaying counts of decisions by totals
        self._overage = 0.0  # units in the window's totals beyond the burst
        self.estimated_others = 0.0  # part of `used` that estimates others' use until the next total
        self._observed_own, self._observed_others = 0.0, 0.0  # decaying sums of units in totals
        self.calls_without_reply = 0  # in the window; late replies may still arrive
        self._unconfirmed = 0.0  # units of these calls, which the next total may include
        self.unreported = 0.0  # units admitted without a call, to be added with the next one
        self.mean_unreported = 0.0  # moving average of the units unreported when calls were made
        self.near_limit_at = now - 2 * MAX_WINDOW  # when a request last did not fit

    def advance(self, plan: Plan, now: int) -> None:
        """Bring the state up to now, at the arrival of a request."""
        if plan.rate > 0:
            elapsed_s = (now - self.updated_at) / SECOND
            self.refill(now)
            decay = math.exp(-elapsed_s * plan.rate / plan.burst / DECISION_DECAY_REFILLS)
            self.decisions, self.rejections = self.decisions * decay, self.rejections * decay
        self.updated_at = now

    def refill(self, now: int) -> None:
        """Refill the burst at the rate up to now."""
        refilled = self._rate * (now - self.updated_at) / SECOND
        self._unused_refill += max(0.0, refilled - self.used)
        self.used, self.updated_at = max(0.0, self.used - refilled), now

    def restart_window_if_expired(self, now: int) -> None:
        """Start a new window if the total must have expired on the counter by now."""
        if self.window.restart_if_expired(now):
            self._reset_window()

    def _reset_window(self) -> None:
        self.estimated_others, self._overage = 0.0, 0.0
        self._unconfirmed, self.calls_without_reply = 0.0, 0
        self.unreported = max(0.0, self.unreported)  # the new total never included what would be subtracted

    def take_unreported(self) -> float:
        """Return the unreported units for the next call; those refilled since need no report."""
        units, self.unreported = min(self.unreported, self.used), 0.0
        return units

    def record_failed_call(self, amount: float, proven_not_added: bool) -> None:
        """Record a call that ended without a total; its amount may have been added, unless proven not."""
        if proven_not_added:
            self.unreported += amount
        else:
            self.calls_without_reply += 1
            self._unconfirmed += amount
            # A total that a lost subtraction has lowered must not look like that of a new window.
            self.window.own_total += min(0.0, amount)

    def apply_total(self, amount: float, total: float, now: int) -> None:
        """Apply the total in the reply to a call of `amount` units."""
        self._apply_others_use(self._additional_others_use(amount, total, now))

    def apply_late_total(self, amount: float, total: float, now: int) -> None:
        """Apply the total in the reply to a call that had timed out.

        It keeps this gateway's own units from being taken for others' use, and from being reported twice. A
        total that arrives out of order does no harm: the next one corrects it.
        """
        if self.calls_without_reply <= 0:
            return  # the call was made in the previous window
        self.calls_without_reply -= 1
        self._unconfirmed -= amount
        self.window.own_total -= min(0.0, amount)  # a subtraction was counted when the call timed out
        self.apply_total(amount, total, now)

    def _additional_others_use(self, amount: float, total: float, now: int) -> float:
        """Return the others' use that a total shows beyond what had been estimated and refilled."""
        change = self.window.apply_total(amount, total, now)
        if change.window_restarted:
            self._reset_window()
        others = change.added_by_others
        # The total can include this much of the unconfirmed units; the rest was not added.
        confirmed = min(max(others, 0.0), self._unconfirmed) if self._unconfirmed > 0 else self._unconfirmed
        self.unreported += self._unconfirmed - confirmed
        self._unconfirmed, others = 0.0, others - confirmed
        self._observed_own += amount + confirmed - USAGE_SMOOTHING * self._observed_own
        self._observed_others += others - USAGE_SMOOTHING * self._observed_others
        estimated, self.estimated_others = self.estimated_others, 0.0
        return others - estimated - self._refilled_part(others - estimated, now)

    def _refilled_part(self, others: float, now: int) -> float:
        """Return how much of the others' use since the last total has been refilled, if spread evenly.

        Where a tenant's requests come through many gateways, each of them sees the use of a whole window at
        once, part of which has been refilled since.
        """
        unused = min(self._unused_refill, self._rate * (now - self.window.started_at) / SECOND)
        self._unused_refill = 0.0
        return min(max(0.0, others), REFILL_CREDIT_FRACTION * unused)

    def _apply_others_use(self, units: float) -> None:
        """Add the others' use; a negative amount is returned units, which reduce the overage first.

        Use beyond the burst is kept apart as overage. Otherwise the use would stay too high for as long as
        the tenant requests all that is refilled.
        """
        returned = min(self._overage, max(0.0, -units))
        used = max(0.0, self.used + units + returned)
        self.used = min(used, self._burst)
        self._overage += used - self.used - returned

    def fits(self, units: float, entry_point_count: int, reserve: float, disregarded: float = 0.0) -> bool:
        """Return whether the units fit beside `reserve` units and what other gateways have not reported yet.

        Others are assumed to have unreported units in proportion to what they admit. `disregarded` units of
        the use count as free.
        """
        margin = min(
            MAX_MARGIN_FRACTION * self._burst,
            self.mean_unreported * self.others_to_own_ratio(entry_point_count) + reserve,
        )
        return self.used - disregarded + units + margin <= max(self._burst, units + margin)

    def others_to_own_ratio(self, entry_point_count: int) -> float:
        """Return the units that others admit for each unit admitted here.

        It is taken from totals; while these show few units, every gateway is assumed to admit as much.
        """
        others = max(0.0, self._observed_others) + PRIOR_UNITS * max(0, entry_point_count - 1)
        return others / (max(0.0, self._observed_own) + PRIOR_UNITS)
