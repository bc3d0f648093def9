"""Admission by a plan's limit on a tenant's open requests, over all gateways together.

Where a plan limits only these, each open request holds a slot: it adds one to the tenant's total of open
requests on the counter, and subtracts it when it has finished. Where a plan also has a rate, each gateway
keeps to a fixed share of the limit. Times are whole microseconds.
"""

from __future__ import annotations

from random import Random

from rushroad.policy.admission import Admission
from rushroad.policy.counter_breaker import CounterBreaker
from rushroad.policy.counter_calls import CountedResource, CounterCall, CounterCalls, concurrency_total_name
from rushroad.policy.counter_window import ROUNDING_MARGIN
from rushroad.policy.events import CounterReply, Result
from rushroad.policy.latency import LatencyTracker
from rushroad.policy.pending_request import COUNTER_WAIT_FRACTION, PendingRequest
from rushroad.policy.settings import CounterSettings
from rushroad.policy.tenants import Tenant
from rushroad.policy.time_units import SECOND
from rushroad.policy.timers import CounterWaitExpired, Timers

SLOT_LIFETIME = 8 * SECOND  # of the total; a slot whose return was lost is free again when it expires
FULL_BACKOFF_FRACTION = 0.5  # of the mean time to a free slot; requests are rejected that long without a call
SLOT_ROUNDING_MARGIN = 0.5  # slots; totals are floating-point numbers


def within_local_share(pending: PendingRequest, has_counter: bool) -> bool:
    """Return whether this gateway's share of the limit admits a request, or the counter holds the slots."""
    if not pending.plan.concurrency or (pending.plan.rate <= 0 and has_counter):
        return True
    return _has_local_slot(pending)


def _has_local_slot(pending: PendingRequest) -> bool:
    entry_point_count = max(1, pending.request.entry_point_count)
    local_slots = -(-pending.plan.concurrency // entry_point_count)  # rounded up
    return pending.tenant.concurrency.open_requests < local_slots


class ConcurrencyQuota:
    """Holds a slot for each open request of a plan that limits only these."""

    def __init__(
        self,
        counter: CounterSettings | None,
        breaker: CounterBreaker,
        calls: CounterCalls,
        timers: Timers,
        latency: LatencyTracker,
        random: Random,
    ) -> None:
        self._counter = counter
        self._breaker = breaker
        self._calls = calls
        self._timers = timers
        self._latency = latency
        self._random = random
        self._slots: dict[int, Tenant] = {}  # request ID to the tenant of the slot that it holds

    def decide(self, pending: PendingRequest, now: int) -> Admission:
        """Decide on a request of a plan without a rate, or call the counter for a slot."""
        if not pending.plan.concurrency or self._counter is None:
            return Admission.ADMIT
        if now < pending.tenant.concurrency.full_until:
            return Admission.REJECT_OVER_CONCURRENCY
        if self._breaker.is_open:
            if self._breaker.acquire_trial(now):
                self._call(pending.tenant, 0.0, None)
            return self.decide_by_local_share(pending)
        if self._random.random() >= self._breaker.call_fraction:
            return self.decide_by_local_share(pending)
        self._call(pending.tenant, 1.0, pending.request.id)
        if self._counter.timeout > pending.max_counter_wait:
            self._timers.start(pending.max_counter_wait, CounterWaitExpired(pending.request.id))
        return Admission.WAIT_FOR_COUNTER

    def decide_by_local_share(self, pending: PendingRequest) -> Admission:
        """Decide without a total, by this gateway's share of the limit."""
        return Admission.ADMIT if _has_local_slot(pending) else Admission.REJECT_OVER_CONCURRENCY

    def on_reply(
        self, call: CounterCall, reply: CounterReply, pending: PendingRequest | None, now: int
    ) -> Admission | None:
        """Handle the reply to a call; returns the decision on the request if it still waits for it."""
        if call.amount < 0 and reply.result is Result.OK and reply.total < -ROUNDING_MARGIN:
            # The total had expired before the slot was returned: the missing amount is added back.
            self._call(call.tenant, min(-call.amount, -reply.total), None)
        if call.amount <= 0 or call.waiting_request_id is None:
            return None
        if not reply.result.proven_not_executed:
            self._slots[call.waiting_request_id] = call.tenant
        if pending is None:
            self.release(call.waiting_request_id)  # the client has disconnected
            return None
        return self._decide_by_total(reply, pending, now) if pending.awaiting_admission else None

    def _decide_by_total(self, reply: CounterReply, pending: PendingRequest, now: int) -> Admission:
        plan = pending.plan
        if reply.result is not Result.OK:
            return self.decide_by_local_share(pending)
        if reply.total <= plan.concurrency + SLOT_ROUNDING_MARGIN:
            return Admission.ADMIT
        objective = pending.request_class.latency_objective
        latency = self._latency.typical(pending.request.class_index) or COUNTER_WAIT_FRACTION * objective
        pending.tenant.concurrency.full_until = now + int(FULL_BACKOFF_FRACTION * latency / plan.concurrency)
        return Admission.REJECT_OVER_CONCURRENCY

    def release(self, request_id: int) -> None:
        """Return the slot of a request that has finished, if it holds one."""
        tenant = self._slots.pop(request_id, None)
        if tenant is not None and not self._breaker.is_open:
            self._call(tenant, -1.0, None)

    def _call(self, tenant: Tenant, amount: float, waiting_request_id: int | None) -> None:
        call = CounterCall(CountedResource.CONCURRENCY, tenant, amount, waiting_request_id)
        self._calls.add(concurrency_total_name(tenant.id), call, SLOT_LIFETIME)
