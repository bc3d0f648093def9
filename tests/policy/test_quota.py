"""Admission by units, with the shared total and without it."""

from dataclasses import replace
from random import Random

import pytest
from msgspec import structs

from rushroad.policy.actions import CounterAdd, Reject, StartAttempt
from rushroad.policy.events import (
    AttemptOutcome,
    EndpointState,
    Result,
)
from tests.support.gateway_driver import (
    MS,
    NOT_IDEMPOTENT,
    SECOND,
    SETTINGS,
    START,
    CounterTotals,
    Driver,
    action_names,
    ready_endpoint,
)
from tests.support.policy_scenarios import LARGE_FLEET, overload_counter, reply_to_oldest_call


def test_rejected_request_takes_its_units_off_the_counter() -> None:
    driver = Driver(endpoint_count=2)
    for n in range(8):
        driver.request(tenant=n)  # all wait for their totals while units are left
    while driver.counter_calls:
        driver.counter_reply(1.0)
    refused = action_names(driver.actions).count("Reject")
    amounts = [a.amount for a in driver.actions if isinstance(a, CounterAdd)]
    assert refused > 0
    assert amounts.count(-1.0) == refused


def test_units_are_added_before_the_request_is_forwarded() -> None:
    driver = Driver()
    assert action_names(driver.request(units=2.0)) == ["CounterAdd"]
    assert driver.counter_calls[0].amount == 2.0
    assert action_names(driver.counter_reply(2.0)) == ["StartAttempt"]


def test_request_over_the_quota_is_taken_back_and_rejected_with_retry_after() -> None:
    driver = Driver()
    driver.request(units=1.0)
    actions = driver.counter_reply(9.0)  # others took 8 of 8
    back, rejection = actions
    assert isinstance(back, CounterAdd)
    assert back.amount == -1.0
    assert isinstance(rejection, Reject)
    assert 0 < rejection.retry_after <= 4 * SECOND  # the window is burst / rate


def test_quota_refills_at_the_rate() -> None:
    driver = Driver()
    driver.request()
    assert "Reject" in action_names(driver.counter_reply(9.0))
    driver.wait(3 * SECOND)  # six units more
    driver.request()
    driver.counter_reply(8.0)  # the reply to the units taken back
    assert action_names(driver.counter_reply(9.0)) == ["StartAttempt"]


def test_tenant_known_to_be_over_its_quota_is_rejected_without_a_call() -> None:
    driver = Driver()
    driver.request()
    driver.counter_reply(20.0)
    assert action_names(driver.request()) == ["Reject"]


def test_use_is_carried_over_into_the_next_window() -> None:
    driver, totals = Driver(), CounterTotals()
    admitted = 0
    for step in range(320):  # four times the quota for 40 s, over several windows
        driver.request()
        while driver.counter_calls:
            admitted_before = action_names(driver.actions).count("StartAttempt")
            driver.counter_reply(totals.add(driver.counter_calls[0], driver.now))
            admitted += action_names(driver.actions).count("StartAttempt") - admitted_before
        driver.wait(125 * MS)
        driver.finish_all()
        assert admitted <= 8 + 2 * (step + 1) * 0.125 + 1
    assert totals.started > 3


def test_overloaded_counter_leaves_the_decision_to_the_estimate() -> None:
    driver = Driver()
    driver.request(entry_points=2)
    assert action_names(driver.counter_reply(result=Result.OVERLOADED)) == ["StartAttempt"]


def test_only_the_local_share_is_admitted_while_the_counter_is_away() -> None:
    driver = Driver()
    admitted = 0
    for _ in range(80):  # 8 requests a second for 10 s; the quota is 8 + 2 a second, the share half of it
        driver.request(entry_points=2)
        while driver.counter_calls:
            driver.counter_reply(result=Result.CONNECT_FAILED)
        driver.wait(125 * MS)
        driver.finish_all()
    admitted = action_names(driver.actions).count("StartAttempt")
    assert 8 <= admitted <= 16


def test_flushed_counter_does_not_grant_the_burst_again() -> None:
    driver = Driver()
    for total in range(1, 8):
        driver.request()
        assert action_names(driver.counter_reply(float(total))) == ["StartAttempt"]
        driver.finish_all()
    admitted = []
    for total in range(1, 4):  # the counter started again, the gateway remembers
        driver.request()
        while driver.counter_calls:
            admitted += action_names(driver.counter_reply(float(total)))
    assert admitted.count("StartAttempt") == 1


def test_slow_counter_is_not_awaited_past_the_clients_timeout() -> None:
    driver = Driver()
    driver.request(time_remaining=40 * MS)
    driver.wait(40 * MS)
    assert action_names(driver.actions)[-1] in ("StartAttempt", "Fail", "Reject")
    driver.wait(20 * MS)


def test_even_share_decides_without_a_counter() -> None:
    driver = Driver(replace(SETTINGS, counter=None))
    for _ in range(20):
        driver.request(entry_points=4)
        driver.finish_all()
    assert action_names(driver.actions).count("StartAttempt") == 2


def test_single_lost_reply_does_not_limit_a_tenant_to_the_even_share() -> None:
    driver = Driver()
    for _ in range(2):
        driver.request(entry_points=8)
        assert action_names(driver.counter_reply(result=Result.TIMEOUT)) == ["StartAttempt"]


def test_estimated_units_are_settled_with_the_actual_ones() -> None:
    driver = Driver(replace(SETTINGS, settles_units=True))
    attempt = driver.admit(units=2.0)
    tracked = driver.requests[attempt.request_id]
    tracked.in_flight.clear()
    tracked.is_answered = True
    event = AttemptOutcome(
        attempt.request_id, 0, attempt.endpoint, Result.OK, 50 * MS, True, actual_units=3.0
    )
    assert driver.handle(event) == []  # a call for each response would overload the counter
    (count,) = driver.request(units=2.0)
    assert isinstance(count, CounterAdd)
    assert count.amount == 3.0  # its own units, and one that the first took beyond its estimate


def test_units_admitted_without_a_call_are_added_with_the_next_one() -> None:
    driver = Driver()
    added, admitted, largest = 0.0, 0, 0.0
    for share in (0.3, 0.3, 0.3, 0.3, 0.3, 1.0):  # the counter is overloaded, then not
        driver.gateway.counter_breaker.call_share = share
        actions = driver.request()
        if driver.counter_calls:
            added += driver.counter_calls[0].amount
            largest = max(largest, driver.counter_calls[0].amount)
            actions = driver.counter_reply(added)
            assert added == admitted + 1
        admitted += action_names(actions).count("StartAttempt")
        driver.finish_all()
    assert (admitted, added) == (6, 6.0)
    assert largest > 1.0  # some did pass without one


def test_add_without_a_reply_is_not_taken_for_others_use() -> None:
    driver = Driver()
    attempts = []
    for total in (2.0, 4.0, 6.0, 8.0):
        for result in (Result.RESET, Result.OK):
            driver.gateway.counter_breaker.call_share = (
                1.0  # which of the requests call is not the matter here
            )
            driver.request()
            attempts += action_names(driver.counter_reply(total, result))
            driver.finish_all()
    assert attempts == ["StartAttempt"] * 8  # the whole burst


def test_rejected_add_is_added_with_the_next_call() -> None:
    driver = Driver()
    driver.request(units=2.0)
    assert action_names(driver.counter_reply(result=Result.OVERLOADED)) == ["StartAttempt"]
    driver.gateway.counter_breaker.call_share = 1.0  # which of the requests call is not the matter here
    driver.request(units=1.0)
    assert driver.counter_calls[0].amount == 3.0


def test_add_missing_from_the_next_total_is_reported_again() -> None:
    # A connection may break before its calls are taken: they must not be lost from the count.
    driver = Driver()
    driver.request(units=2.0)
    assert action_names(driver.counter_reply(result=Result.RESET)) == ["StartAttempt"]
    for total, amount in ((1.0, 1.0), (4.0, 3.0)):
        driver.gateway.counter_breaker.call_share = 1.0  # which of the requests call is not the matter here
        driver.request()
        assert driver.counter_calls[0].amount == amount
        driver.counter_reply(total)
        driver.finish_all()


def test_uncounted_admission_is_estimated_for_others_by_earlier_totals() -> None:
    # Two gateways that each let a burst through between two totals are two bursts for the tenant.
    admitted = []
    for others in (0.0, 1.0):
        driver, totals = Driver(), CounterTotals()
        for _ in range(12):  # this gateway takes half of the quota, others nothing or the same
            driver.request(entry_points=2)
            totals.add(structs.replace(driver.counter_calls[0], amount=others), driver.now)
            driver.counter_reply(totals.add(driver.counter_calls[0], driver.now))
            driver.finish_all()
            driver.wait(1 * SECOND)
        driver.wait(8 * SECOND)
        driver.gateway.counter_breaker.call_share = 1e-9  # next to no call
        before = action_names(driver.actions).count("StartAttempt")
        for _ in range(12):
            driver.request(entry_points=2)
            driver.finish_all()
        admitted.append(action_names(driver.actions).count("StartAttempt") - before)
    assert admitted[0] > admitted[1]
    assert 3 <= admitted[1] <= 5  # half of the burst of 8
    assert admitted[0] <= 8


def test_total_replaces_the_estimate_of_others_use() -> None:
    driver = Driver()
    driver.gateway.counter_breaker.call_share = 1e-9
    assert action_names(driver.request(entry_points=4)) == ["StartAttempt"]  # stands for 4 units
    driver.gateway.counter_breaker.call_share = 1.0
    for units, total in ((4.0, 5.0), (2.0, 7.0)):  # others took nothing
        driver.request(units=units, entry_points=4)
        assert action_names(driver.counter_reply(total)) == ["StartAttempt"]


def test_rejection_at_an_overloaded_counter_ends_when_the_units_fit_again() -> None:
    # A rejection for the rest of a window held out tenants whose burst was half unused by then.
    driver = Driver()
    driver.request(class_index=NOT_IDEMPOTENT)
    driver.counter_reply(8.0)
    driver.gateway.counter_breaker.call_share = 0.5
    assert action_names(driver.request(class_index=NOT_IDEMPOTENT)) == [
        "Reject"
    ]  # without a call: nothing has been refilled yet
    driver.wait(2 * SECOND)  # four units
    assert action_names(driver.request(class_index=NOT_IDEMPOTENT)) == ["CounterAdd"]


def test_quota_near_its_limit_is_reserved_for_the_class_of_higher_weight() -> None:
    # Their requests take more units each: behind single lookups they would never fit.
    driver = Driver()
    driver.request(units=4.0, class_index=NOT_IDEMPOTENT)
    driver.counter_reply(12.0)  # others took 8 of 8
    driver.counter_reply(8.0)  # the reply to the units taken back
    driver.wait(2 * SECOND)  # four units
    driver.gateway.counter_breaker.call_share = 0.9  # overloaded: it is rejected without a call
    assert action_names(driver.request(units=1.0)) == ["Reject"]
    driver.gateway.counter_breaker.call_share = 1.0
    assert action_names(driver.request(units=1.0)) == ["CounterAdd"]  # as the units by themselves would fit
    assert "Reject" in action_names(driver.counter_reply(9.0))
    driver.counter_reply(8.0)
    driver.request(units=2.0, class_index=NOT_IDEMPOTENT)
    assert action_names(driver.counter_reply(10.0)) == ["StartAttempt"]
    driver.wait(SECOND // 2)  # one unit, but all keep two
    driver.gateway.counter_breaker.call_share = 0.9
    assert action_names(driver.request(units=2.0, class_index=NOT_IDEMPOTENT)) == ["Reject"]


def test_use_beyond_the_quota_is_not_carried_over() -> None:
    # It takes nothing from the quota: else the use would stay high while the tenant asks for all of it.
    driver = Driver()
    driver.request(class_index=NOT_IDEMPOTENT)
    driver.counter_reply(20.0)
    driver.wait(2 * SECOND)  # four units
    assert "CounterAdd" in action_names(driver.request(class_index=NOT_IDEMPOTENT))


def test_units_that_others_take_back_from_the_overage_free_nothing() -> None:
    driver = Driver()
    driver.request(class_index=NOT_IDEMPOTENT)
    driver.counter_reply(12.0)  # 11 by others, of which 3 were rejected
    driver.counter_reply(8.0)  # and are taken back, as is the one here
    assert action_names(driver.request(class_index=NOT_IDEMPOTENT)) == ["Reject"]


def test_rejected_units_of_one_window_are_not_taken_back_in_the_next() -> None:
    # The new counter never held it: others would take it for free units.
    driver = Driver()
    driver.request(units=2.0, class_index=NOT_IDEMPOTENT)
    driver.gateway.counter_breaker.call_share = 0.5  # it is taken back with the next call
    driver.counter_reply(10.0)
    driver.wait(8 * SECOND)  # as long as a window
    driver.gateway.counter_breaker.call_share = 1.0
    driver.request(class_index=NOT_IDEMPOTENT)
    assert driver.counter_calls[0].amount == 1.0


@pytest.mark.parametrize("owes", [True, False])
def test_margin_is_kept_for_units_that_other_gateways_have_not_reported(owes: bool) -> None:
    # The total can't hold what they have let through since their last call: as much as this one does.
    driver, totals = Driver(), CounterTotals()
    for _ in range(4):
        driver.gateway.counter_breaker.call_share = 1e-9 if owes else 1.0
        driver.request(entry_points=2, class_index=NOT_IDEMPOTENT)
        driver.gateway.counter_breaker.call_share = 1.0
        driver.request(entry_points=2, class_index=NOT_IDEMPOTENT)
        while driver.counter_calls:
            totals.add(structs.replace(driver.counter_calls[0], amount=2.0), driver.now)  # others
            driver.counter_reply(totals.add(driver.counter_calls[0], driver.now))
        driver.finish_all()
        driver.wait(4 * SECOND)
    driver.request(entry_points=2, class_index=NOT_IDEMPOTENT)
    totals.add(
        structs.replace(driver.counter_calls[0], amount=7.0), driver.now
    )  # in a window that has just begun
    end = action_names(driver.counter_reply(totals.add(driver.counter_calls[0], driver.now)))
    assert ("Reject" in end) is owes


def test_overloaded_counter_is_called_mostly_for_tenants_near_their_burst() -> None:
    calls = {0.0: 0, 6.0: 0}
    for units in calls:  # what each tenant has taken, of 8
        driver = Driver()
        for tenant in range(40):
            if units:
                driver.request(tenant=tenant, units=units)
                driver.counter_reply(units)
            driver.gateway.counter_breaker.call_share = 0.5
            before = len(driver.counter_calls)
            driver.request(tenant=tenant)
            calls[units] += len(driver.counter_calls) - before
            while driver.counter_calls:
                driver.counter_reply(units + 1.0)
            driver.finish_all()
    assert calls[6.0] == 40
    assert calls[0.0] < 10


def test_no_call_is_made_without_a_counter_however_requests_end() -> None:
    # Without a counter a call is a fault, as is taking an estimate back that was never made.
    for pooled in (3, 40):
        driver = Driver(
            replace(SETTINGS, counter=None, settles_units=True, fleet_size=pooled), endpoint_count=1
        )
        attempt = driver.admit()
        driver.update_endpoints(ready_endpoint(1, state=EndpointState.DRAINING))
        driver.outcome(attempt.request_id, Result.CONNECT_FAILED)
        driver.request()
        driver.update_endpoints(ready_endpoint(1))
        attempt = driver.admit(tenant=3)
        tracked = driver.requests[attempt.request_id]
        tracked.is_answered = True
        tracked.in_flight.clear()
        driver.handle(
            AttemptOutcome(attempt.request_id, 0, attempt.endpoint, Result.OK, 5 * MS, True, actual_units=3.0)
        )
        assert "CounterAdd" not in action_names(driver.actions)


def test_sampled_calls_stand_for_those_that_were_not_made() -> None:
    driver = Driver(LARGE_FLEET, endpoint_count=40)
    overload_counter(driver)
    added, admitted = 0.0, 0
    for tenant in range(2000, 2300):
        for action in driver.request(tenant=tenant):
            added += action.amount if isinstance(action, CounterAdd) else 0.0
            admitted += isinstance(action, StartAttempt)
        while driver.counter_calls:
            admitted += reply_to_oldest_call(driver, 1.0, 45 * MS).count("StartAttempt")
        driver.finish_all()
        driver.wait(200 * MS)
    assert 0.7 * admitted < added < 1.3 * admitted


def test_tenant_over_its_quota_is_not_admitted_past_an_overloaded_counter() -> None:
    driver = Driver(
        replace(LARGE_FLEET, plans=(replace(SETTINGS.plans[0], overage_cost=1.0),)), endpoint_count=40
    )
    overload_counter(driver)
    attempts = []
    for _ in range(80):
        driver.request()
        while driver.counter_calls:
            reply_to_oldest_call(driver, 40.0, 45 * MS)
        driver.finish_all()
        driver.wait(8 * SECOND)  # as long as a window
        attempts.append(action_names(driver.actions).count("StartAttempt"))
    assert attempts[79] - attempts[39] <= 2


def test_others_use_over_a_window_does_not_count_as_used_at_once() -> None:
    driver = Driver(replace(LARGE_FLEET, fleet_size=40), endpoint_count=60)
    driver.request(entry_points=30)
    assert reply_to_oldest_call(driver, 1.0) == ["StartAttempt"]
    driver.wait(6 * SECOND)  # others took eight of the twelve units that were refilled meanwhile
    driver.request(entry_points=30)
    assert reply_to_oldest_call(driver, 10.0) == ["StartAttempt"]


def test_gateways_that_see_little_of_a_tenant_keep_its_quota_together() -> None:
    """It asks for four times its rate of 2 units a second, through thirty gateways, for about two minutes."""
    served = asked = 0.0
    for seed in range(4):
        chance, now, totals = Random(seed), 0.0, CounterTotals()
        gateways = [
            Driver(replace(LARGE_FLEET, fleet_size=40, gateway_index=n), endpoint_count=60, seed=n)
            for n in range(30)
        ]
        for _ in range(500):
            now += chance.expovariate(4.0)
            driver = gateways[chance.randrange(30)]
            driver.now = START + int(now * SECOND)
            driver.request(units=2.0, entry_points=30)
            while driver.counter_calls:
                total = totals.add(driver.counter_calls[0], driver.now)
                served += 2.0 * action_names(driver.counter_reply(total)).count("StartAttempt")
            driver.finish_all()
        asked += 2.0 * now
    assert 0.9 * asked < served < 1.05 * asked


def test_add_is_taken_back_with_the_next_call_while_the_counter_is_overloaded() -> None:
    driver = Driver(LARGE_FLEET, endpoint_count=40)
    overload_counter(driver)
    refused = 0
    for tenant in range(2000, 2040):
        driver.request(tenant=tenant)
        while driver.counter_calls:
            actions = reply_to_oldest_call(driver, 50.0, 45 * MS)
            refused += actions.count("Reject")
            assert "CounterAdd" not in actions
        driver.finish_all()
        driver.wait(200 * MS)
    assert refused > 0
