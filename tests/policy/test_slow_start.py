"""Endpoints that have just started get what they bear, over the whole fleet."""

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
TURN = 100 * MS  # each gateway has one request in this time, two in a burst


NO_QUOTA = replace(SETTINGS, counter=None, plans=(replace(SETTINGS.plans[0], rate=0.0, burst=0.0),))


def run_fleet(gateways: list[Driver], span: int, requests: int = 1) -> dict[str, int]:
    """So many requests a turn at each, all answered by the next one; the attempts to each endpoint."""
    sent: dict[str, int] = {}
    for _ in range(span // TURN):
        for driver in gateways:
            before = len(driver.actions)
            for _ in range(requests):
                driver.request()
            for action in driver.actions[before:]:
                if isinstance(action, StartAttempt):
                    sent[action.endpoint] = sent.get(action.endpoint, 0) + 1
            driver.wait(TURN)
            driver.finish_all()
    return sent


def test_endpoint_that_warms_up_gets_less_than_a_warm_one() -> None:
    driver = Driver(endpoint_count=3)
    cold = ready_endpoint(9).name
    for n in range(400):
        if n == 200:
            driver.update_endpoints(structs.replace(ready_endpoint(9), started_at=driver.now))
        attempt = driver.admit(tenant=n)
        driver.now += 25 * MS
        driver.outcome(attempt.request_id)
    attempts = [a for a in driver.actions if isinstance(a, StartAttempt)][200:]
    to_cold = sum(attempt.endpoint == cold for attempt in attempts)
    # 5 s at under 2 x 0.5 of what a warm one takes of this gateway's 40 a second
    assert 0 < to_cold < 5 * 40 / 3


def test_endpoint_that_warms_up_gets_what_it_bears_from_hundreds_of_gateways_together() -> None:
    """Each gateway's pace is a small fraction of a request: together neither nothing nor too much."""
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
    # 200 answers a second from 10 endpoints: 20 a second each. One restarts and is notified at once.
    cold = 0
    for driver in gateways:
        driver.update_endpoints(ready_endpoint(1, started_at=driver.now))
    rounds = 10  # about one in eight of those that may attempt to it does, in each
    for _ in range(rounds):
        for driver in gateways:
            cold += driver.admit().endpoint == ready_endpoint(1).name
            driver.wait(100 * MS)
            driver.finish_all()
            driver.wait(900 * MS)
    safety = LARGE_FLEET.safety
    assert 0 < cold < safety.overload_multiple * safety.initial_capacity * 20 * rounds


@pytest.mark.parametrize("restarted", [5, 9, 10])
def test_endpoints_that_warm_up_get_no_more_than_they_bear_however_many_they_are(restarted: int) -> None:
    # A gateway goes by responses from before the restarts: of all endpoints, not of those still warm.
    settings = [replace(NO_QUOTA, fleet_size=GATEWAYS, gateway_index=number) for number in range(GATEWAYS)]
    gateways = [Driver(own, ENDPOINTS, seed) for seed, own in enumerate(settings)]
    run_fleet(gateways, 10 * SECOND)
    usual = GATEWAYS * (SECOND / TURN) / ENDPOINTS  # a second, at a warm one
    cold = [ready_endpoint(number + 1, started_at=gateways[0].now) for number in range(restarted)]
    for driver in gateways:
        driver.update_endpoints(*cold)
    safety = NO_QUOTA.safety
    sent = run_fleet(gateways, safety.overload_window, requests=2)  # under a burst
    age = safety.overload_window / safety.warm_up_time
    grown = safety.initial_capacity + (1 - safety.initial_capacity) * age
    budget = safety.overload_multiple * grown * usual * safety.overload_window / SECOND
    assert 0 < max(sent[entry.name] for entry in cold) <= budget + 2 * sqrt(budget) + 2
