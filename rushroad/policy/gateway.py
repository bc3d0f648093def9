"""The policy of one gateway: its actions depend only on its settings, its seed and the events so far.

`Gateway` passes each request through the components of the policy, each of which owns its state:

arrival    `tenants` has the state of the tenant; `client_retries` estimates when the client first sent it.
           `rate_ceiling` enforces the hard limit on the tenant's rate; `load_shedding` rejects the request if
           capacity is short; `quota` or `concurrency_quota` admits it by the total on the shared counter,
           which `counter_calls` requests and `counter_breaker` protects.
attempt    `load_balancer` chooses among the `active_endpoints` that `outlier_detection`, `slow_start` and
           `concurrency_limit` permit; `retry_policy` sets the timeout.
result     `attempt_result_recorder` updates `latency`, `throughput` and the components of an attempt;
           `retry_policy` decides on a retry.
answer     Each request gets one final answer, which is a rejection only if the client may safely retry.
endpoints  `endpoint_updates` applies updates to `endpoint_table`, the whole list, and to `active_endpoints`,
           the subset that `subsetting` gives this gateway; `clock_skew` bounds the error of their uptimes.

Times are whole microseconds.
"""

from __future__ import annotations

import random

from rushroad.policy.actions import Action, CancelAttempt, Fail, Reject, StartAttempt, WatchEndpoints
from rushroad.policy.active_endpoints import ActiveEndpoint, ActiveEndpoints
from rushroad.policy.admission import Admission
from rushroad.policy.attempt_result_recorder import AttemptResultRecorder
from rushroad.policy.client_retries import ClientRetryDetector
from rushroad.policy.clock_skew import ClockSkew
from rushroad.policy.concurrency_limit import ConcurrencyLimiter
from rushroad.policy.concurrency_quota import ConcurrencyQuota
from rushroad.policy.counter_breaker import CounterBreaker
from rushroad.policy.counter_calls import CountedResource, CounterCalls, tenant_of_units_total
from rushroad.policy.endpoint_table import EndpointTable
from rushroad.policy.endpoint_updates import EndpointUpdates
from rushroad.policy.events import (
    AttemptFinished,
    ClientDisconnected,
    CounterReply,
    EndpointUpdate,
    Event,
    LateCounterReply,
    Request,
    Result,
    TimerFired,
)
from rushroad.policy.latency import LatencyTracker
from rushroad.policy.load_balancer import LoadBalancer
from rushroad.policy.load_shedding import LoadShedding
from rushroad.policy.outbox import Outbox
from rushroad.policy.outlier_detection import OutlierDetector
from rushroad.policy.pending_request import InFlightAttempt, PendingRequest, PossibleExecution
from rushroad.policy.quota import Quota
from rushroad.policy.retry_policy import RetryPolicy
from rushroad.policy.settings import Settings
from rushroad.policy.slow_start import SlowStart
from rushroad.policy.tenants import DEFAULT_MAX_TENANTS, Tenants
from rushroad.policy.time_units import SECOND
from rushroad.policy.timers import (
    AttemptCheckDue,
    CounterWaitExpired,
    SubsetReviewDue,
    Timers,
    WatchRetryDue,
)

INITIAL_FAILURE_AGE = 60 * SECOND  # the counter breaker starts as if a call had last failed this long ago


class Gateway:
    """Owns the components of the policy and the requests that have no final answer yet."""

    def __init__(
        self, settings: Settings, seed: int, now: int, max_tenants: int = DEFAULT_MAX_TENANTS
    ) -> None:
        """Create a policy that keeps the state of at most about `max_tenants` tenants."""
        self._settings = settings
        self._random = random.Random(seed)
        self._now = now
        self._outbox = Outbox()
        self.pending_requests: dict[int, PendingRequest] = {}
        self.timers = Timers(self._outbox)
        self.latency = LatencyTracker(settings)
        self._create_quota_components(settings, now, max_tenants)
        self._create_endpoint_components(settings, now)
        self._create_routing_components(settings)

    def _create_quota_components(self, settings: Settings, now: int, max_tenants: int) -> None:
        self.tenants = Tenants(settings, now, max_tenants)
        self.client_retries = ClientRetryDetector(settings)
        self.counter_breaker = CounterBreaker(settings.counter, now, now - INITIAL_FAILURE_AGE)
        self.counter_calls = CounterCalls(self._outbox)
        self.quota = Quota(settings, self.counter_breaker, self.counter_calls, self.timers, self._random)
        self.concurrency_quota = ConcurrencyQuota(
            settings.counter,
            self.counter_breaker,
            self.counter_calls,
            self.timers,
            self.latency,
            self._random,
        )

    def _create_endpoint_components(self, settings: Settings, now: int) -> None:
        self._table = EndpointTable(settings.gateway_index, settings.fleet_size, settings.uses_cells)
        self.clock_skew = ClockSkew()
        self.limiter = ConcurrencyLimiter(settings, self._table)
        self.load_shedding = LoadShedding(settings, self.limiter, self.latency, self._table, now)
        self.outliers = OutlierDetector(self.latency, self.limiter)
        self.slow_start = SlowStart(settings.safety, self.clock_skew)
        self.endpoints = ActiveEndpoints(
            settings, self._table, self.limiter, self.outliers, self.slow_start, self._random
        )

    def _create_routing_components(self, settings: Settings) -> None:
        self.retry_policy = RetryPolicy(settings)
        self.load_balancer = LoadBalancer(
            settings,
            self.endpoints,
            self.limiter,
            self.outliers,
            self.slow_start,
            self.retry_policy,
            self._random,
        )
        self.attempt_result_recorder = AttemptResultRecorder(
            self.endpoints,
            self.limiter,
            self.load_shedding,
            self.load_balancer,
            self.outliers,
            self.latency,
            self.slow_start,
        )
        self.endpoint_updates = EndpointUpdates(
            settings,
            self._table,
            self.endpoints,
            self.clock_skew,
            self.limiter,
            self.load_shedding,
            self.counter_breaker,
            self.quota,
            self.timers,
            self._outbox,
            self._random,
        )

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event that occurs at `now`; returns the resulting actions in order."""
        self._now = now
        actions = self._outbox.start_event()
        match event:
            case Request():
                self._on_request(event)
            case AttemptFinished():
                self._on_attempt_finished(event)
            case CounterReply():
                self._on_counter_reply(event)
            case LateCounterReply():
                self._on_late_counter_reply(event)
            case TimerFired():
                self._on_timer(event)
            case EndpointUpdate():
                self.endpoint_updates.apply(event, now)
            case ClientDisconnected():
                self._on_client_disconnected(event)
        return actions

    # --- admission ----------------------------------------------------------------------------------------

    def _on_request(self, request: Request) -> None:
        pending = self._track(request)
        plan = pending.plan
        if not self._can_be_served(pending):
            self._reject_or_fail(pending)
        elif plan.rate > 0:
            self._apply_admission(self.quota.decide(pending, self._now), pending)
        else:
            self._apply_admission(self.concurrency_quota.decide(pending, self._now), pending)

    def _track(self, request: Request) -> PendingRequest:
        """Create the state of a new request, which lasts until its final answer."""
        request_class = self._settings.request_classes[request.class_index]
        plan = self._settings.plans[request.plan_index]
        tenant = self.tenants.refresh(request, plan, self._now)
        pending = PendingRequest(request, request_class, plan, tenant, self._now)
        self.pending_requests[request.id] = pending
        pending.objective_at -= self.client_retries.time_since_first_try(
            request, request_class, self._is_overloaded()
        )
        self.retry_policy.request_arrived()
        self.quota.estimate_rejection(pending)
        return pending

    def _is_overloaded(self) -> bool:
        if self.counter_breaker.is_overloaded:
            return True
        return self.limiter.pooled is not None and self.load_shedding.is_capacity_short

    def _can_be_served(self, pending: PendingRequest) -> bool:
        """Return whether time, hard limits and capacity allow a request, regardless of its quota."""
        usable_time = min(pending.max_counter_wait, pending.objective_at - self._now)
        if usable_time <= self._settings.tick or not self.quota.is_within_hard_limits(pending):
            return False
        deficit = self.load_shedding.priority_deficit(pending)
        return self.load_shedding.has_capacity(self.endpoints.ready, self._now, deficit)

    def _apply_admission(self, admission: Admission | None, pending: PendingRequest) -> None:
        """Act on an admission decision; None and WAIT_FOR_COUNTER leave the request unchanged."""
        if admission is Admission.ADMIT:
            self._start_next_attempt(pending)
        elif admission is not None and admission is not Admission.WAIT_FOR_COUNTER:
            self._reject_or_fail(pending)

    def _on_counter_reply(self, reply: CounterReply) -> None:
        call = self.counter_calls.take_oldest(reply.total_name)
        request_id = call.waiting_request_id
        pending = self.pending_requests.get(request_id) if request_id is not None else None
        self.counter_breaker.record(reply, self._now)
        if call.resource is CountedResource.UNITS:
            admission = self.quota.on_reply(call, reply, pending, self._now)
        else:
            admission = self.concurrency_quota.on_reply(call, reply, pending, self._now)
        if pending is not None:
            self._apply_admission(admission, pending)

    def _on_late_counter_reply(self, reply: LateCounterReply) -> None:
        tenant_id = tenant_of_units_total(reply.total_name)
        tenant = self.tenants.get(tenant_id) if tenant_id is not None else None
        if tenant is not None:
            tenant.usage.apply_late_total(reply.amount, reply.total, self._now)

    # --- attempts -----------------------------------------------------------------------------------------

    def _start_next_attempt(self, pending: PendingRequest, avoid: str | None = None) -> None:
        """Start the next attempt, or end the request if none is possible."""
        pending.awaiting_admission = False
        if not self.retry_policy.has_attempt_left(pending, self._now):
            self._reject_or_fail(pending)
            return
        endpoint = self._choose_endpoint(pending, avoid)
        if endpoint is None:
            self._reject_or_fail(pending)
            return
        self._start_attempt(pending, endpoint)

    def _choose_endpoint(self, pending: PendingRequest, avoid: str | None) -> ActiveEndpoint | None:
        """Return the endpoint for an attempt; None if no permitted endpoint has capacity."""
        now = self._now
        if not self.load_shedding.has_capacity(self.endpoints.ready, now):
            return None
        suspects = self.outliers.suspects(self.endpoints.ready, now)
        if self.endpoints.add_fallback_if_needed(len(suspects), now):
            self.endpoint_updates.active_endpoints_changed(now)
        ejected = self.outliers.select_ejected(suspects, len(self.endpoints.ready))
        endpoint = self.load_balancer.choose(pending, avoid, ejected, now)
        if endpoint is None and pending.possible_executions:
            entry = self.load_balancer.find_in_cell(pending, now)
            if entry is not None:
                endpoint = self.endpoints.add_fallback(entry, now)
                self.endpoint_updates.active_endpoints_changed(now)
        return endpoint

    def _start_attempt(self, pending: PendingRequest, endpoint: ActiveEndpoint) -> None:
        now, request, number = self._now, pending.request, pending.attempt_count
        timeout = self.retry_policy.attempt_timeout(pending, now)
        attempt_check_delay = self.retry_policy.attempt_check_delay(pending, now)
        if attempt_check_delay is not None:
            self.timers.start(attempt_check_delay, AttemptCheckDue(request.id, number))
        if number == 0:
            pending.tenant.ceiling.consume(request.units)
        if not pending.in_flight:
            pending.tenant.concurrency.request_opened()
        self._outbox.add(StartAttempt(request.id, endpoint.entry.name, timeout))
        self.load_shedding.attempt_started(now)
        endpoint.concurrency.in_flight[(request.id, number)] = now
        if endpoint.outlier.ejected:
            self.outliers.schedule_probe(endpoint, now)
        self.slow_start.consume(endpoint)
        pending.in_flight[number] = InFlightAttempt(endpoint, now)
        pending.attempt_count += 1

    # --- finished attempts --------------------------------------------------------------------------------

    def _on_attempt_finished(self, event: AttemptFinished) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        pending = self.pending_requests.get(event.request_id)
        self.load_shedding.attempt_finished(self._now)
        if event.is_final or pending is None:
            self.concurrency_quota.release(event.request_id)
        if endpoint is not None:
            self.attempt_result_recorder.record(endpoint, event, pending, self._now)
        if pending is None:
            return
        attempt = pending.in_flight.pop(event.attempt, None)
        if event.is_final or not pending.in_flight:  # otherwise a hedged attempt is in flight
            pending.tenant.concurrency.request_closed()
        if event.is_final:
            self._finish(pending, event)
            return
        if attempt is not None and not event.result.proven_not_executed:
            execution = PossibleExecution(attempt.endpoint.entry, attempt.started_at)
            pending.possible_executions.append(execution)
        if pending.in_flight:
            return
        if self.retry_policy.acquire_retry(pending, event.result):
            self._start_next_attempt(pending, event.endpoint)
        else:
            self._reject_or_fail(pending)

    def _finish(self, pending: PendingRequest, event: AttemptFinished) -> None:
        """Remove a request that has finished, by this attempt or before it."""
        if event.result is Result.OK and self._settings.uses_actual_units and event.actual_units is not None:
            self.quota.correct_units(pending, event.actual_units)
        del self.pending_requests[event.request_id]

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Remove a request. Attempts in flight continue; units of a request never forwarded are returned."""
        pending = self.pending_requests.pop(event.request_id, None)
        if pending is None:
            return
        if pending.attempt_count == 0:
            self.quota.return_counted_units(pending, self._now)
        elif pending.in_flight:
            pending.tenant.concurrency.request_closed()
        if not pending.in_flight:
            self.concurrency_quota.release(event.request_id)

    # --- timers -------------------------------------------------------------------------------------------

    def _on_timer(self, event: TimerFired) -> None:
        match self.timers.take_purpose(event.token):
            case WatchRetryDue():
                self._outbox.add(WatchEndpoints(enabled=True))
            case SubsetReviewDue():
                self.endpoint_updates.review_subset(self._now)
            case CounterWaitExpired(request_id):
                self._stop_waiting_for_counter(request_id)
            case AttemptCheckDue(request_id, attempt):
                self._check_attempt(request_id, attempt)

    def _stop_waiting_for_counter(self, request_id: int) -> None:
        """Decide on a request without its counter total, unless the total has arrived."""
        pending = self.pending_requests.get(request_id)
        if pending is None or not pending.awaiting_admission:
            return
        if pending.plan.rate > 0:
            self._apply_admission(self.quota.decide_by_estimate(pending, self._now), pending)
        else:
            self._apply_admission(self.concurrency_quota.decide_by_local_share(pending), pending)

    def _check_attempt(self, request_id: int, attempt_number: int) -> None:
        """Hedge or cancel an attempt if its endpoint is silent.

        An attempt that is merely slow is left alone: waiting for it is cheaper than repeating the work.
        """
        pending = self.pending_requests.get(request_id)
        attempt = pending.in_flight.get(attempt_number) if pending is not None else None
        if pending is None or attempt is None:
            return
        if not self.retry_policy.has_budget or self.limiter.pooled is not None:
            return
        if not self.attempt_result_recorder.eject_if_silent(attempt.endpoint, attempt.started_at, self._now):
            return
        if not self.retry_policy.may_hedge(pending):
            self._outbox.add(CancelAttempt(request_id, attempt_number))
            return
        other = self._choose_endpoint(pending, attempt.endpoint.entry.name)
        if other is not None:
            self.retry_policy.consume_retry()
            self._start_attempt(pending, other)

    # --- final answers ------------------------------------------------------------------------------------

    def _reject_or_fail(self, pending: PendingRequest) -> None:
        """Give the final answer to a request without a response: a rejection if it is safe to retry."""
        if self._settings.limits.cancellation_allowed:
            for attempt_number in pending.in_flight:
                self._outbox.add(CancelAttempt(pending.request.id, attempt_number))
        if not pending.attempt_count:
            if not pending.awaiting_admission:
                self.quota.undo_admission(pending)
            self.quota.return_counted_units(pending, self._now)
        if not pending.in_flight:
            self.concurrency_quota.release(pending.request.id)
        if pending.is_safe_to_retry:
            self._outbox.add(Reject(pending.request.id, self.quota.retry_after(pending)))
        else:
            self._outbox.add(Fail(pending.request.id))
        del self.pending_requests[pending.request.id]
