"""Settings and a driver for tests of the policy; every action is checked against the rules.

All timestamps and durations are whole microseconds.
"""

from msgspec import structs

from rushroad.policy.actions import Action, CancelAttempt, CounterAdd, Fail, Reject, SetTimer, StartAttempt
from rushroad.policy.events import (
    AttemptFinished,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    Request,
    Result,
    TimerFired,
    UpdateKind,
)
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import (
    CounterSettings,
    Idempotency,
    Limits,
    Plan,
    RequestClass,
    SafetyLimits,
    Settings,
)
from tests.support.rule_checker import RuleChecker, RuleViolationError, TrackedRequest

MS = 1_000
SECOND = 1_000_000
START = 5_000 * SECOND
TENANT = 77

IDEMPOTENT, IDEMPOTENCY_KEY, NOT_IDEMPOTENT = 0, 1, 2
QUOTA_PLAN, CEILING_PLAN = 0, 1

SETTINGS = Settings(
    request_classes=(
        RequestClass(
            Idempotency.IDEMPOTENT, latency_objective=1 * SECOND, deadline=3 * SECOND, priority_weight=1.0
        ),
        RequestClass(
            Idempotency.IDEMPOTENCY_KEY,
            latency_objective=1 * SECOND,
            deadline=3 * SECOND,
            priority_weight=2.0,
            deduplication_window=2 * SECOND,
        ),
        RequestClass(
            Idempotency.NOT_IDEMPOTENT, latency_objective=2 * SECOND, deadline=6 * SECOND, priority_weight=2.0
        ),
    ),
    plans=(
        Plan(rate=2.0, burst=8.0),
        Plan(rate=10.0, burst=25.0, ceiling_rate=25.0, ceiling_burst=60.0, ceiling_slack=6.0),
    ),
    fleet_size=3,
    tick=2 * MS,
    limits=Limits(max_attempts=4, cancellation_allowed=True),
    safety=SafetyLimits(
        answer_slack=8 * MS,
        drain_grace=250 * MS,
        initial_capacity=0.25,
        warm_up_time=16 * SECOND,
        overload_multiple=2.0,
        overload_window=3 * SECOND,
    ),
    counter=CounterSettings(timeout=50 * MS),
    max_units=4.0,
    load_report_fields=("queue", "inflight"),
)


def ready_endpoint(number: int, **fields: int) -> Endpoint:
    """Return a ready endpoint."""
    return structs.replace(Endpoint(f"10.0.0.{number}:80", EndpointState.READY), **fields)


class CounterTotals:
    """Named totals; each expires after the lifetime given by its first call."""

    def __init__(self) -> None:
        self._totals: dict[int, tuple[float, int]] = {}
        self.created_count = 0  # including those created again after their expiry

    def add(self, call: CounterAdd, now: int) -> float:
        """Return the total after this call."""
        total, expires_at = self._totals.get(call.total_name, (0.0, now))
        if expires_at <= now:
            total, expires_at = 0.0, now + call.lifetime
            self.created_count += 1
        self._totals[call.total_name] = (total + call.amount, expires_at)
        return total + call.amount


class Driver:
    """Drives one gateway with events in virtual time; a RuleChecker checks its actions."""

    def __init__(self, settings: Settings = SETTINGS, endpoint_count: int = 4, seed: int = 1) -> None:
        self.settings, self.now = settings, START
        self.gateway = Gateway(settings, seed, self.now)
        self.rules = RuleChecker(settings)
        self.timers: list[tuple[int, int]] = []  # when each fires, and its token
        self.counter_calls: list[CounterAdd] = []  # calls without a reply, oldest first
        self.actions: list[Action] = []
        self.next_request_id = 1
        if endpoint_count:
            endpoints = (ready_endpoint(number + 1) for number in range(endpoint_count))
            self.update_endpoints(*endpoints, kind=UpdateKind.CACHED_SNAPSHOT)

    @property
    def requests(self) -> dict[int, TrackedRequest]:
        """All requests so far, by ID."""
        return self.rules.requests

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """All endpoints that the list has ever contained, as last updated."""
        return self.rules.endpoints

    # --- events -----------------------------------------------------------------------------------------

    def handle(self, event: Event) -> list[Action]:
        """Let the gateway handle an event; return its actions."""
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            self._execute(action)
        self.actions += actions
        return actions

    def update_endpoints(self, *endpoints: Endpoint, kind: UpdateKind = UpdateKind.DELTA) -> list[Action]:
        """Send an endpoint update."""
        update = EndpointUpdate(kind, 1, endpoints)
        self.rules.update_endpoints(update, self.now)
        return self.handle(update)

    def request(
        self,
        class_index: int = IDEMPOTENT,
        plan_index: int = QUOTA_PLAN,
        tenant: int = TENANT,
        units: float = 1.0,
        time_remaining: int | None = None,
        entry_point_count: int = 1,
    ) -> list[Action]:
        """Send a request, by default with the deadline of its class as time remaining."""
        if time_remaining is None:
            time_remaining = self.settings.request_classes[class_index].deadline
        request = Request(
            self.next_request_id, class_index, plan_index, tenant, units, time_remaining, entry_point_count
        )
        self.next_request_id += 1
        self.requests[request.id] = TrackedRequest(request, self.now + time_remaining)
        return self.handle(request)

    def counter_reply(self, total: float = 0.0, result: Result = Result.OK, call: int = 0) -> list[Action]:
        """Reply to a counter call, by default the oldest."""
        total_name = self.counter_calls.pop(call).total_name
        return self.handle(CounterReply(total_name, result, 1 * MS, total))

    def admit(self, **fields: int | float) -> StartAttempt:
        """Send a request and have the counter admit it; return its attempt."""
        self.request(**fields)  # type: ignore[arg-type]
        actions = self.counter_reply(1.0) if self.counter_calls else self.actions
        return next(action for action in reversed(actions) if isinstance(action, StartAttempt))

    def finish_attempt(
        self,
        request_id: int,
        result: Result = Result.OK,
        attempt: int | None = None,
        load_report: tuple[float, ...] = (),
    ) -> list[Action]:
        """Finish an attempt, by default the last one."""
        tracked = self.requests[request_id]
        number = max(tracked.attempts) if attempt is None else attempt
        record = tracked.attempts[number]
        tracked.in_flight.discard(number)
        if not result.proven_not_executed:
            tracked.possible_executions.append(record)
        tracked.is_answered = tracked.is_answered or result is Result.OK
        elapsed, is_final = self.now - record.started_at, tracked.is_answered
        return self.handle(
            AttemptFinished(
                request_id, number, record.endpoint, result, elapsed, is_final, load_report=load_report
            )
        )

    def open_requests(self, tenant_id: int) -> int:
        """Return the gateway's count of a tenant's requests with attempts in flight."""
        tenant = self.gateway.tenants.get(tenant_id)
        assert tenant is not None
        return tenant.concurrency.open_requests

    def finish_all(self) -> None:
        """Finish all attempts in flight successfully."""
        for tracked in list(self.requests.values()):
            for attempt in sorted(tracked.in_flight):
                self.finish_attempt(tracked.request.id, Result.OK, attempt)

    def disconnect(self, request_id: int) -> list[Action]:
        """Disconnect the client of a request."""
        self.requests[request_id].is_answered = True
        return self.handle(ClientDisconnected(request_id))

    def wait(self, duration: int) -> list[Action]:
        """Advance the virtual time: due timers fire, and attempts reach their timeouts."""
        end = self.now + duration
        seen = len(self.actions)
        while True:
            due = self._next_due()
            if due is None or due[0] > end:
                break
            due_at, is_attempt, token_or_request_id, attempt = due
            self.now = max(self.now, due_at)
            if is_attempt:
                self.finish_attempt(token_or_request_id, Result.TIMEOUT, attempt)
            else:
                self.timers.remove((due_at, token_or_request_id))
                self.handle(TimerFired(token_or_request_id))
        self.now = end
        self.rules.check_answered_in_time(self.now)
        return self.actions[seen:]

    def _next_due(self) -> tuple[int, bool, int, int] | None:
        """Return the timer or attempt timeout that is due next.

        The parts are its time, whether it is an attempt, its token or request ID, and its attempt number.
        """
        due = [(at, False, token, 0) for at, token in self.timers]
        due += [
            (tracked.attempts[attempt].times_out_at, True, tracked.request.id, attempt)
            for tracked in self.requests.values()
            for attempt in tracked.in_flight
        ]
        return min(due, default=None)

    # --- actions ----------------------------------------------------------------------------------------

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self.rules.check_attempt(action, self.now)
            case Reject() | Fail():
                self.rules.check_answer(action, action.request_id)
            case CancelAttempt():
                if action.attempt not in self.requests[action.request_id].attempts:
                    raise RuleViolationError(
                        f"request {action.request_id}: cancelled attempt {action.attempt} was never started"
                    )
            case SetTimer():
                if action.delay < 0:
                    raise RuleViolationError(f"timer {action.token} has a negative delay: {action.delay} us")
                self.timers.append((self.now + max(action.delay, self.settings.tick), action.token))
            case CounterAdd():
                self.counter_calls.append(action)
            case _:
                pass


def action_names(actions: list[Action]) -> list[str]:
    """Return the type names of actions, except SetTimer."""
    return [type(action).__name__ for action in actions if not isinstance(action, SetTimer)]
