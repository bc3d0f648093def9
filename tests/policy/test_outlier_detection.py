"""Failing and silent endpoints are ejected; slow ones are not."""

from dataclasses import replace

from rushroad.policy.actions import CancelAttempt, StartAttempt
from rushroad.policy.events import (
    Result,
)
from tests.support.gateway_driver import (
    MS,
    SETTINGS,
    Driver,
    ready_endpoint,
)
from tests.support.policy_scenarios import (
    LARGE_FLEET_WITHOUT_COUNTER,
    next_attempt_after,
    with_latency_history,
)


def test_failing_endpoint_is_ejected() -> None:
    driver = Driver(endpoint_count=4)
    failing = ready_endpoint(1).name
    for n in range(40):
        attempt = driver.admit(tenant=n)
        driver.now += 20 * MS
        driver.outcome(attempt.request_id, Result.ERROR if attempt.endpoint == failing else Result.OK)
        if not driver.requests[attempt.request_id].is_answered:
            driver.outcome(attempt.request_id)
    last_attempts = [a for a in driver.actions if isinstance(a, StartAttempt)][-20:]
    assert sum(attempt.endpoint == failing for attempt in last_attempts) <= 2


def test_attempt_at_a_silent_endpoint_is_cancelled_and_retried() -> None:
    driver = with_latency_history(Driver(endpoint_count=4))
    unanswered = driver.admit(tenant=50)
    actions = driver.wait(600 * MS)
    assert CancelAttempt(unanswered.request_id, 0) in actions
    driver.outcome(unanswered.request_id, Result.CANCELLED)
    assert next_attempt_after(unanswered, driver).endpoint != unanswered.endpoint


def test_slow_response_is_awaited_where_few_responses_are_expected() -> None:
    # In a fleet of 40 gateways, the slow request is the only one that a gateway has at the endpoint.
    driver = Driver(replace(SETTINGS, fleet_size=40), endpoint_count=60)
    for n in range(60):
        attempt = driver.admit(tenant=1000 + n)
        driver.now += 100 * MS
        driver.outcome(attempt.request_id)
    slow = driver.admit(tenant=50)
    assert CancelAttempt(slow.request_id, 0) not in driver.wait(900 * MS)
    driver.outcome(slow.request_id)
    endpoint = driver.gateway.endpoints.get(slow.endpoint)
    assert endpoint is not None
    assert not endpoint.outlier.ejected


def test_slow_response_is_awaited_where_the_endpoint_responds_to_others() -> None:
    driver = Driver(endpoint_count=1)
    slow = driver.admit(tenant=50)
    driver.wait(300 * MS)
    quick = driver.admit(tenant=51)
    driver.outcome(quick.request_id)
    assert CancelAttempt(slow.request_id, 0) not in driver.wait(400 * MS)


def test_endpoints_that_refuse_connections_are_ejected_even_if_they_are_most() -> None:
    driver = Driver(endpoint_count=4)
    healthy = ready_endpoint(1).name
    for n in range(60):
        driver.request(tenant=n)
        driver.counter_reply(1.0) if driver.counter_calls else None
        for tracked in list(driver.requests.values()):
            while tracked.in_flight and not tracked.is_answered:
                is_up = tracked.attempts[max(tracked.attempts)].endpoint == healthy
                driver.outcome(tracked.request.id, Result.OK if is_up else Result.CONNECT_FAILED)
        driver.now += 5 * MS
    attempts = [a.endpoint for a in driver.actions if isinstance(a, StartAttempt)]
    assert len(attempts) - attempts.count(healthy) <= 9


def test_endpoints_that_refuse_connections_are_ejected_even_if_they_are_most_of_a_large_fleet() -> None:
    driver = Driver(LARGE_FLEET_WITHOUT_COUNTER, endpoint_count=8)
    healthy = ready_endpoint(8).name
    for tenant in range(60):
        driver.request(tenant=tenant)
        for _ in range(8):
            tracked = driver.requests[driver.next_request_id - 1]
            if not tracked.in_flight:
                break
            is_up = tracked.attempts[max(tracked.attempts)].endpoint == healthy
            driver.outcome(tracked.request.id, Result.OK if is_up else Result.CONNECT_FAILED)
        driver.wait(20 * MS)
    attempts = [a.endpoint for a in driver.actions if isinstance(a, StartAttempt)]
    assert attempts[-20:].count(healthy) >= 18
