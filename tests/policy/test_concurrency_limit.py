"""The adaptive limit on attempts at an endpoint."""

from dataclasses import replace

from rushroad.policy.actions import StartAttempt
from rushroad.policy.events import (
    Result,
)
from rushroad.policy.settings import (
    Limits,
)
from tests.support.gateway_driver import (
    MS,
    SECOND,
    SETTINGS,
    Driver,
    action_names,
    ready_endpoint,
)
from tests.support.policy_scenarios import LARGE_FLEET, reply_to_oldest_call


def test_unresponsive_endpoint_gets_fewer_attempts() -> None:
    """Abandoned attempts still wait at an endpoint that does not respond, so they count as in flight."""
    driver = Driver(replace(SETTINGS, limits=Limits(max_attempts=1)), endpoint_count=2)
    silent = ready_endpoint(1).name
    for n in range(200):
        driver.request(tenant=n)
        driver.counter_reply(1.0) if driver.counter_calls else None
        driver.wait(50 * MS)
        for tracked in list(driver.requests.values()):
            for attempt in sorted(tracked.in_flight):
                if tracked.attempts[attempt].endpoint != silent:
                    driver.finish_attempt(tracked.request.id, Result.OK, attempt)
    attempts = [a.endpoint for a in driver.actions if isinstance(a, StartAttempt)]
    assert attempts.count(silent) < 15 < 150 < len(attempts)


def test_abandoned_attempts_at_an_endpoint_without_responses_are_forgotten() -> None:
    driver = Driver(endpoint_count=1)
    for _ in range(60):
        driver.request(tenant=driver.next_request_id)
        while driver.counter_calls:
            driver.counter_reply(1.0)
        driver.wait(2 * SECOND)
    assert action_names(driver.actions).count("StartAttempt") > 20
    endpoint = driver.gateway.endpoints.get("10.0.0.1:80")
    assert endpoint is not None
    assert not endpoint.concurrency.in_flight
    assert endpoint.concurrency.count(abandoned_cutoff=0) <= 6


def test_abandoned_attempts_at_one_endpoint_take_no_capacity_at_others() -> None:
    # Paused endpoints still hold abandoned attempts; this must not leave responding endpoints idle.
    driver = Driver()
    paused = driver.gateway.endpoints.ready[0]
    for _ in range(8):  # more than the sum of the limits of all four endpoints
        paused.concurrency.record_abandoned(driver.now, abandoned_cutoff=0)
    assert driver.admit().endpoint != paused.entry.name


def test_late_responses_everywhere_lower_the_pooled_limit_of_each_gateway() -> None:
    driver = Driver(LARGE_FLEET, endpoint_count=40)
    started = []  # attempts in each second
    for second in range(40):
        before = action_names(driver.actions).count("StartAttempt")
        for tenant in range(4):
            driver.request(tenant=1000 * second + tenant)
            while driver.counter_calls:
                reply_to_oldest_call(driver, 1.0)
        driver.wait(900 * MS)  # nine tenths of the latency objective
        driver.finish_all()
        driver.wait(100 * MS)
        started.append(action_names(driver.actions).count("StartAttempt") - before)
    assert sum(started[-10:]) < sum(started[:10]) / 2
    assert sum(started[-10:]) > 0
