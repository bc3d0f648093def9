"""Admission by a tenant's quota of units, which holds over all gateways together.

Each request adds its units to the tenant's total on the shared counter and is admitted by the result, so
that gateways need not know each other. Where the counter is unavailable or overloaded, a gateway decides by
its own estimate. Times are whole microseconds.
"""

from __future__ import annotations

from random import Random

from rushroad.policy.admission import Admission
from rushroad.policy.concurrency_quota import within_local_share
from rushroad.policy.counter_breaker import CounterBreaker
from rushroad.policy.counter_calls import CountedResource, CounterCall, CounterCalls, units_total_name
from rushroad.policy.events import CounterReply, Result
from rushroad.policy.pending_request import PendingRequest
from rushroad.policy.settings import Settings
from rushroad.policy.tenant_usage import USAGE_SMOOTHING, window_length
from rushroad.policy.time_units import SECOND
from rushroad.policy.timers import CounterWaitExpired, Timers

FULL_CALLS_UTILIZATION = 0.5  # of the burst, from which the full call fraction applies to a tenant
NEAR_LIMIT_REFILLS = 2.0  # refills of the burst for which a tenant counts as near its limit
MIN_RESERVE_FRACTION = 0.5  # of the largest request; every class leaves this free near the limit
CALLS_PER_ADMISSION = 2.0  # counter calls for requests over the quota, per expected admission
REJECTION_SMOOTHING = 0.03  # weight of a new decision in the moving average of a plan's rejection rate


class Quota:
    """Decides whether a request fits into its tenant's quota."""

    def __init__(
        self, settings: Settings, breaker: CounterBreaker, calls: CounterCalls, timers: Timers, random: Random
    ) -> None:
        self._settings = settings
        self._counter = settings.counter
        self._breaker = breaker
        self._calls = calls
        self._timers = timers
        self._random = random
        self._rejection_rates = [0.0 for _ in settings.plans]  # fraction of decisions by totals, by plan
        self._max_weight = max(c.priority_weight for c in settings.request_classes)
        # True in a large fleet, where a tenant may never come back to this gateway: each call then also adds
        # the units of the requests without a call that it stands for.
        self.samples_requests = False

    def estimate_rejection(self, pending: PendingRequest) -> None:
        """Set how likely a request is to be rejected, and whether it therefore counts as over the quota."""
        plan, usage = pending.plan, pending.tenant.usage
        rejections = usage.rejections + self._rejection_rates[pending.request.plan_index]
        pending.rejection_probability = rejections / (usage.decisions + 1.0)
        # If admitted without a total, it earns its weight within the quota, and beyond it the overage weight
        # less the overage cost. It counts as over the quota where the expected value is not positive.
        overage_loss = 1.0 + plan.overage_cost - plan.overage_weight
        pending.is_likely_over_quota = pending.rejection_probability * overage_loss >= 1.0

    def is_within_hard_limits(self, pending: PendingRequest) -> bool:
        """Return whether this gateway's shares of a plan's hard limits allow a request.

        These are the limit on open requests and the rate ceiling.
        """
        if not within_local_share(pending, self._counter is not None):
            return False
        return pending.tenant.ceiling.allows(pending.plan, pending.request.units)

    def decide(self, pending: PendingRequest, now: int) -> Admission:
        """Decide on a request of a plan with a rate, or call the counter for its total."""
        if self._counter is None:
            return self.decide_by_estimate(pending, now)
        if self._is_known_over_quota(pending, now):
            # Its units would only be subtracted again, and calls for retries would overload the counter.
            return Admission.REJECT_OVER_QUOTA
        if self._breaker.is_open:
            if self._breaker.acquire_trial(now):
                pending.counted_units = pending.request.units
                self._call(pending, None, pending.counted_units, now)
            return self.decide_by_estimate(pending, now)
        return self._call_or_estimate(pending, now)

    def _call_or_estimate(self, pending: PendingRequest, now: int) -> Admission:
        """Call the counter for the call fraction of the requests; decide the others by estimate."""
        fraction = self._call_fraction(pending)
        if self._random.random() < fraction:
            sampled = self.samples_requests and not pending.is_likely_over_quota
            pending.counted_units = pending.request.units / fraction if sampled else pending.request.units
            self._call(pending, pending.request.id, pending.counted_units, now)
            if self._counter is not None and self._counter.timeout > pending.max_counter_wait:
                self._timers.start(pending.max_counter_wait, CounterWaitExpired(pending.request.id))
            return Admission.WAIT_FOR_COUNTER
        if pending.is_likely_over_quota:
            return Admission.REJECT_OVER_QUOTA
        return self.decide_by_estimate(pending, now)

    def _call_fraction(self, pending: PendingRequest) -> float:
        fraction = self._breaker.call_fraction
        if fraction >= 1.0:
            return fraction
        if pending.is_likely_over_quota:
            return fraction * min(1.0, CALLS_PER_ADMISSION * (1.0 - pending.rejection_probability))
        if self.samples_requests:
            return fraction
        # The more of its burst a tenant has used, the more its total matters.
        utilization = (pending.tenant.usage.used + pending.request.units) / pending.plan.burst
        return fraction * (utilization / FULL_CALLS_UTILIZATION) ** 2

    def _is_known_over_quota(self, pending: PendingRequest, now: int) -> bool:
        """Return whether a request is over the quota for certain; one that may fit needs a call."""
        usage = pending.tenant.usage
        if not self._breaker.is_overloaded:
            return usage.used + pending.request.units > pending.plan.burst
        return not self._fits(pending, pending.request.units, now, usage.estimated_others)

    def _fits(self, pending: PendingRequest, units: float, now: int, disregarded: float = 0.0) -> bool:
        """Return whether the units fit, with a reserve where the tenant was near its limit recently.

        The reserve is for units that no total includes yet, and for classes of a higher priority weight.
        Without it a quota at its limit would go to small requests only, as larger ones would never find
        enough units free at once. `disregarded` units of the use count as free.
        """
        usage, plan = pending.tenant.usage, pending.plan
        reserve = 0.0
        if now - usage.near_limit_at < NEAR_LIMIT_REFILLS * plan.burst / plan.rate * SECOND:
            relative_weight = pending.request_class.priority_weight / self._max_weight
            reserve = (MIN_RESERVE_FRACTION + 1.0 - relative_weight) * self._settings.max_units
        fits = usage.fits(units, pending.request.entry_point_count, reserve, disregarded)
        if not fits:
            usage.near_limit_at = now
        return fits

    def decide_by_estimate(self, pending: PendingRequest, now: int) -> Admission:
        """Decide without a total; the next one replaces the estimate of the others' use.

        The others are assumed to admit units at the same time. While the counter is unavailable, each of them
        admits as much as this gateway; otherwise all together admit in the ratio to this gateway's units that
        totals have shown, or nothing if the counter was called for this request or calls are sampled. This
        keeps many gateways from admitting a burst each, but rejects too much where a tenant uses this gateway
        more often than before.
        """
        usage, units, others = pending.tenant.usage, pending.request.units, 0.0
        if self._breaker.is_open or self._counter is None:
            others = units * (max(1, pending.request.entry_point_count) - 1)
        elif not self.samples_requests and not pending.counted_units:
            others = units * usage.others_to_own_ratio(pending.request.entry_point_count)
        # With the estimate for many others one request may exceed the burst: it fits when nothing is used.
        if not self._fits(pending, units + others, now) or not self.is_within_hard_limits(pending):
            return Admission.REJECT_OVER_ESTIMATE
        usage.restart_window_if_expired(now)
        usage.used += units + others
        usage.estimated_others += others
        reports_later = self._counter is not None and not self.samples_requests and not self._breaker.is_open
        if reports_later and not pending.counted_units:
            usage.unreported += units
            pending.counted_units = units
        return Admission.ADMIT

    def _call(self, pending: PendingRequest, waiting_request_id: int | None, units: float, now: int) -> None:
        """Add units, and those not reported yet, to the tenant's total of this window."""
        tenant = pending.tenant
        tenant.usage.restart_window_if_expired(now)
        amount = units + tenant.usage.take_unreported()
        call = CounterCall(CountedResource.UNITS, tenant, amount, waiting_request_id)
        self._calls.add(units_total_name(tenant.id), call, tenant.usage.window.lifetime(now))

    def on_reply(
        self, call: CounterCall, reply: CounterReply, pending: PendingRequest | None, now: int
    ) -> Admission | None:
        """Handle the reply to a call; returns the decision on the request if it still waits for it."""
        is_waiting = pending is not None and pending.awaiting_admission
        usage = call.tenant.usage
        if reply.result is not Result.OK:
            usage.record_failed_call(call.amount, reply.result.proven_not_executed)
            return self.decide_by_estimate(pending, now) if pending is not None and is_waiting else None
        usage.refill(now)
        usage.apply_total(call.amount, reply.total, now)
        return self._decide_by_total(call, pending, now) if pending is not None and is_waiting else None

    def _decide_by_total(self, call: CounterCall, pending: PendingRequest, now: int) -> Admission:
        usage, plan_index = call.tenant.usage, pending.request.plan_index
        previously_unreported = max(0.0, call.amount - pending.counted_units)
        usage.mean_unreported += USAGE_SMOOTHING * (previously_unreported - usage.mean_unreported)
        rejected = not self._fits(pending, pending.request.units, now)
        usage.decisions += 1.0
        usage.rejections += rejected
        rejection_rate = self._rejection_rates[plan_index]
        self._rejection_rates[plan_index] = rejection_rate + REJECTION_SMOOTHING * (rejected - rejection_rate)
        if rejected or not self.is_within_hard_limits(pending):
            return Admission.REJECT_OVER_QUOTA
        usage.used += pending.request.units
        return Admission.ADMIT

    def return_counted_units(self, pending: PendingRequest, now: int) -> None:
        """Subtract from the tenant's total the units counted for a request that was never forwarded.

        While the counter is unavailable or overloaded, the next call for the tenant does this.
        """
        if not pending.counted_units:
            return
        subtraction = -pending.request.units * (pending.counted_units / pending.request.units)
        if not self._breaker.is_overloaded and not self._breaker.is_open:
            self._call(pending, None, subtraction, now)
        else:
            pending.tenant.usage.unreported += subtraction

    def undo_admission(self, pending: PendingRequest) -> None:
        """Undo the local count of an admitted request that is not forwarded after all."""
        usage = pending.tenant.usage
        usage.used = max(0.0, usage.used - pending.request.units)

    def correct_units(self, pending: PendingRequest, actual_units: float) -> None:
        """Correct the units of a request to the actual ones; the next call corrects the total."""
        usage = pending.tenant.usage
        correction = actual_units - pending.request.units
        usage.used = max(0.0, usage.used + correction)
        if pending.counted_units:
            usage.unreported += correction * pending.counted_units / pending.request.units

    def retry_after(self, pending: PendingRequest) -> int:
        """Return the time until the request may fit: at least one unit's refill, at most a window.

        For a plan without a rate, it is the latency objective. No time exceeds the maximum in the settings.
        """
        plan, limit = pending.plan, self._settings.limits.max_retry_after
        if plan.rate <= 0:
            return min(limit, pending.request_class.latency_objective)
        missing = max(1.0, pending.tenant.usage.used + pending.request.units - plan.burst)
        return min(window_length(plan), limit, int(missing / plan.rate * SECOND))
