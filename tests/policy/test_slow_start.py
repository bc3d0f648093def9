"""The whole fleet together does not overload endpoints that have just started."""

from dataclasses import replace
from math import sqrt

import pytest
from msgspec import structs

from rushroad.policy.actions import StartAttempt
from tests.support.gateway_driver import (
    MS,
    SECOND,
    SETTINGS,
    Driver,
    ready_endpoint,
)
from tests.support.policy_scenarios import LARGE_FLEET, LARGE_FLEET_WITHOUT_COUNTER

GATEWAYS, ENDPOINTS = 25, 10
ROUND = 100 * MS  # each gateway gets one request per round, and two in a burst

NO_QUOTA = replace(SETTINGS, counter=None, plans=(replace(SETTINGS.plans[0], rate=0.0, burst=0.0),))


def run_fleet(gateways: list[Driver], span: int, requests: int = 1) -> dict[str, int]:
    """Send `requests` per round to each gateway, answered by the next round; return attempts by endpoint."""
    started: dict[str, int] = {}
    for _ in range(span // ROUND):
        for driver in gateways:
            before = len(driver.actions)
            for _ in range(requests):
                driver.request()
            for action in driver.actions[before:]:
                if isinstance(action, StartAttempt):
                    started[action.endpoint] = started.get(action.endpoint, 0) + 1
            driver.wait(ROUND)
            driver.finish_all()
    return started


def test_endpoint_that_is_warming_up_gets_less_than_a_warm_one() -> None:
    driver = Driver(endpoint_count=3)
    warming_up = ready_endpoint(9).name
    for n in range(400):
        if n == 200:
            driver.update_endpoints(structs.replace(ready_endpoint(9), started_at=driver.now))
        attempt = driver.admit(tenant=n)
        driver.now += 25 * MS
        driver.finish_attempt(attempt.request_id)
    attempts = [a for a in driver.actions if isinstance(a, StartAttempt)][200:]
    attempts_at_it = sum(attempt.endpoint == warming_up for attempt in attempts)
    # 5 s at less than 2 x 0.5 of a warm endpoint's share of this gateway's 40 requests per second
    assert 0 < attempts_at_it < 5 * 40 / 3


def test_endpoint_that_is_warming_up_gets_some_load_but_not_too_much_from_hundreds_of_gateways() -> None:
    """Each gateway's share is a small fraction of a request; the sum must be neither 0 nor an overload."""
    settings = replace(LARGE_FLEET_WITHOUT_COUNTER, plans=(replace(SETTINGS.plans[0], rate=0.0, burst=0.0),))
    gateways = [
        Driver(replace(settings, gateway_index=number), endpoint_count=10, seed=number)
        for number in range(200)
    ]
    for _ in range(10):
        for driver in gateways:
            driver.admit()
            driver.wait(100 * MS)
            driver.finish_all()
            driver.wait(900 * MS)
    # 200 responses per second from 10 endpoints: 20 each. One restarts, which is reported at once.
    attempts_at_it = 0
    for driver in gateways:
        driver.update_endpoints(ready_endpoint(1, started_at=driver.now))
    rounds = 10  # in each, about one in eight of the gateways that may use the endpoint does
    for _ in range(rounds):
        for driver in gateways:
            attempts_at_it += driver.admit().endpoint == ready_endpoint(1).name
            driver.wait(100 * MS)
            driver.finish_all()
            driver.wait(900 * MS)
    safety = LARGE_FLEET.safety
    assert 0 < attempts_at_it < safety.overload_multiple * safety.initial_capacity * 20 * rounds


@pytest.mark.parametrize("restarted", [5, 9, 10])
def test_endpoints_that_are_warming_up_are_not_overloaded_however_many_they_are(restarted: int) -> None:
    # A gateway derives the capacity from the responses of all endpoints before the restarts, not only from
    # those of the endpoints that are still warm.
    settings = [replace(NO_QUOTA, fleet_size=GATEWAYS, gateway_index=number) for number in range(GATEWAYS)]
    gateways = [Driver(each, ENDPOINTS, seed) for seed, each in enumerate(settings)]
    run_fleet(gateways, 10 * SECOND)
    warm_rate = GATEWAYS * (SECOND / ROUND) / ENDPOINTS  # requests per second at a warm endpoint
    warming_up = [ready_endpoint(number + 1, started_at=gateways[0].now) for number in range(restarted)]
    for driver in gateways:
        driver.update_endpoints(*warming_up)
    safety = NO_QUOTA.safety
    started = run_fleet(gateways, safety.overload_window, requests=2)  # in a burst
    warm_up_progress = safety.overload_window / safety.warm_up_time
    capacity = safety.initial_capacity + (1 - safety.initial_capacity) * warm_up_progress
    budget = safety.overload_multiple * capacity * warm_rate * safety.overload_window / SECOND
    assert 0 < max(started[entry.name] for entry in warming_up) <= budget + 2 * sqrt(budget) + 2
