"""A fleet of twenty-five gateways before rate servers that nearly all start again at once."""

from dataclasses import replace
from math import sqrt

import pytest

from rushroad.policy.actions import StartAttempt
from tests.support.gateway_driver import MS, SECOND, SETTINGS, Driver, line

GATEWAYS, SERVERS = 25, 10
TURN = 100 * MS  # each gateway has one request in this time, two in a burst
FREE = replace(SETTINGS, counter=None, plans=(replace(SETTINGS.plans[0], rate=0.0, burst=0.0),))


def serve(gateways: list[Driver], span: int, requests: int = 1) -> dict[str, int]:
    """So many requests a turn at each, all answered by the next one; the sends to each server."""
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
            driver.finish()
    return sent


@pytest.mark.parametrize("restarted", [5, 9, 10])
def test_cold_servers_get_no_more_than_they_bear_however_many_are_cold(restarted: int) -> None:
    # The answers that a gateway goes by are from before the restarts: from all servers, not from those warm.
    settings = [replace(FREE, fleet_size=GATEWAYS, gateway_index=number) for number in range(GATEWAYS)]
    gateways = [Driver(own, SERVERS, seed) for seed, own in enumerate(settings)]
    serve(gateways, 10 * SECOND)
    usual = GATEWAYS * (SECOND / TURN) / SERVERS  # a second, at a warm one
    cold = [line(number + 1, started_at=gateways[0].now) for number in range(restarted)]
    for driver in gateways:
        driver.members(*cold)
    safety = FREE.safety
    sent = serve(gateways, safety.overload_window, requests=2)  # under a burst
    age = safety.overload_window / safety.warm_up_time
    grown = safety.initial_capacity + (1 - safety.initial_capacity) * age
    budget = safety.overload_multiple * grown * usual * safety.overload_window / SECOND
    assert 0 < max(sent[entry.name] for entry in cold) <= budget + 2 * sqrt(budget) + 2
