"""Checks the rules of a soak run by what clients sent and received and what rate servers received."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

from tests.support.gateway_cluster import GatewayCluster
from tests.support.rate_server import Attempt, RateServer

EFFECT_BY_CLASS = {b"quote": "repeatable", b"order": "once", b"exchange": "by_key"}
ANSWER_SLACK_S = 0.5  # an answer this long after its deadline is still in time
DEADLINE_SLACK_S = 0.15  # by which the deadline passed on to a rate server may exceed the client's
DRAIN_GRACE_S = 0.55  # after the delta was published; later attempts break a rule
INCONCLUSIVE = "inconclusive"  # outcome of a run in which the machine stalled this process for too long


@dataclass(slots=True)
class SentRequest:
    """A request sent by a client. Times are in seconds of the test's event loop."""

    class_name: bytes
    sent_at: float  # when its last byte was written
    time_remaining_s: float  # when it was sent
    first_on_connection: bool
    answers: list[bytes] = field(default_factory=list)
    answered_at: float = 0.0
    # When the previous request of its batch was answered; the time until then does not count as lateness.
    previous_answered_at: float = 0.0
    raced_with_close: bool = False  # written at about the time at which the gateway closed the connection


@dataclass
class SoakResult:
    """The result of one run."""

    seed: int
    violations: list[str] = field(default_factory=list)
    # Numbers of requests by outcome; INCONCLUSIVE counts the run itself.
    outcomes: Counter[str] = field(default_factory=Counter)
    max_loop_lag_s: float = 0.0  # of this process


class SoakChecker:
    """Adds the rule violations and outcomes of a run's requests to its result."""

    def __init__(self, result: SoakResult, timing_allowance_s: float, connections_limited: bool) -> None:
        """Store the parameters that apply to all requests.

        timing_allowance_s: time that a busy machine may have added to any measured time;
        connections_limited: the gateway may have closed a connection before it read the first request.
        """
        self._result, self._timing_allowance_s = result, timing_allowance_s
        self._connections_limited = connections_limited

    def check(self, requests: dict[bytes, SentRequest], cluster: GatewayCluster) -> None:
        """Check all requests of a run, given by ID, and all rate servers."""
        attempts = defaultdict[bytes, list[Attempt]](list)
        for attempt in cluster.attempts():
            attempts[attempt.request_id].append(attempt)
        for request_id, request in requests.items():
            self._check_answer(request_id, request, attempted=bool(attempts[request_id]))
            self._check_attempts(request_id, request, attempts[request_id])
        for server in cluster.rate_servers:
            self._check_draining(server)

    def _check_answer(self, request_id: bytes, request: SentRequest, attempted: bool) -> None:
        if not request.answers:
            self._check_missing_answer(request_id, request, attempted)
            return
        answer = request.answers[0]
        if answer != request_id and not answer.startswith((b"-BUSY", b"-ERR failed")):
            self._add_violation(f"{request_id!r} was answered {answer!r}")
        self._result.outcomes["served" if answer == request_id else answer.split(b" ")[0].decode()] += 1
        deadline = max(request.sent_at + request.time_remaining_s, request.previous_answered_at)
        lateness_s = request.answered_at - deadline
        if lateness_s > ANSWER_SLACK_S + self._timing_allowance_s:
            self._add_violation(f"{request_id!r} answered {lateness_s:.3f} s after its deadline")

    def _check_missing_answer(self, request_id: bytes, request: SentRequest, attempted: bool) -> None:
        first = request.first_on_connection
        if request.raced_with_close and not attempted and (not first or self._connections_limited):
            self._result.outcomes["raced with the close"] += 1
        else:
            self._result.outcomes["lost"] += 1
            self._add_violation(
                f"{request_id!r} has no answer (first on connection: {first}, attempted: {attempted})"
            )

    def _check_attempts(self, request_id: bytes, request: SentRequest, attempts: list[Attempt]) -> None:
        if EFFECT_BY_CLASS[request.class_name] == "once" and len(attempts) > 1:
            self._add_violation(f"{request_id!r} forwarded {len(attempts)} times")
        for attempt, following in pairwise(attempts):
            if following.received_at < attempt.finished_at - self._timing_allowance_s:
                self._add_violation(f"{request_id!r} has two attempts in flight")
        for attempt in attempts:
            deadline = request.sent_at + request.time_remaining_s
            excess_s = attempt.received_at + attempt.time_remaining_ms / 1e3 - deadline
            if excess_s > DEADLINE_SLACK_S + self._timing_allowance_s:
                self._add_violation(
                    f"{request_id!r} forwarded with {excess_s:.3f} s more than its time remaining"
                )

    def _check_draining(self, server: RateServer) -> None:
        allowed_until = server.draining_since + DRAIN_GRACE_S + self._timing_allowance_s
        late_attempts = sum(attempt.received_at > allowed_until for attempt in server.attempts)
        if late_attempts:
            self._add_violation(f"{server.name} received {late_attempts} attempts after its drain grace")

    def _add_violation(self, text: str) -> None:
        self._result.violations.append(text)
