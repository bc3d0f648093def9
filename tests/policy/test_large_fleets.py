"""Fleets of hundreds of gateways: what holds only in the sum over them, and what one of them can know."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from rushroad.policy.actions import CounterAdd, StartAttempt
from rushroad.policy.active_endpoints import ActiveEndpoint
from rushroad.policy.events import CounterReply, Endpoint, EndpointState, Result, UpdateKind
from rushroad.policy.settings import Idempotency
from rushroad.policy.subsetting import MAX_SUBSET_SIZE, MIN_SUBSET_SIZE
from tests.support.gateway_driver import (
    CEILING,
    IDEMPOTENCY_KEY,
    IDEMPOTENT,
    MS,
    NOT_IDEMPOTENT,
    SECOND,
    SETTINGS,
    START,
    TENANT,
    Driver,
    Totals,
    kinds,
    line,
)

FLEET = replace(SETTINGS, fleet_size=200)
NO_COUNTER = replace(FLEET, counter=None)


def lines(count: int) -> tuple[Endpoint, ...]:
    """Ready servers of two kinds."""
    return tuple(
        Endpoint(f"10.0.{n // 250}.{n % 250 + 1}:80", EndpointState.READY, endpoint_class=n % 2)
        for n in range(count)
    )


def answer(driver: Driver, total: float, elapsed: int = 1 * MS, result: Result = Result.OK) -> list[str]:
    """The counter's answer to the oldest open call, after so long."""
    count = driver.calls.pop(0)
    return kinds(driver.feed(CounterReply(count.name, result, elapsed, total)))


def crowd(driver: Driver) -> None:
    """Calls that time out now and then: the counter is there, but has too much to do."""
    for tenant in range(1000, 1060):
        driver.request(tenant=tenant)
        timed_out = tenant % 3 < 2
        while driver.calls:
            answer(driver, 0.0, 50 * MS, Result.TIMEOUT) if timed_out else answer(driver, 1.0, 40 * MS)
        driver.finish()
        driver.wait(60 * MS)


def test_a_random_burst_at_one_of_many_gateways_is_not_refused() -> None:
    driver = Driver(FLEET, servers=40)
    for tenant in range(3):
        actions = kinds(driver.request(tenant=tenant))
        assert "StartAttempt" in (answer(driver, 1.0) if driver.calls else actions)


def test_late_answers_everywhere_make_every_gateway_of_a_large_fleet_send_less() -> None:
    driver = Driver(FLEET, servers=40)
    sent = []
    for second in range(40):
        before = kinds(driver.actions).count("StartAttempt")
        for tenant in range(4):
            driver.request(tenant=1000 * second + tenant)
            while driver.calls:
                answer(driver, 1.0)
        driver.wait(900 * MS)  # nine tenths of the aim
        driver.finish()
        driver.wait(100 * MS)
        sent.append(kinds(driver.actions).count("StartAttempt") - before)
    assert sum(sent[-10:]) < sum(sent[:10]) / 2
    assert sum(sent[-10:]) > 0


def test_gateways_that_know_as_little_as_each_other_do_not_all_pick_the_same_server() -> None:
    picked: Counter[str] = Counter()
    for index in range(300):
        picked[
            Driver(replace(NO_COUNTER, gateway_index=index % 200), servers=20, seed=index).admitted().endpoint
        ] += 1
    assert len(picked) == 20
    assert max(picked.values()) < 3 * 300 / 20


@pytest.mark.parametrize(("gateways", "servers", "most"), [(200, 84, 20), (200, 200, 20), (200, 4_000, 80)])
def test_a_choice_looks_at_a_bounded_subset_however_many_servers_there_are(
    gateways: int, servers: int, most: int
) -> None:
    driver = Driver(replace(NO_COUNTER, fleet_size=gateways), servers=0)
    driver.members(*lines(servers), kind=UpdateKind.CACHED_SNAPSHOT)
    driver.wait(1 * SECOND)  # a long list is looked at in parts
    seen: list[ActiveEndpoint] = []
    wait = driver.gateway.load_balancer.expected_wait

    def noted(endpoint: ActiveEndpoint, now: int) -> float:
        seen.append(endpoint)
        return wait(endpoint, now)

    driver.gateway.load_balancer.expected_wait = noted  # type: ignore[method-assign]
    driver.admitted()
    assert 0 < len(seen) <= most < 1.5 * MAX_SUBSET_SIZE


@pytest.mark.parametrize("servers", [84, 100, 200])
def test_gateways_of_a_large_fleet_keep_to_eight_servers_in_the_mean(servers: int) -> None:
    sizes = []
    for index in range(200):
        driver = Driver(replace(NO_COUNTER, gateway_index=index), servers=0)
        driver.members(*lines(servers), kind=UpdateKind.CACHED_SNAPSHOT)
        sizes.append(len(driver.gateway.endpoints.ready))
    assert MIN_SUBSET_SIZE <= sum(sizes) / len(sizes) <= 1.03 * MIN_SUBSET_SIZE


def test_a_crowded_counter_is_called_for_fewer_requests_and_for_all_again_once_it_keeps_up() -> None:
    asked = 0
    for seed in range(10):  # where the share is left by the crowd is chance
        driver = Driver(FLEET, servers=40, seed=seed)
        crowd(driver)
        for tenant in range(2000, 2040):
            asked += kinds(driver.request(tenant=tenant)).count("CounterAdd")
            while driver.calls:
                answer(driver, 1.0, 45 * MS)  # it answers, but only just: the share stays
            driver.finish()
            driver.wait(200 * MS)
    assert 40 <= asked <= 200  # a tenth of the requests is called for at the least
    for tenant in range(3000, 3100):
        driver.request(tenant=tenant)
        while driver.calls:
            answer(driver, 1.0)
        driver.finish()
        driver.wait(200 * MS)
    assert kinds(driver.request(tenant=4000)) == ["CounterAdd"]


def test_calls_that_a_crowded_counter_does_get_stand_for_those_that_were_not_made() -> None:
    driver = Driver(FLEET, servers=40)
    crowd(driver)
    added, passed = 0.0, 0
    for tenant in range(2000, 2300):
        for action in driver.request(tenant=tenant):
            added += action.amount if isinstance(action, CounterAdd) else 0.0
            passed += isinstance(action, StartAttempt)
        while driver.calls:
            passed += answer(driver, 1.0, 45 * MS).count("StartAttempt")
        driver.finish()
        driver.wait(200 * MS)
    assert 0.7 * passed < added < 1.3 * passed


def test_a_tenant_beyond_its_quota_does_not_slip_through_a_crowded_counter() -> None:
    driver = Driver(replace(FLEET, plans=(replace(SETTINGS.plans[0], overage_cost=1.0),)), servers=40)
    crowd(driver)
    sends = []
    for _ in range(80):
        driver.request()
        while driver.calls:
            answer(driver, 40.0, 45 * MS)
        driver.finish()
        driver.wait(8 * SECOND)  # as long as a window
        sends.append(kinds(driver.actions).count("StartAttempt"))
    assert sends[79] - sends[39] <= 2


def test_what_others_used_over_a_window_is_not_taken_for_a_debt_of_this_moment() -> None:
    driver = Driver(replace(FLEET, fleet_size=40), servers=60)
    driver.request(entry_points=30)
    assert answer(driver, 1.0) == ["StartAttempt"]
    driver.wait(6 * SECOND)  # others took eight of the twelve units that were refilled meanwhile
    driver.request(entry_points=30)
    assert answer(driver, 10.0) == ["StartAttempt"]


def test_gateways_that_see_little_of_a_tenant_hold_it_to_its_quota_together() -> None:
    """It asks for four times its rate of 2 units a second, through thirty gateways, for about two minutes."""
    served = asked = 0.0
    for seed in range(4):
        chance, now, totals = Random(seed), 0.0, Totals()
        gateways = [
            Driver(replace(FLEET, fleet_size=40, gateway_index=n), servers=60, seed=n) for n in range(30)
        ]
        for _ in range(500):
            now += chance.expovariate(4.0)
            driver = gateways[chance.randrange(30)]
            driver.now = START + int(now * SECOND)
            driver.request(units=2.0, entry_points=30)
            while driver.calls:
                total = totals.add(driver.calls[0], driver.now)
                served += 2.0 * kinds(driver.counted(total)).count("StartAttempt")
            driver.finish()
        asked += 2.0 * now
    assert 0.9 * asked < served < 1.05 * asked


def test_an_add_is_not_taken_back_by_a_call_of_its_own_while_the_counter_is_crowded() -> None:
    driver = Driver(FLEET, servers=40)
    crowd(driver)
    refused = 0
    for tenant in range(2000, 2040):
        driver.request(tenant=tenant)
        while driver.calls:
            actions = answer(driver, 50.0, 45 * MS)
            refused += actions.count("Reject")
            assert "CounterAdd" not in actions
        driver.finish()
        driver.wait(200 * MS)
    assert refused > 0


def test_a_later_try_whose_aim_has_passed_takes_no_units_while_others_go_without() -> None:
    driver = Driver(FLEET, servers=40)
    crowd(driver)
    # Half of the deadline is gone.
    assert kinds(driver.request(tenant=1, time_left=1500 * MS)) == ["Reject"]


def test_clients_with_little_time_are_served_where_nothing_is_crowded() -> None:
    driver = Driver(FLEET, servers=40)
    for tenant in range(20):
        driver.admitted(tenant=tenant)
        driver.finish()
        driver.wait(1 * SECOND)
    assert driver.admitted(tenant=100, time_left=1500 * MS)


def test_tenants_beyond_their_quota_give_way_first_when_room_is_short() -> None:
    for seed in range(5):  # none of them by the chance of being called for
        settings = replace(FLEET, plans=(replace(SETTINGS.plans[0], overage_cost=1.0),))
        driver = Driver(settings, servers=40, seed=seed)
        for _ in range(30):  # totals over the allowance, windows apart
            driver.request(tenant=1)
            while driver.calls:
                answer(driver, 40.0)
            driver.finish()
            driver.wait(8 * SECOND + 100 * MS)  # behind the time in which a window may still end
        driver.gateway.load_shedding.set_credit(0.4, driver.now)
        assert kinds(driver.request(tenant=1)) == ["Reject"]
        assert kinds(driver.request(tenant=2, cls=IDEMPOTENCY_KEY)) != ["Reject"]


def test_a_cold_server_gets_what_it_can_take_from_hundreds_of_gateways_in_sum() -> None:
    """Each gateway's pace is a small fraction of a request: together neither nothing nor too much."""
    settings = replace(NO_COUNTER, plans=(replace(SETTINGS.plans[0], rate=0.0, burst=0.0),))
    gateways = [
        Driver(replace(settings, gateway_index=number), servers=10, seed=number) for number in range(200)
    ]
    for _ in range(10):
        for driver in gateways:
            driver.admitted()
            driver.wait(100 * MS)
            driver.finish()
            driver.wait(900 * MS)
    # 200 answers a second from 10 servers: 20 a second each. One restarts and is told of at once.
    cold = 0
    for driver in gateways:
        driver.members(line(1, started_at=driver.now))
    rounds = 10  # about one in eight of those that may send to it does, in each
    for _ in range(rounds):
        for driver in gateways:
            cold += driver.admitted().endpoint == line(1).name
            driver.wait(100 * MS)
            driver.finish()
            driver.wait(900 * MS)
    safety = FLEET.safety
    assert 0 < cold < safety.overload_multiple * safety.initial_capacity * 20 * rounds


def test_servers_that_refuse_connects_are_left_alone_even_if_they_are_the_most() -> None:
    driver = Driver(NO_COUNTER, servers=8)
    alive = line(8).name
    for tenant in range(60):
        driver.request(tenant=tenant)
        for _ in range(8):
            life = driver.lives[driver.next_id - 1]
            if not life.live:
                break
            up = life.sent[max(life.sent)][0] == alive
            driver.outcome(life.request.id, Result.OK if up else Result.CONNECT_FAILED)
        driver.wait(20 * MS)
    sends = [a.endpoint for a in driver.actions if isinstance(a, StartAttempt)]
    assert sends[-20:].count(alive) >= 18


def test_a_restarted_gateway_of_a_large_fleet_serves_at_once_from_its_last_list() -> None:
    driver = Driver(FLEET, servers=0)
    driver.members(*lines(84), kind=UpdateKind.CACHED_SNAPSHOT)
    for cls in (IDEMPOTENT, IDEMPOTENCY_KEY, NOT_IDEMPOTENT):
        assert driver.admitted(cls=cls, tenant=cls, entry_points=150)
    assert FLEET.request_classes[NOT_IDEMPOTENT].idempotency is Idempotency.NOT_IDEMPOTENT


def test_a_restart_does_not_refill_a_gateways_share_of_a_ceiling_in_a_large_fleet() -> None:
    driver = Driver(FLEET, servers=40)
    assert kinds(driver.request(plan=CEILING, tenant=TENANT, units=4.0, entry_points=7)) == ["Reject"]
