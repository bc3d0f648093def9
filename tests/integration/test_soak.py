"""A short soak with fixed seeds, and tests of its checker; the long soak is run by hand."""

from pathlib import Path

import pytest

from tests.integration.soak import soak
from tests.support.gateway_cluster import GatewayCluster
from tests.support.loopback import run_with_timeout
from tests.support.rate_server import Attempt, RateServer
from tests.support.soak_checker import INCONCLUSIVE, SentRequest, SoakChecker, SoakResult

SEED_COUNT, JOBS = 6, 2
REQUEST_ID = b"%016x" % 1


def check(
    request: SentRequest,
    *attempts: Attempt,
    draining_since: float | None = None,
    connections_limited: bool = False,
) -> SoakResult:
    """Return the checked result of a run with one server and one request, sent at 10 s with 1 s remaining."""
    cluster, server, result = GatewayCluster(Path()), RateServer("s-0", 0.0), SoakResult(seed=1)
    server.attempts = list(attempts)
    if draining_since is not None:
        server.draining_since = draining_since
    cluster.rate_servers = [server]
    SoakChecker(result, 0.0, connections_limited).check({REQUEST_ID: request}, cluster)
    return result


def sent_request(
    class_name: bytes = b"quote", answer: bytes = REQUEST_ID, answered_at: float = 10.5
) -> SentRequest:
    return SentRequest(class_name, 10.0, 1.0, False, [answer] if answer else [], answered_at)


def recorded_attempt(
    received_at: float = 10.1, time_remaining_ms: int = 600, finished_at: float = 10.4
) -> Attempt:
    return Attempt("s-0", REQUEST_ID, time_remaining_ms, received_at, finished_at)


def test_no_rule_is_broken_under_load_repeated_signals_and_the_earliest_sigkill() -> None:
    async def scenario() -> None:
        results = await soak(1, SEED_COUNT, JOBS)
        assert {result.seed: result.violations for result in results if result.violations} == {}
        conclusive = [result for result in results if not result.outcomes[INCONCLUSIVE]]
        assert all(sum(result.outcomes.values()) > 100 for result in conclusive)

    run_with_timeout(120.0, scenario)


@pytest.mark.parametrize(
    ("result", "violation"),
    [
        (
            check(sent_request(answer=b""), recorded_attempt()),
            "has no answer (first on connection: False, attempted: True)",
        ),
        (check(sent_request(answer=b"other"), recorded_attempt()), "was answered b'other'"),
        (check(sent_request(answered_at=11.6), recorded_attempt()), "answered 0.600 s after its deadline"),
        (check(sent_request(b"order"), recorded_attempt(), recorded_attempt(10.4)), "forwarded 2 times"),
        (check(sent_request(), recorded_attempt(), recorded_attempt(10.3)), "has two attempts in flight"),
        (
            check(sent_request(), recorded_attempt(time_remaining_ms=1_200)),
            "forwarded with 0.300 s more than its time remaining",
        ),
        (
            check(sent_request(), recorded_attempt(), draining_since=9.5),
            "s-0 received 1 attempts after its drain grace",
        ),
    ],
)
def test_soak_checker_finds_each_violation(result: SoakResult, violation: str) -> None:
    (found,) = result.violations
    assert violation in found


def test_soak_checker_accepts_what_the_rules_allow() -> None:
    raced = sent_request(answer=b"")
    raced.raced_with_close = True
    first = sent_request(answer=b"")
    first.raced_with_close = first.first_on_connection = True
    for result, outcome in (
        (check(sent_request(), recorded_attempt(), recorded_attempt(10.4), draining_since=10.0), "served"),
        (check(sent_request(answer=b"-BUSY later", answered_at=11.4)), "-BUSY"),
        (check(sent_request(answer=b"-ERR failed"), recorded_attempt(time_remaining_ms=1_000)), "-ERR"),
        (check(raced), "raced with the close"),
        (check(first, connections_limited=True), "raced with the close"),
    ):
        assert result.violations == []
        assert result.outcomes == {outcome: 1}
    assert check(first).violations
    assert check(raced, recorded_attempt()).violations
