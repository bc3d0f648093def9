"""Admission by the cap that a plan sets on a tenant's open requests, over all gateways together.

Where a plan has no rate beside the cap, each open request holds a slot: one on the tenant's counter of open
requests, taken back when the request has ended. A plan with both keeps the cap by fixed shares.
"""

from __future__ import annotations

from random import Random

from rushroad.policy.admission import Admission
from rushroad.policy.counter_breaker import CounterBreaker
from rushroad.policy.counter_calls import CountedResource, CounterCall, CounterCalls, concurrency_counter_name
from rushroad.policy.counter_window import ROUNDING_MARGIN
from rushroad.policy.durations import SECOND
from rushroad.policy.events import CounterReply, Result
from rushroad.policy.latency import LatencyTracker
from rushroad.policy.pending_request import COUNTER_WAIT, PendingRequest
from rushroad.policy.settings import CounterSettings
from rushroad.policy.tenants import Tenant
from rushroad.policy.timers import CounterWaitOver, Timers

SLOT_LIFETIME = 8 * SECOND  # microseconds; a slot whose return was lost is free again after that
FULL_BACKOFF = 0.5  # of the mean time until a slot is free; so long requests are rejected without a call
HALF_SLOT = 0.5  # totals are counted in floating point


def within_local_share(pending: PendingRequest, has_counter: bool) -> bool:
    """Whether this gateway's part of the cap has a slot left, for plans that are not counted by slots."""
    if not pending.plan.concurrency or (pending.plan.rate <= 0 and has_counter):
        return True
    return _has_local_slot(pending)


def _has_local_slot(pending: PendingRequest) -> bool:
    entry_points = max(1, pending.request.entry_points)
    local_slots = -(-pending.plan.concurrency // entry_points)  # rounded up
    return pending.tenant.concurrency.open_requests < local_slots


class ConcurrencyQuota:
    """Holds a slot for each open request of a plan that caps only these."""

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
        self._slot_holders: dict[int, Tenant] = {}  # by request

    def decide(self, pending: PendingRequest, now: int) -> Admission:
        """Decide on a request of a plan without a rate, or call the counter for a slot."""
        if not pending.plan.concurrency or self._counter is None:
            return Admission.ADMIT
        if now < pending.tenant.concurrency.full_until:
            return Admission.REJECT_OVER_CONCURRENCY
        if self._breaker.is_open:
            if self._breaker.allow_trial(now):
                self._call(pending.tenant, 0.0, None)
            return self.decide_by_local_share(pending)
        if self._random.random() >= self._breaker.call_share:
            return self.decide_by_local_share(pending)
        self._call(pending.tenant, 1.0, pending.request.id)
        if self._counter.timeout > pending.counter_wait:
            self._timers.start(pending.counter_wait, CounterWaitOver(pending.request.id))
        return Admission.WAIT_FOR_COUNTER

    def decide_by_local_share(self, pending: PendingRequest) -> Admission:
        """Decide without a total, by this gateway's part of the cap."""
        return Admission.ADMIT if _has_local_slot(pending) else Admission.REJECT_OVER_CONCURRENCY

    def on_reply(
        self, call: CounterCall, reply: CounterReply, pending: PendingRequest | None, now: int
    ) -> Admission | None:
        """Take in the reply to a call; returns the decision on the request that still waits for it."""
        if call.amount < 0 and reply.result is Result.OK and reply.total < -ROUNDING_MARGIN:
            # The counter had been forgotten before the slot was returned: what it now lacks is put back.
            self._call(call.tenant, min(-call.amount, -reply.total), None)
        if call.amount <= 0 or call.waiting_request is None:
            return None
        if not reply.result.proven_not_executed:
            self._slot_holders[call.waiting_request] = call.tenant
        if pending is None:
            self.release(call.waiting_request)  # the client has disconnected
            return None
        return self._decide_by_total(reply, pending, now) if pending.awaiting_counter else None

    def _decide_by_total(self, reply: CounterReply, pending: PendingRequest, now: int) -> Admission:
        plan = pending.plan
        if reply.result is not Result.OK:
            return self.decide_by_local_share(pending)
        if reply.total <= plan.concurrency + HALF_SLOT:
            return Admission.ADMIT
        objective = pending.request_class.latency_objective
        typical = self._latency.typical(pending.request.class_index) or COUNTER_WAIT * objective
        pending.tenant.concurrency.full_until = now + int(FULL_BACKOFF * typical / plan.concurrency)
        return Admission.REJECT_OVER_CONCURRENCY

    def release(self, request_id: int) -> None:
        """Return the slot of a request that has ended, if it holds one."""
        tenant = self._slot_holders.pop(request_id, None)
        if tenant is not None and not self._breaker.is_open:
            self._call(tenant, -1.0, None)

    def _call(self, tenant: Tenant, amount: float, waiting_request: int | None) -> None:
        call = CounterCall(CountedResource.CONCURRENCY, tenant, amount, waiting_request)
        self._calls.add(concurrency_counter_name(tenant.id), call, SLOT_LIFETIME)
