"""Whether a soak run kept the rules, by what clients sent and received and what came to rate servers."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

from tests.support.gateway_cluster import GatewayCluster
from tests.support.rate_server import Attempt, RateServer

EFFECT_BY_CLASS = {b"quote": "repeatable", b"order": "once", b"exchange": "by_key"}
ANSWER_SLACK = 0.5  # seconds after its deadline from which an answer is late
DEADLINE_SLACK = 0.15  # seconds by which the deadline passed on may lie after the client's
DRAIN_GRACE = 0.55  # seconds after a delta was published in which attempts must have stopped
INCONCLUSIVE = "inconclusive"  # outcome of a run in which the machine held this process up for too long


@dataclass(slots=True)
class SentRequest:
    """One request of a client. Times are in seconds of the test's loop."""

    class_name: bytes
    sent_at: float  # when its last byte was written
    time_remaining: float  # seconds, at that time
    first_on_connection: bool
    answers: list[bytes] = field(default_factory=list)
    answered_at: float = 0.0
    previous_answered_at: float = 0.0  # the answer before it on its connection, whose wait is not judged
    crossed_close: bool = False  # written at about the time at which the gateway closed its connection


@dataclass
class SoakResult:
    """What came of one run."""

    seed: int
    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)  # of requests, and of the run itself
    max_loop_lag: float = 0.0  # seconds for which the machine held this process up


class SoakJudge:
    """Adds violations and outcomes of a run's requests to its result."""

    def __init__(self, result: SoakResult, allowance: float, connections_limited: bool) -> None:
        """Take what all requests share.

        allowance: seconds that the machine may have added to any time; connections_limited: a gateway may
        have closed a connection before it read the first request.
        """
        self._result, self._allowance = result, allowance
        self._connections_limited = connections_limited

    def judge(self, requests: dict[bytes, SentRequest], cluster: GatewayCluster) -> None:
        """Judge all requests of a run, by their ids, and all rate servers."""
        attempts = defaultdict[bytes, list[Attempt]](list)
        for attempt in cluster.attempts():
            attempts[attempt.request].append(attempt)
        for request_id, request in requests.items():
            self._judge_answer(request_id, request, attempted=bool(attempts[request_id]))
            self._judge_attempts(request_id, request, attempts[request_id])
        for server in cluster.rate_servers:
            self._judge_draining(server)

    def _judge_answer(self, request_id: bytes, request: SentRequest, attempted: bool) -> None:
        if not request.answers:
            self._judge_missing_answer(request_id, request, attempted)
            return
        answer = request.answers[0]
        if answer != request_id and not answer.startswith((b"-BUSY", b"-ERR failed")):
            self._violation(f"{request_id!r} got {answer!r}")
        self._result.outcomes["served" if answer == request_id else answer.split(b" ")[0].decode()] += 1
        deadline = max(request.sent_at + request.time_remaining, request.previous_answered_at)
        late = request.answered_at - deadline
        if late > ANSWER_SLACK + self._allowance:
            self._violation(f"{request_id!r} answered {late:.3f} s after its deadline")

    def _judge_missing_answer(self, request_id: bytes, request: SentRequest, attempted: bool) -> None:
        first = request.first_on_connection
        if request.crossed_close and not attempted and (not first or self._connections_limited):
            self._result.outcomes["crossed the close"] += 1
        else:
            self._result.outcomes["lost"] += 1
            self._violation(f"{request_id!r} has no answer (first {first}, attempted {attempted})")

    def _judge_attempts(self, request_id: bytes, request: SentRequest, attempts: list[Attempt]) -> None:
        if EFFECT_BY_CLASS[request.class_name] == "once" and len(attempts) > 1:
            self._violation(f"{request_id!r} forwarded {len(attempts)} times")
        for attempt, following in pairwise(attempts):
            if following.received_at < attempt.ended_at - self._allowance:
                self._violation(f"{request_id!r} has two attempts in flight")
        for attempt in attempts:
            deadline = request.sent_at + request.time_remaining
            excess = attempt.received_at + attempt.time_remaining_ms / 1e3 - deadline
            if excess > DEADLINE_SLACK + self._allowance:
                self._violation(f"{request_id!r} passed on with {excess:.3f} s more than remained")

    def _judge_draining(self, server: RateServer) -> None:
        allowed_until = server.draining_since + DRAIN_GRACE + self._allowance
        late = sum(attempt.received_at > allowed_until for attempt in server.attempts)
        if late:
            self._violation(f"{server.name} got {late} attempts after its drain grace")

    def _violation(self, text: str) -> None:
        self._result.violations.append(text)
