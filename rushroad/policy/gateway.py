"""The decisions of a gateway. Its messages are in `events.py` and `actions.py`, the endpoint list
in `endpoints.py`, the part of it that a gateway keeps to in `subsetting.py`.

A request's way, in the order of this file:

meter   `_on_request` adds its units to the tenant's count on the counter service and waits for the total;
        `_on_counted` lets it go on while the total stays within the allowance, else adds the units back and
        refuses at once. `_ask_place` and `_leave_place` count open requests so, where a plan caps only these.
        `_may_pass` holds ceilings with this gateway's own share, whatever the counter says.
choose  `_choose` takes the server with the least expected wait among those that may be sent to.
send    `_send` starts an attempt, with a time-out that leaves room for another one where a repeat is allowed.
outcome `_on_outcome` learns from how it ended, and sends again where the class and the retry budget allow.
answer  `_end` gives the one final answer, as a refusal only where that is known to be harmless.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Iterator
from itertools import islice

from rushroad.policy.actions import (
    Action,
    CancelAttempt,
    CounterAdd,
    Fail,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from rushroad.policy.clock_skew import ClockSkew
from rushroad.policy.counter_window import ROUNDING_MARGIN, CounterWindow
from rushroad.policy.endpoints import EndpointTable
from rushroad.policy.events import (
    AttemptOutcome,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    LateCounterReply,
    Request,
    Result,
    TimerFired,
    UpdateKind,
)
from rushroad.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from rushroad.policy.subsetting import AFFORDABLE_REPLICAS

SECOND = 1_000_000  # microseconds
NAME_LIFE = 60 * SECOND  # microseconds; the longest that the counter keeps a name
METER_PATIENCE = 0.1  # of the class's aim; how long a request waits for its total
BREAKER_TRIP = 3  # counter calls failed in a row before requests stop waiting for it: one or two are chance
TRIAL_EVERY = 4  # counter time-outs between trial calls while the breaker is open: light work for it
CALL_CUT = 0.7  # what is left of the share of requests that call, after a call that found the counter crowded
CALL_RAISE = 0.02  # how much that share grows with a prompt answer; with the cut, one call in ten is late
CALL_SLOW = 0.5  # of the counter's time limit; after slower answers the share of calls does not grow
TRY_MATCH = 0.01  # of a class's deadline; how near to the usual patience a first try's time left is
CALL_LEAST = 0.1  # of the requests that call at the least, so that a counter with room again is noticed soon
CALL_HALF = 0.5  # of the burst taken; there a tenant gets that share, with the square of it below and above
EDGE_MOST = 0.5  # of the burst that is kept free for what other gateways have not told yet
SHORT_WINDOWS = 2.0  # windows after a want of room in which cheaper classes leave some for dearer ones
SHORT_KEEP = 0.5  # of the largest request; what every class leaves free then
OTHERS_DOUBT = 2.0  # own units seen in totals at which they tell as much of the others' part as an even split
LOOK_WINDOWS = 8.0  # windows after which what totals said of a tenant has faded: long spells last longer
WINDOW_BURSTS = 2.0  # bursts that are refilled in a window: each edge may let pass one more
REFILL_PART = 1.0 - 1.0 / WINDOW_BURSTS  # of the refill; with the burst at a window's start it makes the rate
HOT_CALLS = 2.0  # calls for a tenant beyond its quota, for each that is likely to find room
SMOOTH = 0.2  # share of a new reading in a running mean: about the last ten readings count
PACE_SMOOTH = 0.03  # the same for answer times: work varies as much as its mean, so some thirty must count
MEAN_SPAN = 5 * SECOND  # microseconds; over which a server's answers a second are judged: tens of answers
ERROR_LIMIT = 0.3  # share of errors at which a server is set aside; healthy ones are far below
ASIDE_MOST = 0.5  # part of the servers that may be set aside: if more look bad, suspect something shared
ASIDE_CALLS = 6.0  # mean service times that a server set aside waits before one request tries it
SILENT_ANSWERS = 3.0  # answers owed in the mean when silence tells of a server: chance is one in twenty
SILENCE = 5.0  # times the usual answer time without any answer before a server counts as silent
ERROR_WEIGHT = 4.0  # how much a server's error share adds to its expected wait: an error costs a request
AVOID = 10.0  # times the expected wait at the server that the last attempt failed at: only if all are as slow
RETRY_SHARE = 0.15  # further attempts for each request, in the long run: they must not double an overload
RETRY_SAVED = 10.0  # further attempts saved up at most: one bad server's share of a burst
FIRST_SPLIT = 0.5  # of the time to the aim; what the first of two possible attempts gets
LATE_PART = 0.3  # of the aim; half of the answers slower than this say that a server holds too much
RESERVE = 0.5  # of the room saved up; what is left for others by those who are refused first
LIMIT_START = 4.0  # attempts out at a server at first, by all gateways: a few for each core
LIMIT_RAISE = 1.0  # attempts more, by all gateways, after as many timely answers as a server may hold
LIMIT_CUT = 0.6  # what is left of a server's limit after an answer that came too late
ABANDON_AIMS = 2.0  # aims after which a server that never answered has surely dropped an attempt given up
TENANT_SHIFT = 24  # bits of a count's name below the tenant
PLACE = 1 << 63  # marks the names of counts of open requests; names of units are below it
PLACE_WINDOW = 8 * SECOND  # microseconds; a place whose giving back was lost is free again after that
FULL_WAIT = 0.5  # of the mean time until a place is free again; so long a full tenant is refused uncounted
WATCH_AGAIN = 10  # the part of the asking span after which a failed call to the list is made again
WATCH_TOKEN = 0  # the timer of that; the timers of requests count from 1
SHARE_TOKEN = 0xFFFFFFFF  # the timer of the next part of the list, where all of it has to be looked at
SHARE_PART = 1_000  # entries looked at in one part: some milliseconds
COLD_MARGIN = 0.6  # of the allowed sends to a cold server; the rest is for chance and what others do unevenly
FILL_BELOW = 0.5  # of the subset's usual size; with fewer good servers some from outside fill it up
STALE = SECOND  # microseconds after which what a server last showed of its load says little
PACE_TRUST = 10.0  # own answers of a server at which its pace counts as much as the pace of its kind


def _window_length(plan: Plan) -> int:
    """Microseconds that a tenant's count lives."""
    return (
        max(SECOND, min(NAME_LIFE // 2, int(WINDOW_BURSTS * plan.burst / plan.rate * SECOND)))
        if plan.rate > 0
        else SECOND
    )


class _Tenant:
    """What this gateway knows of one tenant's use. `debt` is units taken and not yet refilled, over all."""

    __slots__ = (
        "at",
        "backlog",
        "burst",
        "ceiling",
        "debt",
        "excess",
        "full_until",
        "guess",
        "limit_at",
        "looks",
        "lost",
        "open",
        "over",
        "owed",
        "rate",
        "seen_others",
        "seen_own",
        "short_at",
        "spare",
        "unheard",
        "window",
    )

    def __init__(self, plan: Plan, window: CounterWindow, now: int) -> None:
        self.burst, self.rate, self.debt, self.at = plan.burst, plan.rate, 0.0, now
        self.spare = 0.0  # units refilled since the last total that found no debt here
        self.window = window
        self.looks, self.over = 0.0, 0.0  # decisions by total, and refusals among them, fading
        self.excess = 0.0  # units in the window's totals that found no room in the burst
        self.guess = 0.0  # part of `debt` that stands for others until the next total
        self.seen_own, self.seen_others = 0.0, 0.0  # units that totals held, by whom, fading
        self.unheard = 0  # calls in the window that ended without a total, which may still come
        self.lost = 0.0  # adds in the window whose answer never came: the next total holds them
        self.owed = 0.0  # units that passed without a call: to be added with the next one
        self.backlog = 0.0  # running mean of what was owed when calls were made
        self.ceiling, self.limit_at = 0.0, now
        self.short_at = now - NAME_LIFE  # when it was last found to have no room
        self.open = 0
        self.full_until = now  # until then no place is free, as the last count of open requests told

    def leave_window(self) -> None:
        """The count is a new one: it holds nothing of what was guessed, lost or beyond the quota before."""
        self.guess, self.excess, self.lost, self.unheard = 0.0, 0.0, 0.0, 0
        self.owed = max(0.0, self.owed)  # this count never held what would be taken back

    def refill(self, now: int) -> None:
        """Move the debt on to now."""
        back = self.rate * (now - self.at) / SECOND
        self.spare += max(0.0, back - self.debt)
        self.debt, self.at = max(0.0, self.debt - back), now

    def refilled(self, others: float, now: int) -> float:
        """What has been refilled of the others' use since the last total, as if they had come evenly.

        Guards tenants that come through many gateways: each of them sees the use of a whole window at once,
        and would take all of it for a debt of this moment. Harmless where a gateway looks often.
        """
        spare = min(self.spare, self.rate * (now - self.window.started_at) / SECOND)
        self.spare = 0.0
        return min(max(0.0, others), REFILL_PART * spare)

    def take(self, units: float) -> None:
        """The use of others, or what they have taken back: first of what was on top of the burst.

        What goes beyond a quota takes nothing from it. Guards against a debt that stays too high for as long
        as the tenant asks for all that is refilled; lets through too much where takebacks are lost.
        """
        back = min(self.excess, max(0.0, -units))
        debt = max(0.0, self.debt + units + back)
        self.debt = min(debt, self.burst)
        self.excess += debt - self.debt - back

    def fits(self, units: float, spread: int, keep: float, sure: float = 0.0) -> bool:
        """There is room, but for `sure` units of the debt, beside what other gateways owe the counter.

        They are taken to owe as this one does. Guards a quota at its edge, where one unit of it unseen is one
        too many; a tenant that is always there loses nothing, one that comes in bursts a part of each.
        """
        edge = min(EDGE_MOST * self.burst, self.backlog * self.others(spread) + keep)
        return self.debt - sure + units + edge <= max(self.burst, units + edge)

    def others(self, spread: int) -> float:
        """Units that others let through for each one here: as totals told, else as much at each gateway."""
        told = max(0.0, self.seen_others) + OTHERS_DOUBT * max(0, spread - 1)
        return told / (max(0.0, self.seen_own) + OTHERS_DOUBT)


class _Limit:
    """How many attempts this gateway may have at a server; a fraction of one in large fleets."""

    __slots__ = ("cut_at", "most")

    def __init__(self, most: float, now: int) -> None:
        self.most, self.cut_at = most, now  # and when it was last cut


class _Kind:
    """What servers of one kind share: a gateway of a large fleet meets each of them too seldom."""

    __slots__ = ("at", "counted_at", "mean_warm", "pace", "rate", "seen", "warm")

    def __init__(self, now: int) -> None:
        self.pace, self.seen = 1.0, 0  # answer time against the usual of the class, and answers behind it
        self.rate, self.at = 0.0, now  # answers a second from all warm ones to this gateway, fading
        # Warm ones now, and in a mean that fades as the answers do: where many have just restarted, what both
        # tell of the time before still holds for each.
        self.warm, self.mean_warm, self.counted_at = 0, 0.0, now

    def rate_at(self, now: int) -> float:
        """Answers a second over about the last MEAN_SPAN."""
        return self.rate * math.exp((self.at - now) / MEAN_SPAN)

    def count(self, warm: int, now: int) -> None:
        """So many of them are warm from now on."""
        self.mean_warm = self.mean_warm_at(now) or warm
        self.warm, self.counted_at = warm, now

    def mean_warm_at(self, now: int) -> float:
        """How many were warm over about the last MEAN_SPAN."""
        return self.warm + (self.mean_warm - self.warm) * math.exp((self.counted_at - now) / MEAN_SPAN)


class _Server:
    """What this gateway knows of one server."""

    __slots__ = (
        "abandoned",
        "answered_at",
        "aside",
        "cold_at",
        "cold_left",
        "errors",
        "guest",
        "kind",
        "limit",
        "line",
        "load",
        "load_at",
        "out",
        "pace",
        "seen",
        "trial",
    )

    def __init__(self, line: Endpoint, now: int, limit: _Limit, kind: _Kind) -> None:
        self.line, self.limit, self.kind = line, limit, kind
        self.guest = False  # from outside the subset, as long as that is short of good servers
        self.abandoned: list[int] = []  # when attempts were sent that were given up, but may still wait there
        self.out: dict[tuple[int, int], int] = {}  # (request, attempt) -> sent at
        self.pace, self.seen = 1.0, 0  # answer time against the usual of the class, and answers behind it
        self.errors = 0.0
        self.answered_at = now
        self.aside, self.trial = False, 0  # set aside; when it may be tried next
        self.load, self.load_at = 0.0, now
        self.cold_left, self.cold_at = 0.0, now

    def held(self, since: int) -> int:
        """Attempts that are out, or given up but perhaps still there if sent later than `since`."""
        return len(self.out) + (sum(sent > since for sent in self.abandoned) if self.abandoned else 0)

    def put_aside(self, now: int, span: int) -> None:
        """Leave it alone, but for one trial after each span."""
        self.aside, self.trial = True, now + span

    def count_pace(self, pace: float, answered: bool, now: int) -> None:
        """One more answer time, or a part of one, of this server and its kind; an answer while it is warm?"""
        for known in (self, self.kind):
            known.seen += 1
            known.pace += max(PACE_SMOOTH, 1.0 / known.seen) * (pace - known.pace)
        if answered:
            self.kind.rate, self.kind.at = self.kind.rate_at(now) + SECOND / MEAN_SPAN, now


class _Job:
    """A request that is owed its final answer."""

    __slots__ = (
        "added",
        "aim_at",
        "attempts",
        "cls",
        "tenant",
        "deadline",
        "held",
        "live",
        "ran",
        "request",
    )

    def __init__(self, request: Request, cls: RequestClass, tenant: _Tenant, now: int) -> None:
        self.request, self.cls, self.tenant = request, cls, tenant
        self.deadline, self.aim_at = (
            now + request.time_remaining,
            now + min(cls.latency_objective, request.time_remaining),
        )
        self.attempts = 0
        self.live: dict[int, tuple[_Server, int]] = {}  # attempts that are out: server and when sent
        self.ran: list[tuple[Endpoint, int]] = []  # attempts that may have run: where and when sent
        self.held = True  # waiting for its total
        self.added = 0.0  # what was added to the count for it


class Gateway:
    """One gateway's decisions: a pure function of its settings, its seed and the events it is given."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self._s = settings
        self._random = random.Random(seed)
        self._born = now
        self._now = now
        self._out: list[Action] = []
        self._servers: dict[str, _Server] = {}
        cells = any(
            c.idempotency is Idempotency.IDEMPOTENCY_KEY and c.deduplication_scope is DeduplicationScope.CELL
            for c in settings.request_classes
        )
        self._table = EndpointTable(settings.gateway_index, settings.fleet_size, cells)
        self._looking: Iterator[Endpoint] | None = None  # over all entries, as their share has changed
        self._ready: list[_Server] = []  # those of the subset, and guests, that are ready
        self._kinds: dict[int, _Kind] = {}
        self._warm, self._warm_at = 0, now - NAME_LIFE  # warm ones among these, and when they were counted
        self._clock_skew = ClockSkew()
        self._pooled: _Limit | None = None  # one limit for all, where many gateways share each server
        self._live, self._credit, self._credit_at = 0, 0.0, now  # attempts out; attempt-microseconds saved up
        self._mean_value = 1e-9  # running mean of worth for the work
        self._mean_load = 0.0  # running mean of reported loads
        self._tenants: OrderedDict[int, _Tenant] = OrderedDict()
        self._jobs: dict[int, _Job] = {}
        self._asked: dict[int, list[int | None]] = {}  # count name: requests of its open calls
        self._amounts: dict[int, list[tuple[_Tenant, float]]] = {}
        self._places: dict[int, tuple[int, _Tenant]] = {}  # requests that hold a place, and on which count
        self._usual = [0.0 for _ in settings.request_classes]  # running mean answer time by class
        # Counter calls failed in a row, each sent after the one before had; when the last one did.
        self._failed, self._failed_at = 0, now - NAME_LIFE
        self._trial_at = now  # when to try next
        self._patience = [
            (0, 0) for _ in settings.request_classes
        ]  # usual time left of a try, and votes for it
        self._over = [0.0 for _ in settings.plans]  # part of the decisions by total that were refusals
        self._calling, self._calling_cut = 1.0, now  # share of the requests that call; when it was last cut
        self._retries = RETRY_SAVED
        self._dearest = max(cls.priority_weight for cls in settings.request_classes)
        self._longest = max(cls.latency_objective for cls in settings.request_classes)
        self._credit = float(self._longest)
        self._tokens: dict[int, tuple[int, int | None]] = {}  # timers: request, and attempt; None: its total
        self._token = 0

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event; return what to do, in order."""
        self._now = now
        self._out = []
        match event:
            case Request():
                self._on_request(event)
            case AttemptOutcome():
                self._on_outcome(event)
            case CounterReply():
                self._on_counted(event)
            case LateCounterReply():
                self._on_late(event)
            case TimerFired():
                self._on_timer(event)
            case EndpointUpdate():
                self._on_members(event)
            case ClientDisconnected():
                self._on_expired(event)
        return self._out

    # --- meter ------------------------------------------------------------------------------------------

    def _on_request(self, request: Request) -> None:
        plan, cls = self._s.plans[request.plan_index], self._s.request_classes[request.class_index]
        tenant = self._tenant(request, plan)
        job = self._jobs[request.id] = _Job(request, cls, tenant, self._now)
        job.aim_at -= self._spent(request, cls)
        self._retries = min(RETRY_SAVED, self._retries + RETRY_SHARE)
        patience = min(int(cls.latency_objective * METER_PATIENCE), request.time_remaining // 2)
        doubt = (tenant.over + self._over[request.plan_index]) / (tenant.looks + 1.0)
        # Letting a request through uncounted earns its worth, or costs what going beyond the quota costs.
        hot = doubt * (1.0 + plan.overage_cost - plan.overage_weight) >= 1.0
        hopeless = min(patience, job.aim_at - self._now) <= self._s.tick
        if hopeless or not self._may_pass(job, plan) or not self._room(self._rank(job, plan, hot)):
            self._end(job)  # also what comes with no time left for a call and an answer
        elif plan.rate <= 0:
            self._ask_place(job, plan, patience)
        elif self._s.counter is None:
            self._decide_alone(job, plan)
        elif self._no_room(job, plan):
            # Known to have no room: its add would only be taken back, and repeats would swamp the counter.
            self._end(job)
        elif self._failed >= BREAKER_TRIP:
            if self._now >= self._trial_at:
                self._trial_at = self._now + TRIAL_EVERY * self._s.counter.timeout
                job.added = request.units
                self._count(job, plan, None, job.added)
            self._decide_alone(job, plan)
        else:
            share = self._calling
            if hot and share < 1.0:
                share *= min(1.0, HOT_CALLS * (1.0 - doubt))
            elif share < 1.0 and self._pooled is None:
                # The nearer to the burst, the more a total tells; what is far from it is owed meanwhile.
                share *= ((tenant.debt + request.units) / plan.burst / CALL_HALF) ** 2
            if self._random.random() < share:
                # In a large fleet a tenant may not come here again: this stands for those that pass.
                job.added = request.units if hot or self._pooled is None else request.units / share
                self._count(job, plan, request.id, job.added)
                if self._s.counter.timeout > patience:
                    self._set_timer(patience, request.id, None)
            elif hot:
                self._end(job)
            else:
                self._decide_alone(job, plan)

    def _no_room(self, job: _Job, plan: Plan) -> bool:
        """Known before any call. What may just fit is for a total to say, as long as the counter keeps up."""
        if self._calling >= 1.0:
            return job.tenant.debt + job.request.units > plan.burst
        return not self._within(job, plan, job.request.units, job.tenant.guess)

    def _within(self, job: _Job, plan: Plan, units: float, sure: float = 0.0) -> bool:
        """There is room for the units, and for some more where the tenant went short of late.

        For adds that no total holds yet, as going beyond costs more than waiting; and for dearer requests.
        Guards against a quota that goes at its edge to whatever is small enough: what needs more room at once
        would never find it. Harms the cheaper class of a tenant that asks for more than its quota.
        """
        tenant = job.tenant
        short = self._now - tenant.short_at < SHORT_WINDOWS * plan.burst / plan.rate * SECOND
        keep = (
            (SHORT_KEEP + 1.0 - job.cls.priority_weight / self._dearest) * self._s.max_units if short else 0.0
        )
        fits = tenant.fits(units, job.request.entry_points, keep, sure)
        if not fits:
            tenant.short_at = self._now
        return fits

    def _spent(self, request: Request, cls: RequestClass) -> int:
        """Time since the client's first try, where that shows and either counter or servers are crowded.

        Most tries of a class come with the same time left. Another is a later try with the rest of its time:
        once its aim has passed, it would take units and work for nothing. Harms clients that come with little
        patience, hence only where others would go without.
        """
        usual, votes = self._patience[request.class_index]
        same = abs(request.time_remaining - usual) <= TRY_MATCH * cls.deadline
        self._patience[request.class_index] = (
            (usual, votes + 1)
            if same
            else ((request.time_remaining, 0) if votes <= 0 else (usual, votes - 1))
        )
        crowded = self._calling < 1.0 or (self._pooled is not None and self._credit < self._longest / 2)
        return 0 if same or not crowded or cls.late_weight >= 0.5 else cls.deadline - request.time_remaining

    def _tenant(self, request: Request, plan: Plan) -> _Tenant:
        """The tenant's state, moved on to now. Tenants long unheard of are dropped."""
        tenant = self._tenants.get(request.tenant)
        if tenant is None:
            limit = self._s.counter.timeout if self._s.counter else 0
            offset = request.tenant * 7919  # edges of different tenants fall apart
            window = CounterWindow(_window_length(plan), limit, offset, self._now)
            tenant = self._tenants[request.tenant] = _Tenant(plan, window, self._now)
            # The ceiling's share starts empty at boot, so that no restart refills it.
            tenant.limit_at = self._born
        self._tenants.move_to_end(request.tenant)
        for name in list(islice(self._tenants, 2)) if len(self._tenants) > 64 else ():
            old = self._tenants[name]
            if old is not tenant and not old.open and self._now - old.at > NAME_LIFE // 2:
                del self._tenants[name]
        if plan.rate > 0:
            passed = (self._now - tenant.at) / SECOND
            tenant.refill(self._now)
            fade = math.exp(-passed * plan.rate / plan.burst / LOOK_WINDOWS)
            tenant.looks, tenant.over = tenant.looks * fade, tenant.over * fade
        tenant.at = self._now
        spread = max(1, request.entry_points)
        tenant.ceiling = min(
            plan.ceiling_burst / spread,
            tenant.ceiling + plan.ceiling_rate / spread * (self._now - tenant.limit_at) / SECOND,
        )
        tenant.limit_at = self._now
        return tenant

    def _may_pass(self, job: _Job, plan: Plan) -> bool:
        """Rule 5, and plans that cap what is out: this gateway's own share, whatever the counter says."""
        spread = max(1, job.request.entry_points)
        shared = plan.rate > 0 or self._s.counter is None  # else places are counted
        if plan.concurrency and shared and job.tenant.open >= -(-plan.concurrency // spread):
            return False
        return plan.ceiling_rate <= 0 or job.tenant.ceiling >= job.request.units

    def _ask_place(self, job: _Job, plan: Plan, patience: int) -> None:
        """A plan without a rate: where it caps what is out, a place on the tenant's count of open requests.

        Guards the cap against as many requests as gateways share it. The place is given back when the request
        has ended; each window starts from nothing, as the giving back may be lost. That lets through what was
        out at its edge once more.
        """
        if not plan.concurrency or self._s.counter is None:
            self._try(job)
        elif self._now < job.tenant.full_until:
            self._end(job)
        elif self._failed >= BREAKER_TRIP:
            if self._now >= self._trial_at:
                self._trial_at = self._now + TRIAL_EVERY * self._s.counter.timeout
                self._add_place(self._place_name(job.request.tenant), job.tenant, 0.0, None)
            self._place_alone(job, plan)
        elif self._random.random() < self._calling:
            self._add_place(self._place_name(job.request.tenant), job.tenant, 1.0, job.request.id)
            if self._s.counter.timeout > patience:
                self._set_timer(patience, job.request.id, None)
        else:
            self._place_alone(job, plan)

    @staticmethod
    def _place_name(tenant_id: int) -> int:
        return PLACE | tenant_id << TENANT_SHIFT

    def _add_place(self, name: int, tenant: _Tenant, amount: float, waiting: int | None) -> None:
        self._asked.setdefault(name, []).append(waiting)
        self._amounts.setdefault(name, []).append((tenant, amount))
        self._out.append(CounterAdd(name, amount, PLACE_WINDOW))

    def _place_alone(self, job: _Job, plan: Plan) -> None:
        """Exception: no count to be had. This gateway keeps to its own share of the cap."""
        if job.tenant.open < -(-plan.concurrency // max(1, job.request.entry_points)):
            self._try(job)
        else:
            self._end(job)

    def _on_place(self, event: CounterReply, waiting: int | None, tenant: _Tenant, amount: float) -> None:
        """The count of a tenant's open requests, with this one; what may have been added is given back."""
        if event.result is Result.OK:
            self._failed = 0
        else:
            self._note_failure(event)
        if amount < 0 and event.result is Result.OK and event.total < -ROUNDING_MARGIN:
            # The place was taken from a count that is forgotten: what this one lacks is put back.
            self._add_place(event.name, tenant, min(-amount, -event.total), None)
        if amount <= 0 or waiting is None:
            return
        job = self._jobs.get(waiting)
        if not event.result.proven_not_executed:
            self._places[waiting] = (event.name, tenant)
        if job is None:
            self._leave_place(waiting)  # the client has left
        elif job.held:
            plan = self._s.plans[job.request.plan_index]
            if event.result is not Result.OK:
                self._place_alone(job, plan)
            elif event.total > plan.concurrency + 0.5:
                usual = self._usual[job.request.class_index] or METER_PATIENCE * job.cls.latency_objective
                tenant.full_until = self._now + int(FULL_WAIT * usual / plan.concurrency)
                self._end(job)
            else:
                self._try(job)

    def _leave_place(self, request: int) -> None:
        """Give a request's place back, if it holds one."""
        name, tenant = self._places.pop(request, (0, None))
        if tenant is not None and self._failed < BREAKER_TRIP:
            self._add_place(name, tenant, -1.0, None)

    def _enter_window(self, job: _Job) -> int:
        """The name of the tenant's count. One whose life is over by now starts from nothing."""
        if job.tenant.window.restart_if_expired(self._now):
            job.tenant.leave_window()
        return job.request.tenant << TENANT_SHIFT

    def _count(self, job: _Job, plan: Plan, waiting: int | None, units: float) -> None:
        """Add to the tenant's count of this window; `waiting` is the request that hangs on the total."""
        name = self._enter_window(job)
        # What has been refilled since is owed no more.
        units, job.tenant.owed = units + min(job.tenant.owed, job.tenant.debt), 0.0
        self._asked.setdefault(name, []).append(waiting)
        self._amounts.setdefault(name, []).append((job.tenant, units))
        self._out.append(CounterAdd(name, units, job.tenant.window.lifetime(self._now)))

    def _on_counted(self, event: CounterReply) -> None:
        waiting = self._asked[event.name].pop(0)
        tenant, amount = self._amounts[event.name].pop(0)
        if not self._asked[event.name]:
            del self._asked[event.name], self._amounts[event.name]
        job = self._jobs.get(waiting) if waiting is not None else None
        self._pace_calls(event)
        if event.name & PLACE:
            self._on_place(event, waiting, tenant, amount)
            return
        if event.result is not Result.OK:
            self._count_failed(event, tenant, amount)
            if job is not None and job.held:
                self._decide_alone(job, self._s.plans[job.request.plan_index])
            return
        self._failed = 0
        tenant.refill(self._now)
        others = self._take_total(tenant, amount, event.total)
        if job is None or not job.held:
            tenant.take(others)
            return
        plan = self._s.plans[job.request.plan_index]
        tenant.take(others)
        tenant.backlog += SMOOTH * (max(0.0, amount - job.added) - tenant.backlog)
        over = not self._within(job, plan, job.request.units)
        tenant.looks += 1.0
        tenant.over += over
        self._over[job.request.plan_index] += PACE_SMOOTH * (over - self._over[job.request.plan_index])
        if not over and self._may_pass(job, plan):
            tenant.debt += job.request.units
            self._try(job)
        else:
            self._end(job)

    def _take_total(self, tenant: _Tenant, amount: float, total: float) -> float:
        """What a total tells of the others' use, beyond what has been guessed of it."""
        others, renewed = tenant.window.apply_total(amount, total, self._now)
        if renewed:
            tenant.leave_window()
        # Of the adds whose answers were lost this total can hold so much; the rest was not added.
        shown = min(max(others, 0.0), tenant.lost) if tenant.lost > 0 else tenant.lost
        tenant.owed += tenant.lost - shown
        tenant.lost, others = 0.0, others - shown
        tenant.seen_own += amount + shown - SMOOTH * tenant.seen_own
        tenant.seen_others += others - SMOOTH * tenant.seen_others
        guess, tenant.guess = tenant.guess, 0.0
        return others - guess - tenant.refilled(others - guess, self._now)

    def _on_late(self, event: LateCounterReply) -> None:
        """The total of a call that had ended without one: nobody waits for it, but it is as true as any.

        Guards against adds of this gateway that pass for others' use, or are owed though they were made, and
        against a view that grows old where most calls are late. Harmless where a total comes out of order:
        the next one puts it right.
        """
        tenant = self._tenants.get(event.name >> TENANT_SHIFT)
        if tenant is not None and tenant.unheard > 0:  # else the call was of the window before
            tenant.unheard -= 1
            tenant.lost -= event.amount
            tenant.window.own_total -= min(0.0, event.amount)  # it was taken off when the call ended
            tenant.take(self._take_total(tenant, event.amount, event.total))

    def _count_failed(self, event: CounterReply, tenant: _Tenant, amount: float) -> None:
        """No total. What was not added is owed; what may have been is this gateway's own in the next total.

        It is away when calls fail one after another, each sent after the one before it had failed: those
        in one queue or on one broken connection fail together. A counter that turns calls away is there.
        """
        if event.result.proven_not_executed:
            tenant.owed += amount
        else:
            tenant.unheard += 1
            tenant.lost += amount
            tenant.window.own_total += min(0.0, amount)
        self._note_failure(event)

    def _note_failure(self, event: CounterReply) -> None:
        """Calls failed in a row, each sent after the one before had."""
        if event.result is not Result.OVERLOADED and self._now - event.elapsed >= self._failed_at:
            self._failed, self._failed_at = self._failed + 1, self._now

    def _pace_calls(self, event: CounterReply) -> None:
        """A crowded counter is called for a share of the requests; a call then adds what others left owed.

        Guards against calls that the counter works on when nobody waits for them any more, which would lose
        the totals of all. Answers in time, however few, let the share grow again.
        """
        limit = self._s.counter.timeout if self._s.counter else 0
        if event.result is Result.OK and self._failed >= BREAKER_TRIP:
            self._calling = 1.0  # it was away, not crowded
        elif event.result is Result.OK:
            if event.elapsed <= CALL_SLOW * limit:
                self._calling = min(1.0, self._calling + CALL_RAISE)
        elif event.result not in (Result.TIMEOUT, Result.OVERLOADED):
            pass  # a broken connection says nothing of the counter's load
        elif self._now - event.elapsed >= self._calling_cut:
            self._calling, self._calling_cut = max(CALL_LEAST, self._calling * CALL_CUT), self._now

    def _settle(self, job: _Job, units: float) -> None:
        """Units that turned out otherwise than counted: guesses, or a request that was not sent on.

        On a crowded counter they are added with the next call for the tenant.
        """
        if not job.added:
            return
        units *= job.added / job.request.units
        if self._calling >= 1.0 and self._failed < BREAKER_TRIP:
            self._count(job, self._s.plans[job.request.plan_index], None, units)
        else:
            job.tenant.owed += units

    def _decide_alone(self, job: _Job, plan: Plan) -> None:
        """Exception: no total to be had. What this gateway lets through stands for what others do meanwhile.

        As much at each gateway while the counter is away, else as much as totals told of them, where no call
        of its own is out. The next total replaces that guess. It guards a quota against as many bursts as
        gateways share it, and refuses too much where a tenant comes here more than it used to.
        """
        tenant, cost, others = job.tenant, job.request.units, 0.0
        if self._failed >= BREAKER_TRIP or self._s.counter is None:
            others = cost * (max(1, job.request.entry_points) - 1)
        elif self._pooled is None and not job.added:
            others = cost * tenant.others(job.request.entry_points)
        cost += others
        # One request may cost more than the burst where many gateways share it: it waits for an empty debt.
        if self._within(job, plan, cost) and self._may_pass(job, plan):
            self._enter_window(job)
            tenant.debt += cost
            tenant.guess += others
            owes = self._s.counter is not None and self._pooled is None and self._failed < BREAKER_TRIP
            if owes and not job.added:
                tenant.owed, job.added = tenant.owed + job.request.units, job.request.units
            self._try(job)
        else:
            self._end(job)

    # --- choose -----------------------------------------------------------------------------------------

    def _rank(self, job: _Job, plan: Plan, hot: bool) -> float:
        """Who is refused first when room is short: beyond quota (1), then the least worth for its work."""
        value = job.cls.priority_weight * plan.price / (self._usual[job.request.class_index] or self._longest)
        self._mean_value += SMOOTH * (value - self._mean_value)
        return 1.0 if hot else max(0.0, 1.0 - value / self._mean_value)

    def _room(self, rank: float = 0.0) -> bool:
        """Less is out than all servers' limits together allow.

        Where they come to a fraction of an attempt at each server, they hold for the mean over time: what is
        allowed to be out saves up credit, what is out spends it. So all gateways together keep the limit,
        and a random burst at one of them is not refused.
        """
        if self._pooled is not None:
            self._accrue()
            spent = self._live * (max(self._usual) or METER_PATIENCE * self._longest)
            return self._credit > spent + RESERVE * rank * self._longest
        # What one server holds beyond its limit, all of it given up perhaps, takes no room at the others.
        old = self._now - int(ABANDON_AIMS * self._longest)
        held = sum(min(server.held(old), server.limit.most) for server in self._ready)
        limit = sum(server.limit.most for server in self._ready)
        return limit > 0 and held < max(1.0, limit)

    def _accrue(self) -> None:
        """Bring the credit up to now."""
        if self._pooled is not None:
            gain = self._pooled.most * self._table.expected_subset_size() - self._live
            self._credit = min(self._longest, self._credit + gain * (self._now - self._credit_at))
        self._credit_at = self._now

    def _choose(self, job: _Job, avoid: str | None) -> _Server | None:
        """The server with the least expected wait, among those that every rule allows for this attempt."""
        if not self._room():
            return None
        suspects = [server for server in self._ready if self._suspect(server)]
        suspects.sort(key=lambda s: (-s.errors, s.answered_at))
        self._fill_up(len(suspects))
        # A refused connect proves a server down, so there is no floor under the share of those set aside.
        down = sum(s.errors >= 1.0 for s in suspects)
        ejected = {s.line.name: None for s in suspects[: max(down, int(ASIDE_MOST * len(self._ready)))]}
        best = self._best(job, avoid, ejected)
        if best is None and job.ran:
            best = self._same_cell(job)
        return best

    def _best(self, job: _Job, avoid: str | None, ejected: dict[str, None]) -> _Server | None:
        """Of those in the subset, and its guests."""
        old = self._now - int(ABANDON_AIMS * self._longest)
        best, least = None, 0.0
        for server in self._ready:
            name = server.line.name
            full = self._pooled is None and server.held(old) >= server.limit.most
            if full or not self._fits(job, server.line) or not self._cold_room(server):
                continue
            cost = self._wait(server)
            if name in ejected:
                if (
                    server.out
                    or self._now < server.trial
                    or job.cls.idempotency is Idempotency.NOT_IDEMPOTENT
                ):
                    continue
                if self._pooled is None:
                    cost = 0.0  # its trial is due; hundreds of gateways try it without being made to
            if name == avoid:
                cost = (1.0 + cost) * AVOID
            if best is None or cost < least:
                best, least = server, cost
        return best

    def _sharers(self) -> float:
        """Gateways that share a server, this one among them."""
        return self._table.mean_replicas or self._s.fleet_size

    def _fill_up(self, suspects: int) -> None:
        """Guests from outside, while too few of the subset are warm and above suspicion; none for longer.

        Each gateway finds others, by chance. None that is cold is taken: the sum over its own gateways is all
        that it can bear.
        """
        self._count_warm()
        if self._table.mean_replicas >= self._s.fleet_size:
            return
        good, need = self._warm - suspects, FILL_BELOW * self._table.expected_subset_size()
        if good < need and len(self._ready) < 2.0 * self._table.expected_subset_size():
            line = self._table.draw(self._could_help, self._random)
            if line is not None:
                self._add_guest(line)

    def _could_help(self, line: Endpoint) -> bool:
        return (
            line.state is EndpointState.READY and line.name not in self._servers and not self._is_cold(line)
        )

    def _add_guest(self, line: Endpoint) -> _Server:
        server = self._add_server(line)
        server.guest = True
        self._refresh()
        return server

    def _same_cell(self, job: _Job) -> _Server | None:
        """A keyed request goes on in its cell: where the subset has no other of that, one from outside."""
        if (
            job.cls.idempotency is not Idempotency.IDEMPOTENCY_KEY
            or job.cls.deduplication_scope is not DeduplicationScope.CELL
        ):
            return None
        line = self._table.draw_in_cell(job.ran[-1][0].cell, self._could_help, self._random)
        if line is None or not self._fits(job, line):
            return None
        return self._add_guest(line)

    def _fits(self, job: _Job, to: Endpoint) -> bool:
        """Rule 2: once an attempt may have run, a keyed request stays in its group and within its window.

        A further one may still have to wait for its connection before it goes out.
        """
        slack = self._s.tick + self._s.limits.connect_timeout
        for line, sent in job.ran:
            if job.cls.idempotency is Idempotency.NOT_IDEMPOTENT:
                return False
            if job.cls.idempotency is Idempotency.IDEMPOTENCY_KEY:
                if self._now - sent >= job.cls.deduplication_window - slack:
                    return False
                if job.cls.deduplication_scope is DeduplicationScope.ZONE and line.zone != to.zone:
                    return False
                if job.cls.deduplication_scope is DeduplicationScope.CELL and line.cell != to.cell:
                    return False
        return True

    def _wait(self, server: _Server) -> float:
        """Expected time to an answer, in usual answer times, as far as it is known.

        The less is known of a server's load, the more chance decides, in proportion to what its kind does:
        gateways that know as little as each other must not all pick the same server.
        """
        weight = max(0.01, server.line.weight) if self._s.endpoint_weights else 1.0
        known = math.exp((server.load_at - self._now) / STALE)
        others = server.load * known + self._mean_load * (1.0 - known)
        trust = server.seen / (server.seen + PACE_TRUST)
        pace = server.pace * trust + server.kind.pace * (1.0 - trust)
        chance = self._random.uniform(0.95, 1.05) * math.pow(self._random.expovariate(1.0), (1.0 - known) / 2)
        risk = 1.0 + ERROR_WEIGHT * server.errors
        return pace * risk * (1.0 + (len(server.out) + others) / weight) * chance

    def _suspect(self, server: _Server) -> bool:
        """Set aside, or silent for so long that it is about to be."""
        if server.aside:
            return True
        oldest = next(iter(server.out.values()), self._now)
        return self._now - max(oldest, server.answered_at) > SILENCE * (max(self._usual) or SECOND / 10)

    def _aside_span(self) -> int:
        calls = ASIDE_CALLS * (1.0 if self._pooled is None else self._sharers())
        return int(min(MEAN_SPAN, calls * (max(self._usual) or SECOND / 10)))

    def _cold_room(self, server: _Server) -> bool:
        """Rule 4: a server that has just started gets this gateway's share of what it can surely take.

        That is judged by what warm servers of its kind answer, or of any kind where there is none.
        """
        safety = self._s.safety
        if not self._is_cold(server.line):
            return True
        if server.guest:
            return False
        age = max(0, self._clock_skew.uptime(server.line.started_at, self._now)) / max(1, safety.warm_up_time)
        grown = safety.initial_capacity + (1 - safety.initial_capacity) * age
        pace = COLD_MARGIN * safety.overload_multiple * grown * self._warm_rate(server)
        server.cold_left = min(1.0, server.cold_left + pace * (self._now - server.cold_at) / SECOND)
        server.cold_at = self._now
        return server.cold_left >= 1.0

    def _warm_rate(self, server: _Server) -> float:
        """Answers a second to this gateway from a warm server of its kind, or of any where none is known."""
        self._count_warm()
        kinds = [server.kind] if server.kind.rate > 0 else list(self._kinds.values())
        rate = sum(kind.rate_at(self._now) for kind in kinds)
        warm = sum(kind.mean_warm_at(self._now) for kind in kinds)
        return rate / warm if warm > 0 else 0.0

    def _count_warm(self) -> None:
        """Now and then, not for each cold server of each choice: that is quadratic. Guests leave here."""
        if self._now - self._warm_at <= STALE:
            return
        own = [s for s in self._ready if not s.guest]
        good = sum(not self._is_cold(s.line) and not self._suspect(s) for s in own)
        if len(own) < len(self._ready) and good > FILL_BELOW * self._table.expected_subset_size():
            for guest in [s for s in self._ready if s.guest and not s.out]:
                del self._servers[guest.line.name]
            self._ready = [s for s in self._ready if not s.guest or s.out]
        self._warm, self._warm_at = sum(not self._is_cold(s.line) for s in self._ready), self._now
        for number, kind in self._kinds.items():
            mine = (s.line for s in self._ready if s.line.endpoint_class == number)
            kind.count(sum(not self._is_cold(line) for line in mine), self._now)

    def _silent(self, server: _Server, since: int) -> bool:
        """No answer of any kind since then, though it owed some.

        Guards requests that are merely slow where a gateway sees so little of a server that any one of them
        is all it has there: calling them off throws away work that is nearly done, and asks for it again.
        """
        owed = self._warm_rate(server) * (self._now - since) / SECOND
        return server.answered_at <= since < self._now and owed >= SILENT_ANSWERS

    def _is_cold(self, line: Endpoint) -> bool:
        return (
            line.started_at > 0
            and self._clock_skew.uptime(line.started_at, self._now) < self._s.safety.warm_up_time
        )

    # --- send -------------------------------------------------------------------------------------------

    def _try(self, job: _Job, avoid: str | None = None) -> None:
        """Start the next attempt, or end the request where there is none to make."""
        job.held = False
        until_aim = job.aim_at - self._now - self._s.tick
        if job.attempts >= self._s.limits.max_attempts or until_aim <= self._s.tick:
            self._end(job)
            return
        server = self._choose(job, avoid)
        if server is None:
            self._end(job)
            return
        self._send(job, server)

    def _send(self, job: _Job, server: _Server) -> None:
        left, until_aim = job.deadline - self._now, job.aim_at - self._now - self._s.tick
        timeout = left if job.cls.late_weight > 0 else min(left, until_aim)
        repeatable = (
            job.cls.idempotency is not Idempotency.NOT_IDEMPOTENT
            and job.attempts + 1 < self._s.limits.max_attempts
        )
        if repeatable and not job.ran and not job.live:  # a further one has what is left
            if self._s.limits.cancellation_allowed:
                self._set_timer(int(until_aim * FIRST_SPLIT), job.request.id, job.attempts)
            elif job.attempts == 0:
                timeout = min(timeout, max(self._s.tick, int(until_aim * FIRST_SPLIT)))
        if job.attempts == 0:
            job.tenant.ceiling -= job.request.units
        job.tenant.open += not job.live
        self._out.append(StartAttempt(job.request.id, server.line.name, timeout))
        self._accrue()
        self._live += 1
        server.out[(job.request.id, job.attempts)] = self._now
        if server.aside:
            server.trial = self._now + self._aside_span()
        server.cold_left -= 1.0
        job.live[job.attempts] = (server, self._now)
        job.attempts += 1

    # --- outcome ----------------------------------------------------------------------------------------

    def _on_outcome(self, event: AttemptOutcome) -> None:
        server = self._servers.get(event.endpoint)
        job = self._jobs.get(event.request_id)
        self._accrue()
        self._live = max(0, self._live - 1)
        if event.final or job is None:
            self._leave_place(event.request_id)
        if server is not None:
            server.out.pop((event.request_id, event.attempt), None)
            self._pace_limit(server, event, job)
            self._learn(server, event, job)
        if job is None:
            return
        live = job.live.pop(event.attempt, None)
        if event.final or not job.live:  # a second copy may be out still; the request is not
            job.tenant.open = max(0, job.tenant.open - 1)
        if event.final:
            if event.result is Result.OK and self._s.settles_units and event.actual_units is not None:
                units = event.actual_units - job.request.units
                job.tenant.debt = max(0.0, job.tenant.debt + units)
                if job.added:  # with the next call: one of its own for each answer would crowd the counter
                    job.tenant.owed += units * job.added / job.request.units
            del self._jobs[event.request_id]
            return
        if live is not None and not event.result.proven_not_executed:
            job.ran.append((live[0].line, live[1]))
        if job.live:
            return
        if event.result.proven_not_executed or (
            job.cls.idempotency is not Idempotency.NOT_IDEMPOTENT and self._retries >= 1
        ):
            if not event.result.proven_not_executed:
                self._retries -= 1
            self._try(job, event.endpoint)
        else:
            self._end(job)

    def _on_expired(self, event: ClientDisconnected) -> None:
        """The client has left. What is out runs on; what was counted and never sent on is not used."""
        job = self._jobs.pop(event.request_id, None)
        if job is not None and job.attempts == 0:
            self._settle(job, -job.request.units)
        elif job is not None and job.live:
            job.tenant.open = max(0, job.tenant.open - 1)
        if job is not None and not job.live:
            self._leave_place(event.request_id)

    def _pace_limit(self, server: _Server, event: AttemptOutcome, job: _Job | None) -> None:
        """Overload: keep so little at a server that answers meet their aims; the rest is refused.

        Guards against servers driven so far that they only work on what nobody waits for. What was given up
        goes on waiting at the server, so it counts until the server has answered something sent later.
        """
        sent, limit = self._now - event.elapsed, server.limit
        # A limit that is not reached is not moved up; one shared by all servers is not moved down either.
        used = self._credit < self._longest / 2 if self._pooled else len(server.out) + 1 >= limit.most / 2
        late = event.result is Result.OVERLOADED
        if event.result in (Result.TIMEOUT, Result.CANCELLED):
            old = self._now - int(ABANDON_AIMS * self._longest)
            server.abandoned = [at for at in server.abandoned if at > old] + [sent]
            late = True
        elif event.result is Result.OK:
            server.abandoned = [at for at in server.abandoned if at > sent]
            late = job is not None and event.elapsed > LATE_PART * job.cls.latency_objective
            if not late and used:
                limit.most += LIMIT_RAISE / self._sharers() / max(1.0, limit.most)
        if late and sent >= limit.cut_at and (used or self._pooled is None):
            limit.most = max(1.0 / self._sharers(), limit.most * LIMIT_CUT)
            limit.cut_at = self._now

    def _learn(self, server: _Server, event: AttemptOutcome, job: _Job | None) -> None:
        """Keep the server's pace, error share and load."""
        if event.load_report:
            fields = dict(zip(self._s.load_report_fields, event.load_report, strict=False))
            if "inflight" in fields:
                server.load = max(0.0, fields["inflight"] - len(server.out))
            elif "util" in fields:
                busy = min(0.8, max(0.0, fields["util"]))
                server.load = busy / (1 - busy)
            server.load_at = self._now
            self._mean_load += SMOOTH * (server.load - self._mean_load)
        if event.result in (Result.OK, Result.ERROR, Result.OVERLOADED):
            server.answered_at = self._now
        usual = self._usual[job.request.class_index] or float(event.elapsed) if job is not None else 0.0
        if usual and event.result in (Result.OK, Result.TIMEOUT, Result.CANCELLED):
            # What was given up would have taken longer still: a kind too slow for its load must show it.
            answered = event.result is Result.OK and not self._is_cold(server.line)
            server.count_pace(event.elapsed / usual, answered, self._now)
        if event.result is Result.OK:
            server.errors *= 1 - SMOOTH
            server.aside = server.aside and server.errors > ERROR_LIMIT
            if job is not None:
                self._usual[job.request.class_index] = usual + PACE_SMOOTH * (event.elapsed - usual)
        elif event.result in (Result.ERROR, Result.RESET, Result.CONNECT_FAILED):
            server.errors += (1 - server.errors) * (1.0 if event.result is Result.CONNECT_FAILED else SMOOTH)
            if server.errors > ERROR_LIMIT:
                server.put_aside(self._now, self._aside_span())
        elif event.result is Result.TIMEOUT:
            if self._silent(server, self._now - event.elapsed):
                server.put_aside(self._now, self._aside_span())
        elif event.result is Result.OVERLOADED:
            server.load, server.load_at = server.load + 4, self._now

    def _on_timer(self, event: TimerFired) -> None:
        if event.token == WATCH_TOKEN:
            self._out.append(WatchEndpoints(True))
            return
        if event.token == SHARE_TOKEN:
            self._look_on()
            return
        request, attempt = self._tokens.pop(event.token, (-1, None))
        job = self._jobs.get(request)
        if job is None:
            return
        if attempt is None:
            # It means nothing to a request that has its total: its attempt has only just begun.
            if job.held:
                plan = self._s.plans[job.request.plan_index]
                (self._decide_alone if plan.rate > 0 else self._place_alone)(job, plan)
            return
        server, sent = job.live.get(attempt, (None, 0))
        # Silence, not slowness: waiting longer on a server that answers others is cheaper than a repeat.
        if server is None or self._retries < 1 or self._pooled is not None:
            return
        if self._silent(server, sent):
            server.put_aside(self._now, self._aside_span())
            if self._s.limits.hedging_allowed and job.cls.idempotency is Idempotency.IDEMPOTENT:
                # It may only be slow, and what runs there goes on in any case: the first answer counts.
                other = self._choose(job, server.line.name)
                if other is not None:
                    self._retries -= 1
                    self._send(job, other)
            else:
                self._out.append(CancelAttempt(job.request.id, attempt))

    def _set_timer(self, delay: int, request: int, attempt: int | None) -> None:
        self._token = (self._token + 1) & 0xFFFFFFFF
        self._tokens[self._token] = (request, attempt)
        self._out.append(SetTimer(delay, self._token))

    # --- answer -----------------------------------------------------------------------------------------

    def _end(self, job: _Job) -> None:
        """The one final answer where no attempt gave it. Rules 1 and 2 meet here."""
        for attempt in job.live:
            if self._s.limits.cancellation_allowed:
                self._out.append(CancelAttempt(job.request.id, attempt))
        harmless = not job.live and (not job.ran or job.cls.idempotency is Idempotency.IDEMPOTENT)
        if not job.attempts:
            if not job.held:
                job.tenant.debt = max(0.0, job.tenant.debt - job.request.units)
            self._settle(job, -job.request.units)
        if not job.live:
            self._leave_place(job.request.id)
        if harmless:
            self._out.append(Reject(job.request.id, self._retry_after(job)))
        else:
            self._out.append(Fail(job.request.id))
        del self._jobs[job.request.id]

    def _retry_after(self, job: _Job) -> int:
        """About one unit's refill, or until these units fit, and never past the end of the window."""
        plan = self._s.plans[job.request.plan_index]
        if plan.rate <= 0:
            return min(self._s.limits.max_retry_after, job.cls.latency_objective)
        missing = max(1.0, job.tenant.debt + job.request.units - plan.burst)
        return min(_window_length(plan), self._s.limits.max_retry_after, int(missing / plan.rate * SECOND))

    # --- the list of servers ----------------------------------------------------------------------------

    def _on_members(self, event: EndpointUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            # Asked again well before this gateway counts as told; not at once, since all may have failed.
            delay = self._s.safety.poll_interval // WATCH_AGAIN
            self._out.append(SetTimer(self._random.randint(delay, 2 * delay), WATCH_TOKEN))
            return
        if event.kind is UpdateKind.CACHED_SNAPSHOT and event.last and self._s.polls_endpoints:
            self._out.append(WatchEndpoints(True))
        self._clock_skew.observe(event, self._now)
        changed = self._table.apply(event)
        anew = (event.last or event.kind is UpdateKind.DELTA) and self._table.resize_subset()
        if anew:
            if self._pooled is None and not self._servers and self._table.mean_replicas > AFFORDABLE_REPLICAS:
                # Its part of a server's limit is a fraction of an attempt, and it sees little of each.
                self._pooled, self._calling = _Limit(LIMIT_START / self._table.mean_replicas, self._now), 0.5
            running, self._looking = self._looking, self._table.iterate_backwards()
            if running is None:
                self._look_on()
        for line in changed:
            if not anew or line.name in self._servers:  # the look at all entries finds the others
                self._update(line)
        self._refresh()
        if event.last:
            starts = [server.line.started_at for server in self._ready]
            self._clock_skew.check_plausible(starts, self._now, self._s.safety.warm_up_time)

    def _look_on(self) -> None:
        """The next part of the list, after its servers are shared by more or fewer gateways than before."""
        part = list(islice(self._looking or (), SHARE_PART))
        for line in part:
            self._update(line)
        if len(part) == SHARE_PART:
            self._out.append(SetTimer(self._s.tick, SHARE_TOKEN))
        else:
            self._looking = None
        self._refresh()

    def _update(self, line: Endpoint) -> None:
        """An entry as it is now: in the subset or not, perhaps gone or started again."""
        server = self._servers.get(line.name)
        mine = line.state is not EndpointState.REMOVED and self._table.in_subset(line)
        if server is not None and mine:
            server.guest = False
        if line.state is EndpointState.REMOVED or not (mine or (server is not None and server.guest)):
            self._servers.pop(line.name, None)
        elif server is None:
            self._add_server(line)
        else:
            if line.started_at != server.line.started_at:
                server.aside, server.errors, server.pace, server.seen = False, 0.0, 1.0, 0
                server.abandoned = []
                server.cold_left, server.cold_at = self._random.random(), self._now
            server.line = line

    def _add_server(self, line: Endpoint) -> _Server:
        limit = self._pooled or _Limit(LIMIT_START / self._sharers(), self._now)
        kind = self._kinds.setdefault(line.endpoint_class, _Kind(self._now))
        server = self._servers[line.name] = _Server(line, self._now, limit, kind)
        # Chance, not nothing: of hundreds of gateways, each with a small share, some send at once.
        server.cold_left = self._random.random()
        return server

    def _refresh(self) -> None:
        """After a change of the servers that this gateway keeps to."""
        self._accrue()
        self._ready = [s for s in self._servers.values() if s.line.state is EndpointState.READY]
        self._warm_at = self._now - NAME_LIFE
