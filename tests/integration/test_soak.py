"""A short soak with fixed seeds, and its judge; the long soak is run by hand."""

from pathlib import Path

import pytest

from tests.integration.soak import soak
from tests.support.gateway_cluster import GatewayCluster
from tests.support.loopback import run_for
from tests.support.rate_server import Attempt, RateServer
from tests.support.soak_judgement import INCONCLUSIVE, SentRequest, SoakJudge, SoakResult

SEEDS, JOBS = 6, 2
REQUEST = b"%016x" % 1


def judge(
    request: SentRequest, *attempts: Attempt, draining_since: float | None = None, limited: bool = False
) -> SoakResult:
    """The result of a run with one request, sent at 10 s with 1 s remaining, and one rate server."""
    cluster, server, result = GatewayCluster(Path()), RateServer("s-0", 0.0), SoakResult(seed=1)
    server.attempts = list(attempts)
    if draining_since is not None:
        server.draining_since = draining_since
    cluster.rate_servers = [server]
    SoakJudge(result, 0.0, limited).judge({REQUEST: request}, cluster)
    return result


def sent(class_name: bytes = b"quote", answer: bytes = REQUEST, answered_at: float = 10.5) -> SentRequest:
    return SentRequest(class_name, 10.0, 1.0, False, [answer] if answer else [], answered_at)


def attempt(received_at: float = 10.1, time_remaining_ms: int = 600, ended_at: float = 10.4) -> Attempt:
    return Attempt("s-0", REQUEST, time_remaining_ms, received_at, ended_at)


def test_no_rule_is_broken_under_signals_in_series_load_and_the_earliest_kill() -> None:
    async def scenario() -> None:
        results = await soak(1, SEEDS, JOBS)
        assert {result.seed: result.violations for result in results if result.violations} == {}
        conclusive = [result for result in results if not result.outcomes[INCONCLUSIVE]]
        assert all(sum(result.outcomes.values()) > 100 for result in conclusive)

    run_for(120.0, scenario)


@pytest.mark.parametrize(
    ("result", "violation"),
    [
        (judge(sent(answer=b""), attempt()), "has no answer (first False, attempted True)"),
        (judge(sent(answer=b"other"), attempt()), "got b'other'"),
        (judge(sent(answered_at=11.6), attempt()), "answered 0.600 s after its deadline"),
        (judge(sent(b"order"), attempt(), attempt(10.4)), "forwarded 2 times"),
        (judge(sent(), attempt(), attempt(10.3)), "has two attempts in flight"),
        (judge(sent(), attempt(time_remaining_ms=1_200)), "passed on with 0.300 s more than remained"),
        (judge(sent(), attempt(), draining_since=9.5), "s-0 got 1 attempts after its drain grace"),
    ],
)
def test_soak_judge_finds_each_violation(result: SoakResult, violation: str) -> None:
    (found,) = result.violations
    assert violation in found


def test_soak_judge_accepts_what_the_rules_allow() -> None:
    crossed = sent(answer=b"")
    crossed.crossed_close = True
    first = sent(answer=b"")
    first.crossed_close = first.first_on_connection = True
    for result, outcome in (
        (judge(sent(), attempt(), attempt(10.4), draining_since=10.0), "served"),
        (judge(sent(answer=b"-BUSY later", answered_at=11.4)), "-BUSY"),
        (judge(sent(answer=b"-ERR failed"), attempt(time_remaining_ms=1_000)), "-ERR"),
        (judge(crossed), "crossed the close"),
        (judge(first, limited=True), "crossed the close"),
    ):
        assert result.violations == []
        assert result.outcomes == {outcome: 1}
    assert judge(first).violations
    assert judge(crossed, attempt()).violations
