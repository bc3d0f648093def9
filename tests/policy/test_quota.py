"""Admission by the quota of units: by totals on the shared counter, and by this gateway's estimate."""

from dataclasses import replace
from random import Random

import pytest
from msgspec import structs

from rushroad.policy.actions import CounterAdd, Reject, StartAttempt
from rushroad.policy.events import AttemptFinished, EndpointState, Result
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


def test_rejected_request_subtracts_its_units_from_the_total() -> None:
    driver = Driver(endpoint_count=2)
    for n in range(8):
        driver.request(tenant=n)  # all are waiting for their totals while units are left
    while driver.counter_calls:
        driver.counter_reply(1.0)
    rejected = action_names(driver.actions).count("Reject")
    amounts = [a.amount for a in driver.actions if isinstance(a, CounterAdd)]
    assert rejected > 0
    assert amounts.count(-1.0) == rejected


def test_units_are_added_before_the_request_is_forwarded() -> None:
    driver = Driver()
    assert action_names(driver.request(units=2.0)) == ["CounterAdd"]
    assert driver.counter_calls[0].amount == 2.0
    assert action_names(driver.counter_reply(2.0)) == ["StartAttempt"]


def test_request_over_the_quota_is_subtracted_and_rejected_with_retry_after() -> None:
    driver = Driver()
    driver.request(units=1.0)
    actions = driver.counter_reply(9.0)  # others used 8 of 8
    subtraction, rejection = actions
    assert isinstance(subtraction, CounterAdd)
    assert subtraction.amount == -1.0
    assert isinstance(rejection, Reject)
    assert 0 < rejection.retry_after <= 4 * SECOND  # the burst refills in burst / rate


def test_quota_refills_at_the_rate() -> None:
    driver = Driver()
    driver.request()
    assert "Reject" in action_names(driver.counter_reply(9.0))
    driver.wait(3 * SECOND)  # six units more
    driver.request()
    driver.counter_reply(8.0)  # the reply to the subtraction
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
    assert totals.created_count > 3


def test_overloaded_counter_leaves_the_decision_to_the_estimate() -> None:
    driver = Driver()
    driver.request(entry_point_count=2)
    assert action_names(driver.counter_reply(result=Result.OVERLOADED)) == ["StartAttempt"]


def test_only_the_local_share_is_admitted_while_the_counter_is_unavailable() -> None:
    driver = Driver()
    admitted = 0
    # 8 requests a second for 10 s; the quota is 8 + 2 a second, the local share half of it.
    for _ in range(80):
        driver.request(entry_point_count=2)
        while driver.counter_calls:
            driver.counter_reply(result=Result.CONNECT_FAILED)
        driver.wait(125 * MS)
        driver.finish_all()
    admitted = action_names(driver.actions).count("StartAttempt")
    assert 8 <= admitted <= 16


def test_restarted_counter_does_not_grant_the_burst_again() -> None:
    driver = Driver()
    for total in range(1, 8):
        driver.request()
        assert action_names(driver.counter_reply(float(total))) == ["StartAttempt"]
        driver.finish_all()
    admitted = []
    for total in range(1, 4):  # the counter has lost its totals; the gateway keeps its state
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


def test_local_share_of_the_quota_applies_without_a_counter() -> None:
    driver = Driver(replace(SETTINGS, counter=None))
    for _ in range(20):
        driver.request(entry_point_count=4)
        driver.finish_all()
    assert action_names(driver.actions).count("StartAttempt") == 2


def test_single_lost_reply_does_not_limit_a_tenant_to_the_local_share() -> None:
    driver = Driver()
    for _ in range(2):
        driver.request(entry_point_count=8)
        assert action_names(driver.counter_reply(result=Result.TIMEOUT)) == ["StartAttempt"]


def test_estimated_units_are_corrected_to_the_actual_ones() -> None:
    driver = Driver(replace(SETTINGS, uses_actual_units=True))
    attempt = driver.admit(units=2.0)
    tracked = driver.requests[attempt.request_id]
    tracked.in_flight.clear()
    tracked.is_answered = True
    event = AttemptFinished(
        attempt.request_id, 0, attempt.endpoint, Result.OK, 50 * MS, True, actual_units=3.0
    )
    assert driver.handle(event) == []  # no call per response, which would overload the counter
    (call,) = driver.request(units=2.0)
    assert isinstance(call, CounterAdd)
    assert call.amount == 3.0  # its own units, and one that the first used beyond its estimate


def test_units_admitted_without_a_call_are_added_with_the_next_one() -> None:
    driver = Driver()
    added, admitted, max_amount = 0.0, 0, 0.0
    for fraction in (0.3, 0.3, 0.3, 0.3, 0.3, 1.0):  # the counter is overloaded, then not
        driver.gateway.counter_breaker.call_fraction = fraction
        actions = driver.request()
        if driver.counter_calls:
            added += driver.counter_calls[0].amount
            max_amount = max(max_amount, driver.counter_calls[0].amount)
            actions = driver.counter_reply(added)
            assert added == admitted + 1
        admitted += action_names(actions).count("StartAttempt")
        driver.finish_all()
    assert (admitted, added) == (6, 6.0)
    assert max_amount > 1.0  # some requests were admitted without a call


def test_add_without_a_reply_is_not_counted_as_others_use() -> None:
    driver = Driver()
    attempts = []
    for total in (2.0, 4.0, 6.0, 8.0):
        for result in (Result.RESET, Result.OK):
            driver.gateway.counter_breaker.call_fraction = 1.0  # every request calls the counter
            driver.request()
            attempts += action_names(driver.counter_reply(total, result))
            driver.finish_all()
    assert attempts == ["StartAttempt"] * 8  # the whole burst


def test_amount_of_a_rejected_call_is_added_with_the_next_one() -> None:
    driver = Driver()
    driver.request(units=2.0)
    assert action_names(driver.counter_reply(result=Result.OVERLOADED)) == ["StartAttempt"]
    driver.gateway.counter_breaker.call_fraction = 1.0  # every request calls the counter
    driver.request(units=1.0)
    assert driver.counter_calls[0].amount == 3.0


def test_add_missing_from_the_next_total_is_reported_again() -> None:
    # A connection may break before the counter receives its calls: their units must still be counted.
    driver = Driver()
    driver.request(units=2.0)
    assert action_names(driver.counter_reply(result=Result.RESET)) == ["StartAttempt"]
    for total, amount in ((1.0, 1.0), (4.0, 3.0)):
        driver.gateway.counter_breaker.call_fraction = 1.0  # every request calls the counter
        driver.request()
        assert driver.counter_calls[0].amount == amount
        driver.counter_reply(total)
        driver.finish_all()


def test_uncounted_admission_is_estimated_for_others_by_earlier_totals() -> None:
    # Two gateways that each admit a burst between two totals admit two bursts of the tenant.
    admitted = []
    for others in (0.0, 1.0):
        driver, totals = Driver(), CounterTotals()
        for _ in range(12):  # this gateway uses half of the quota, others nothing or the same
            driver.request(entry_point_count=2)
            totals.add(structs.replace(driver.counter_calls[0], amount=others), driver.now)
            driver.counter_reply(totals.add(driver.counter_calls[0], driver.now))
            driver.finish_all()
            driver.wait(1 * SECOND)
        driver.wait(8 * SECOND)
        driver.gateway.counter_breaker.call_fraction = 1e-9  # practically no calls
        admitted_before = action_names(driver.actions).count("StartAttempt")
        for _ in range(12):
            driver.request(entry_point_count=2)
            driver.finish_all()
        admitted.append(action_names(driver.actions).count("StartAttempt") - admitted_before)
    assert admitted[0] > admitted[1]
    assert 3 <= admitted[1] <= 5  # half of the burst of 8
    assert admitted[0] <= 8


def test_total_replaces_the_estimate_of_others_use() -> None:
    driver = Driver()
    driver.gateway.counter_breaker.call_fraction = 1e-9  # practically no calls
    assert action_names(driver.request(entry_point_count=4)) == ["StartAttempt"]  # estimated as 4 units used
    driver.gateway.counter_breaker.call_fraction = 1.0
    for units, total in ((4.0, 5.0), (2.0, 7.0)):  # others used nothing
        driver.request(units=units, entry_point_count=4)
        assert action_names(driver.counter_reply(total)) == ["StartAttempt"]


def test_rejection_at_an_overloaded_counter_ends_when_the_units_fit_again() -> None:
    # Rejecting for the rest of a window would exclude tenants whose burst is half refilled by then.
    driver = Driver()
    driver.request(class_index=NOT_IDEMPOTENT)
    driver.counter_reply(8.0)
    driver.gateway.counter_breaker.call_fraction = 0.5
    # Rejected without a call, as nothing has been refilled yet.
    assert action_names(driver.request(class_index=NOT_IDEMPOTENT)) == ["Reject"]
    driver.wait(2 * SECOND)  # four units
    assert action_names(driver.request(class_index=NOT_IDEMPOTENT)) == ["CounterAdd"]


def test_quota_near_its_limit_is_reserved_for_the_class_of_higher_weight() -> None:
    # Its requests use more units each, and would never fit beside many small requests.
    driver = Driver()
    driver.request(units=4.0, class_index=NOT_IDEMPOTENT)
    driver.counter_reply(12.0)  # others used 8 of 8
    driver.counter_reply(8.0)  # the reply to the subtraction
    driver.wait(2 * SECOND)  # four units
    driver.gateway.counter_breaker.call_fraction = 0.9  # overloaded: the request is rejected without a call
    assert action_names(driver.request(units=1.0)) == ["Reject"]
    driver.gateway.counter_breaker.call_fraction = 1.0
    assert action_names(driver.request(units=1.0)) == ["CounterAdd"]  # the units would fit without a reserve
    assert "Reject" in action_names(driver.counter_reply(9.0))
    driver.counter_reply(8.0)
    driver.request(units=2.0, class_index=NOT_IDEMPOTENT)
    assert action_names(driver.counter_reply(10.0)) == ["StartAttempt"]
    driver.wait(SECOND // 2)  # one unit refilled, but every class keeps a reserve of two
    driver.gateway.counter_breaker.call_fraction = 0.9
    assert action_names(driver.request(units=2.0, class_index=NOT_IDEMPOTENT)) == ["Reject"]


def test_use_beyond_the_quota_is_not_carried_over() -> None:
    # Otherwise the use would stay too high while the tenant requests all that is refilled.
    driver = Driver()
    driver.request(class_index=NOT_IDEMPOTENT)
    driver.counter_reply(20.0)
    driver.wait(2 * SECOND)  # four units
    assert "CounterAdd" in action_names(driver.request(class_index=NOT_IDEMPOTENT))


def test_units_that_others_subtract_from_the_overage_free_nothing() -> None:
    driver = Driver()
    driver.request(class_index=NOT_IDEMPOTENT)
    driver.counter_reply(12.0)  # 11 by others, of which 3 were rejected
    driver.counter_reply(8.0)  # and are subtracted, as is the one here
    assert action_names(driver.request(class_index=NOT_IDEMPOTENT)) == ["Reject"]


def test_rejected_units_of_one_window_are_not_subtracted_in_the_next() -> None:
    # The new total never included them: to others, units would seem to be free.
    driver = Driver()
    driver.request(units=2.0, class_index=NOT_IDEMPOTENT)
    driver.gateway.counter_breaker.call_fraction = 0.5  # the units are subtracted with the next call
    driver.counter_reply(10.0)
    driver.wait(8 * SECOND)  # the length of a window
    driver.gateway.counter_breaker.call_fraction = 1.0
    driver.request(class_index=NOT_IDEMPOTENT)
    assert driver.counter_calls[0].amount == 1.0


@pytest.mark.parametrize("has_unreported", [True, False])
def test_margin_is_kept_for_units_that_other_gateways_have_not_reported(has_unreported: bool) -> None:
    # No total includes what they have admitted since their last call, assumed to be as much as here.
    driver, totals = Driver(), CounterTotals()
    for _ in range(4):
        driver.gateway.counter_breaker.call_fraction = 1e-9 if has_unreported else 1.0
        driver.request(entry_point_count=2, class_index=NOT_IDEMPOTENT)
        driver.gateway.counter_breaker.call_fraction = 1.0
        driver.request(entry_point_count=2, class_index=NOT_IDEMPOTENT)
        while driver.counter_calls:
            totals.add(structs.replace(driver.counter_calls[0], amount=2.0), driver.now)  # by others
            driver.counter_reply(totals.add(driver.counter_calls[0], driver.now))
        driver.finish_all()
        driver.wait(4 * SECOND)
    driver.request(entry_point_count=2, class_index=NOT_IDEMPOTENT)
    # Others add 7 units in a window that has just begun.
    totals.add(structs.replace(driver.counter_calls[0], amount=7.0), driver.now)
    actions = action_names(driver.counter_reply(totals.add(driver.counter_calls[0], driver.now)))
    assert ("Reject" in actions) is has_unreported


def test_overloaded_counter_is_called_mostly_for_tenants_near_their_burst() -> None:
    calls = {0.0: 0, 6.0: 0}
    for units in calls:  # used by each tenant, of 8
        driver = Driver()
        for tenant in range(40):
            if units:
                driver.request(tenant=tenant, units=units)
                driver.counter_reply(units)
            driver.gateway.counter_breaker.call_fraction = 0.5
            calls_before = len(driver.counter_calls)
            driver.request(tenant=tenant)
            calls[units] += len(driver.counter_calls) - calls_before
            while driver.counter_calls:
                driver.counter_reply(units + 1.0)
            driver.finish_all()
    assert calls[6.0] == 40
    assert calls[0.0] < 10


def test_no_call_is_made_without_a_counter_however_requests_end() -> None:
    # Without a counter no call may be made, nor may units be subtracted that were never added.
    for fleet_size in (3, 40):
        driver = Driver(
            replace(SETTINGS, counter=None, uses_actual_units=True, fleet_size=fleet_size), endpoint_count=1
        )
        attempt = driver.admit()
        driver.update_endpoints(ready_endpoint(1, state=EndpointState.DRAINING))
        driver.finish_attempt(attempt.request_id, Result.CONNECT_FAILED)
        driver.request()
        driver.update_endpoints(ready_endpoint(1))
        attempt = driver.admit(tenant=3)
        tracked = driver.requests[attempt.request_id]
        tracked.is_answered = True
        tracked.in_flight.clear()
        driver.handle(
            AttemptFinished(
                attempt.request_id, 0, attempt.endpoint, Result.OK, 5 * MS, True, actual_units=3.0
            )
        )
        assert "CounterAdd" not in action_names(driver.actions)


def test_sampled_calls_also_count_requests_without_a_call() -> None:
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


def test_tenant_over_its_quota_is_not_admitted_by_estimate_while_the_counter_is_overloaded() -> None:
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
        driver.wait(8 * SECOND)  # the length of a window
        attempts.append(action_names(driver.actions).count("StartAttempt"))
    assert attempts[79] - attempts[39] <= 2


def test_others_use_over_a_window_is_not_counted_as_used_at_once() -> None:
    driver = Driver(replace(LARGE_FLEET, fleet_size=40), endpoint_count=60)
    driver.request(entry_point_count=30)
    assert reply_to_oldest_call(driver, 1.0) == ["StartAttempt"]
    driver.wait(6 * SECOND)  # others use eight of the twelve units that are refilled meanwhile
    driver.request(entry_point_count=30)
    assert reply_to_oldest_call(driver, 10.0) == ["StartAttempt"]


def test_gateways_that_see_little_of_a_tenant_keep_its_quota_together() -> None:
    """The tenant requests four times its rate of 2 units a second through 30 gateways for two minutes."""
    admitted = refilled = 0.0
    for seed in range(4):
        random, elapsed_s, totals = Random(seed), 0.0, CounterTotals()
        gateways = [
            Driver(replace(LARGE_FLEET, fleet_size=40, gateway_index=n), endpoint_count=60, seed=n)
            for n in range(30)
        ]
        for _ in range(500):
            elapsed_s += random.expovariate(4.0)
            driver = gateways[random.randrange(30)]
            driver.now = START + int(elapsed_s * SECOND)
            driver.request(units=2.0, entry_point_count=30)
            while driver.counter_calls:
                total = totals.add(driver.counter_calls[0], driver.now)
                admitted += 2.0 * action_names(driver.counter_reply(total)).count("StartAttempt")
            driver.finish_all()
        refilled += 2.0 * elapsed_s
    assert 0.9 * refilled < admitted < 1.05 * refilled


def test_rejected_units_are_subtracted_with_the_next_call_while_the_counter_is_overloaded() -> None:
    driver = Driver(LARGE_FLEET, endpoint_count=40)
    overload_counter(driver)
    rejected = 0
    for tenant in range(2000, 2040):
        driver.request(tenant=tenant)
        while driver.counter_calls:
            actions = reply_to_oldest_call(driver, 50.0, 45 * MS)
            rejected += actions.count("Reject")
            assert "CounterAdd" not in actions
        driver.finish_all()
        driver.wait(200 * MS)
    assert rejected > 0
