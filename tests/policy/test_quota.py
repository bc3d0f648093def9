"""Metering: the ordinary path of the design, and what happens when the counter fails."""

from dataclasses import replace

import pytest
from msgspec import structs

from rushroad.policy.actions import CounterAdd, Reject
from rushroad.policy.events import AttemptOutcome, EndpointState, Result, UpdateKind
from rushroad.policy.settings import CounterSettings, Plan
from tests.support.gateway_driver import (
    CEILING,
    IDEMPOTENT,
    MS,
    NOT_IDEMPOTENT,
    SECOND,
    SETTINGS,
    Driver,
    Totals,
    kinds,
    line,
)


def test_units_are_added_before_the_request_goes_on() -> None:
    driver = Driver()
    assert kinds(driver.request(units=2.0)) == ["CounterAdd"]
    assert driver.calls[0].amount == 2.0
    assert kinds(driver.counted(2.0)) == ["StartAttempt"]


def test_over_the_allowance_units_are_added_back_and_refused_with_retry_after() -> None:
    driver = Driver()
    driver.request(units=1.0)
    actions = driver.counted(9.0)  # others took 8 of 8
    back, refusal = actions
    assert isinstance(back, CounterAdd)
    assert back.amount == -1.0
    assert isinstance(refusal, Reject)
    assert 0 < refusal.retry_after <= 4 * SECOND  # the window is burst / rate


def test_the_allowance_grows_with_the_rate() -> None:
    driver = Driver()
    driver.request()
    assert "Reject" in kinds(driver.counted(9.0))
    driver.wait(3 * SECOND)  # six units more
    driver.request()
    driver.counted(8.0)  # the answer to the add-back
    assert kinds(driver.counted(9.0)) == ["StartAttempt"]


def test_a_tenant_known_to_have_no_room_is_refused_without_a_call() -> None:
    driver = Driver()
    driver.request()
    driver.counted(20.0)
    assert kinds(driver.request()) == ["Reject"]


def test_debt_is_carried_over_the_edge_of_a_window() -> None:
    driver, totals = Driver(), Totals()
    passed = 0
    for step in range(320):  # four times the quota for 40 s, over several windows
        driver.request()
        while driver.calls:
            passed_before = kinds(driver.actions).count("StartAttempt")
            driver.counted(totals.add(driver.calls[0], driver.now))
            passed += kinds(driver.actions).count("StartAttempt") - passed_before
        driver.wait(125 * MS)
        driver.finish()
        assert passed <= 8 + 2 * (step + 1) * 0.125 + 1
    assert totals.begun > 3


def test_a_refusing_counter_leaves_the_local_share_to_decide() -> None:
    driver = Driver()
    driver.request(entry_points=2)
    assert kinds(driver.counted(result=Result.OVERLOADED)) == ["StartAttempt"]


def test_while_the_counter_is_away_only_the_share_passes() -> None:
    driver = Driver()
    passed = 0
    for _ in range(80):  # 8 requests a second for 10 s; the quota is 8 + 2 a second, the share half of it
        driver.request(entry_points=2)
        while driver.calls:
            driver.counted(result=Result.CONNECT_FAILED)
        driver.wait(125 * MS)
        driver.finish()
    passed = kinds(driver.actions).count("StartAttempt")
    assert 8 <= passed <= 16


def test_a_silent_counter_is_tried_only_now_and_then_and_taken_up_again() -> None:
    driver = Driver()
    for tenant in range(40):
        driver.request(tenant=tenant)
        while driver.calls:
            driver.counted(result=Result.TIMEOUT)
        driver.wait(10 * MS)
        driver.finish()
    calls = [a for a in driver.actions if isinstance(a, CounterAdd)]
    assert len(calls) < 10
    driver.wait(1 * SECOND)
    driver.request(tenant=100)
    driver.counted(1.0)
    assert kinds(driver.request(tenant=101)) == ["CounterAdd"]


def test_a_flushed_count_does_not_hand_out_the_burst_again() -> None:
    driver = Driver()
    for total in range(1, 8):
        driver.request()
        assert kinds(driver.counted(float(total))) == ["StartAttempt"]
        driver.finish()
    passed = []
    for total in range(1, 4):  # the count began anew, the memory stays
        driver.request()
        while driver.calls:
            passed += kinds(driver.counted(float(total)))
    assert passed.count("StartAttempt") == 1


def test_a_request_with_no_time_left_is_refused_at_once() -> None:
    driver = Driver()
    assert kinds(driver.request(time_left=0)) == ["Reject"]


def test_a_slow_counter_is_not_waited_for_past_the_clients_patience() -> None:
    driver = Driver()
    driver.request(time_left=40 * MS)
    driver.wait(40 * MS)
    assert kinds(driver.actions)[-1] in ("StartAttempt", "Fail", "Reject")
    driver.wait(20 * MS)


def test_the_ceiling_holds_when_the_counter_says_yes() -> None:
    driver = Driver()
    driver.wait(10 * SECOND)
    for _ in range(40):  # 20 units is this gateway's third of the ceiling
        driver.request(plan=CEILING, entry_points=3)
        if driver.calls:
            driver.counted(1.0)  # the driver raises RuleBroken where too much passes
        driver.finish()
    assert kinds(driver.actions).count("StartAttempt") <= 20


def test_the_ceilings_share_is_empty_after_a_restart() -> None:
    driver = Driver()
    driver.request(plan=CEILING, entry_points=3, cls=NOT_IDEMPOTENT)
    assert kinds(driver.actions)[-1] == "Reject"


def test_without_a_counter_the_even_share_decides() -> None:
    driver = Driver(replace(SETTINGS, counter=None))
    for _ in range(20):
        driver.request(entry_points=4)
        driver.finish()
    assert kinds(driver.actions).count("StartAttempt") == 2


def test_one_off_tenants_leave_no_state_behind() -> None:
    driver = Driver()
    for tenant in range(3_000):
        driver.request(tenant=tenant, time_left=0)
        driver.wait(50 * MS)
    assert len(driver.gateway.tenants) < 1_000


def test_one_lost_answer_does_not_cut_a_tenant_to_the_even_share() -> None:
    driver = Driver()
    for _ in range(2):
        driver.request(entry_points=8)
        assert kinds(driver.counted(result=Result.TIMEOUT)) == ["StartAttempt"]


def test_guessed_units_are_settled_with_the_true_ones() -> None:
    driver = Driver(replace(SETTINGS, settles_units=True))
    send = driver.admitted(units=2.0)
    life = driver.lives[send.request_id]
    life.live.clear()
    life.over = True
    event = AttemptOutcome(send.request_id, 0, send.endpoint, Result.OK, 50 * MS, True, actual_units=3.0)
    assert driver.feed(event) == []  # a call for each answer would crowd the counter
    (count,) = driver.request(units=2.0)
    assert isinstance(count, CounterAdd)
    assert count.amount == 3.0  # what it takes itself, and one that the first took beyond its guess


def test_the_timer_for_a_total_that_came_calls_no_attempt_off() -> None:
    # Where a tenth of the aim is shorter than the counter's time limit, a request sets a timer for its total.
    # It rings when an attempt has just begun, and would end each one that is not answered by then.
    driver = Driver(settings=replace(SETTINGS, counter=CounterSettings(timeout=400 * MS)))
    for cls in (IDEMPOTENT, NOT_IDEMPOTENT):
        driver.admitted(cls=cls)
        assert "CancelAttempt" not in kinds(driver.wait(300 * MS))
        driver.finish()


def test_calls_that_fail_together_do_not_mean_that_the_counter_is_away() -> None:
    # Calls in one late queue or on one broken connection fail at once. While it is taken to be away, a
    # request costs as much as all gateways that share the tenant, and most are refused with room.
    driver = Driver()
    driver.request(entry_points=4)
    assert kinds(driver.counted(1.0)) == ["StartAttempt"]
    for tenant in range(1, 6):
        driver.request(tenant=tenant)
    for result in (Result.TIMEOUT, Result.TIMEOUT, Result.RESET, Result.RESET, Result.OVERLOADED):
        driver.counted(result=result)
    driver.finish()
    driver.gateway.counter_breaker.call_share = 1.0  # which of the requests call is not the matter here
    assert kinds(driver.request(units=2.0, entry_points=4)) == ["CounterAdd"]
    assert kinds(driver.counted(result=Result.TIMEOUT)) == ["StartAttempt"]


def test_what_passes_without_a_call_is_added_with_the_next_one() -> None:
    driver = Driver()
    added, passed, largest = 0.0, 0, 0.0
    for share in (0.3, 0.3, 0.3, 0.3, 0.3, 1.0):  # the counter is crowded, then not
        driver.gateway.counter_breaker.call_share = share
        actions = driver.request()
        if driver.calls:
            added += driver.calls[0].amount
            largest = max(largest, driver.calls[0].amount)
            actions = driver.counted(added)
            assert added == passed + 1
        passed += kinds(actions).count("StartAttempt")
        driver.finish()
    assert (passed, added) == (6, 6.0)
    assert largest > 1.0  # some did pass without one


def test_an_add_whose_answer_was_lost_is_not_taken_for_the_use_of_others() -> None:
    driver = Driver()
    sends = []
    for total in (2.0, 4.0, 6.0, 8.0):
        for result in (Result.RESET, Result.OK):
            driver.gateway.counter_breaker.call_share = (
                1.0  # which of the requests call is not the matter here
            )
            driver.request()
            sends += kinds(driver.counted(total, result))
            driver.finish()
    assert sends == ["StartAttempt"] * 8  # the whole burst


def test_what_was_turned_away_is_added_with_the_next_call() -> None:
    driver = Driver()
    driver.request(units=2.0)
    assert kinds(driver.counted(result=Result.OVERLOADED)) == ["StartAttempt"]
    driver.gateway.counter_breaker.call_share = 1.0  # which of the requests call is not the matter here
    driver.request(units=1.0)
    assert driver.calls[0].amount == 3.0


def test_an_add_that_the_next_total_does_not_hold_is_owed() -> None:
    # A connection may break before its calls are taken: they must not be lost from the count.
    driver = Driver()
    driver.request(units=2.0)
    assert kinds(driver.counted(result=Result.RESET)) == ["StartAttempt"]
    for total, amount in ((1.0, 1.0), (4.0, 3.0)):
        driver.gateway.counter_breaker.call_share = 1.0  # which of the requests call is not the matter here
        driver.request()
        assert driver.calls[0].amount == amount
        driver.counted(total)
        driver.finish()


def test_what_passes_uncounted_stands_for_others_as_much_as_totals_told() -> None:
    # Two gateways that each let a burst through between two totals are two bursts for the tenant.
    passed = []
    for others in (0.0, 1.0):
        driver, totals = Driver(), Totals()
        for _ in range(12):  # this gateway takes half of the quota, others nothing or the same
            driver.request(entry_points=2)
            totals.add(structs.replace(driver.calls[0], amount=others), driver.now)
            driver.counted(totals.add(driver.calls[0], driver.now))
            driver.finish()
            driver.wait(1 * SECOND)
        driver.wait(8 * SECOND)
        driver.gateway.counter_breaker.call_share = 1e-9  # next to no call
        before = kinds(driver.actions).count("StartAttempt")
        for _ in range(12):
            driver.request(entry_points=2)
            driver.finish()
        passed.append(kinds(driver.actions).count("StartAttempt") - before)
    assert passed[0] > passed[1]
    assert 3 <= passed[1] <= 5  # half of the burst of 8
    assert passed[0] <= 8


def test_a_total_takes_the_place_of_what_was_guessed_of_others() -> None:
    driver = Driver()
    driver.gateway.counter_breaker.call_share = 1e-9
    assert kinds(driver.request(entry_points=4)) == ["StartAttempt"]  # stands for 4 units
    driver.gateway.counter_breaker.call_share = 1.0
    for units, total in ((4.0, 5.0), (2.0, 7.0)):  # others took nothing
        driver.request(units=units, entry_points=4)
        assert kinds(driver.counted(total)) == ["StartAttempt"]


def test_a_refusal_at_a_crowded_counter_ends_when_the_units_fit_again() -> None:
    # A refusal for the rest of a window held out tenants whose burst was half unused by then.
    driver = Driver()
    driver.request(cls=NOT_IDEMPOTENT)
    driver.counted(8.0)
    driver.gateway.counter_breaker.call_share = 0.5
    assert kinds(driver.request(cls=NOT_IDEMPOTENT)) == [
        "Reject"
    ]  # without a call: nothing has been refilled yet
    driver.wait(2 * SECOND)  # four units
    assert kinds(driver.request(cls=NOT_IDEMPOTENT)) == ["CounterAdd"]


def test_a_quota_at_its_edge_is_kept_for_the_dearer_class() -> None:
    # Those take more units each: while lookups pass one by one, they would never find room.
    driver = Driver()
    driver.request(units=4.0, cls=NOT_IDEMPOTENT)
    driver.counted(12.0)  # others took 8 of 8
    driver.counted(8.0)  # the answer to the add-back
    driver.wait(2 * SECOND)  # four units
    driver.gateway.counter_breaker.call_share = 0.9  # crowded: it is refused without a call
    assert kinds(driver.request(units=1.0)) == ["Reject"]
    driver.gateway.counter_breaker.call_share = 1.0
    assert kinds(driver.request(units=1.0)) == ["CounterAdd"]  # as the units by themselves would fit
    assert "Reject" in kinds(driver.counted(9.0))
    driver.counted(8.0)
    driver.request(units=2.0, cls=NOT_IDEMPOTENT)
    assert kinds(driver.counted(10.0)) == ["StartAttempt"]
    driver.wait(SECOND // 2)  # one unit, but all keep two
    driver.gateway.counter_breaker.call_share = 0.9
    assert kinds(driver.request(units=2.0, cls=NOT_IDEMPOTENT)) == ["Reject"]


def test_what_is_beyond_a_quota_is_no_debt() -> None:
    # It takes nothing from the quota: a debt for it would last as long as the tenant asks for all of it.
    driver = Driver()
    driver.request(cls=NOT_IDEMPOTENT)
    driver.counted(20.0)
    driver.wait(2 * SECOND)  # four units
    assert "CounterAdd" in kinds(driver.request(cls=NOT_IDEMPOTENT))


def test_what_others_take_back_of_what_found_no_room_frees_nothing() -> None:
    driver = Driver()
    driver.request(cls=NOT_IDEMPOTENT)
    driver.counted(12.0)  # 11 by others, of which 3 were refused
    driver.counted(8.0)  # and are taken back, as is the one here
    assert kinds(driver.request(cls=NOT_IDEMPOTENT)) == ["Reject"]


def test_what_was_refused_in_a_window_is_not_taken_back_in_the_next() -> None:
    # The new count never held it: others would take it for room.
    driver = Driver()
    driver.request(units=2.0, cls=NOT_IDEMPOTENT)
    driver.gateway.counter_breaker.call_share = 0.5  # it is taken back with the next call
    driver.counted(10.0)
    driver.wait(8 * SECOND)  # as long as a window
    driver.gateway.counter_breaker.call_share = 1.0
    driver.request(cls=NOT_IDEMPOTENT)
    assert driver.calls[0].amount == 1.0


@pytest.mark.parametrize("owes", [True, False])
def test_room_is_kept_for_what_other_gateways_owe(owes: bool) -> None:
    # The total can't hold what they have let through since their last call: as much as this one does.
    driver, totals = Driver(), Totals()
    for _ in range(4):
        driver.gateway.counter_breaker.call_share = 1e-9 if owes else 1.0
        driver.request(entry_points=2, cls=NOT_IDEMPOTENT)
        driver.gateway.counter_breaker.call_share = 1.0
        driver.request(entry_points=2, cls=NOT_IDEMPOTENT)
        while driver.calls:
            totals.add(structs.replace(driver.calls[0], amount=2.0), driver.now)  # others
            driver.counted(totals.add(driver.calls[0], driver.now))
        driver.finish()
        driver.wait(4 * SECOND)
    driver.request(entry_points=2, cls=NOT_IDEMPOTENT)
    totals.add(structs.replace(driver.calls[0], amount=7.0), driver.now)  # in a window that has just begun
    end = kinds(driver.counted(totals.add(driver.calls[0], driver.now)))
    assert ("Reject" in end) is owes


def test_a_crowded_counter_is_called_for_those_that_are_near_their_burst() -> None:
    calls = {0.0: 0, 6.0: 0}
    for units in calls:  # what each tenant has taken, of 8
        driver = Driver()
        for tenant in range(40):
            if units:
                driver.request(tenant=tenant, units=units)
                driver.counted(units)
            driver.gateway.counter_breaker.call_share = 0.5
            before = len(driver.calls)
            driver.request(tenant=tenant)
            calls[units] += len(driver.calls) - before
            while driver.calls:
                driver.counted(units + 1.0)
            driver.finish()
    assert calls[6.0] == 40
    assert calls[0.0] < 10


def test_a_broken_connection_does_not_mean_that_the_counter_is_crowded() -> None:
    # Fewer calls would let requests pass uncounted, and tenants beyond their quotas.
    driver = Driver()
    for tenant in range(8):
        assert kinds(driver.request(tenant=tenant)) == ["CounterAdd"]
        driver.counted(result=Result.RESET if tenant % 2 else Result.OK)
        driver.finish()


def test_late_and_refused_calls_mean_that_it_is_crowded() -> None:
    for result in (Result.TIMEOUT, Result.OVERLOADED):
        driver = Driver()
        for tenant in range(40):
            driver.request(tenant=tenant)
            while driver.calls:
                driver.counted(result=Result.OK if tenant % 4 else result)
            driver.wait(10 * MS)
            driver.finish()
        assert len([a for a in driver.actions if isinstance(a, CounterAdd)]) < 36


def test_without_a_counter_nothing_is_counted_whatever_becomes_of_a_request() -> None:
    # Where the settings have none a count is a fault; the guess of one that was not sent would be taken back.
    for pooled in (3, 40):
        driver = Driver(replace(SETTINGS, counter=None, settles_units=True, fleet_size=pooled), servers=1)
        send = driver.admitted()
        driver.members(line(1, state=EndpointState.DRAINING))
        driver.outcome(send.request_id, Result.CONNECT_FAILED)
        driver.request()
        driver.members(line(1))
        send = driver.admitted(tenant=3)
        life = driver.lives[send.request_id]
        life.over = True
        life.live.clear()
        driver.feed(
            AttemptOutcome(send.request_id, 0, send.endpoint, Result.OK, 5 * MS, True, actual_units=3.0)
        )
        assert "CounterAdd" not in kinds(driver.actions)


def test_an_empty_list_at_the_start_does_not_make_a_fleet_a_large_one() -> None:
    driver = Driver(replace(SETTINGS, fleet_size=6), servers=0)
    driver.members(kind=UpdateKind.CACHED_SNAPSHOT)
    driver.members(*(line(number) for number in range(1, 9)), kind=UpdateKind.SNAPSHOT)
    assert driver.gateway.limiter.pooled is None


CAPPED = replace(SETTINGS, plans=(Plan(concurrency=2),))  # open requests only, over all gateways


def counts(driver: Driver) -> list[tuple[int, float]]:
    return [(a.name, a.amount) for a in driver.actions if isinstance(a, CounterAdd)]


def test_an_open_request_takes_a_place_that_all_gateways_count_and_gives_it_back() -> None:
    # Shares of a cap, rounded up at each gateway, let pass as many as there are gateways.
    driver = Driver(CAPPED)
    assert kinds(driver.request(entry_points=8)) == ["CounterAdd"]
    assert kinds(driver.counted(1.0)) == ["StartAttempt"]
    assert kinds(driver.request(entry_points=8)) == ["CounterAdd"]
    assert kinds(driver.counted(2.0)) == ["StartAttempt"]  # a fixed share of one would have refused it
    driver.outcome(1)
    assert [amount for _, amount in counts(driver)] == [1.0, 1.0, -1.0]
    assert len({name for name, _ in counts(driver)}) == 1


def test_a_request_without_a_place_is_refused_and_takes_none() -> None:
    driver = Driver(CAPPED)
    driver.request()
    assert kinds(driver.counted(3.0)) == ["CounterAdd", "Reject"]
    assert [amount for _, amount in counts(driver)] == [1.0, -1.0]
    assert kinds(driver.request()) == ["Reject"]  # known to be full, for a moment
    driver.wait(SECOND)
    assert kinds(driver.request()) == ["CounterAdd"]


def test_a_client_that_leaves_gives_its_place_back_when_the_attempt_has_ended() -> None:
    driver = Driver(CAPPED)
    driver.request()
    driver.expire(1)
    assert kinds(driver.counted(1.0)) == ["CounterAdd"]  # while it waited: given back, and nothing is sent
    driver.counted(0.0)
    driver.request()
    driver.counted(1.0)
    assert driver.expire(2) == []
    assert kinds(driver.outcome(2)) == ["CounterAdd"]
    assert sum(amount for _, amount in counts(driver)) == 0.0


def test_each_end_of_a_request_gives_its_place_back_once() -> None:
    for result in (Result.OK, Result.ERROR, Result.OVERLOADED, Result.RESET, Result.TIMEOUT):
        driver = Driver(CAPPED)
        driver.request(cls=NOT_IDEMPOTENT)
        driver.counted(1.0)
        while driver.lives[1].live:
            driver.outcome(1, result)
        assert driver.lives[1].over
        assert [amount for _, amount in counts(driver)] == [1.0, -1.0], result


@pytest.mark.parametrize(("result", "given_back"), [(Result.TIMEOUT, 2), (Result.OVERLOADED, 0)])
def test_without_its_count_a_gateway_keeps_to_its_share_of_the_cap(result: Result, given_back: int) -> None:
    # A call that timed out may have been added; one turned away never was.
    driver = Driver(CAPPED)
    driver.request(entry_points=2)
    driver.request(entry_points=2)
    assert kinds(driver.counted(result=result)) == ["StartAttempt"]
    assert kinds(driver.counted(result=result))[-1] == "Reject"
    driver.finish()
    assert len([amount for _, amount in counts(driver) if amount < 0]) == given_back


def test_while_the_counter_is_away_a_gateway_keeps_to_its_share_of_the_cap() -> None:
    driver = Driver(CAPPED)
    driver.gateway.counter_breaker.failures = 9
    driver.gateway.counter_breaker.next_trial_at = driver.now + SECOND
    assert kinds(driver.request(entry_points=2)) == ["StartAttempt"]
    assert kinds(driver.request(entry_points=2)) == ["Reject"]
    driver.now += 2 * SECOND
    assert kinds(driver.request(entry_points=2)) == ["CounterAdd", "Reject"]  # a trial, which adds nothing
    assert driver.calls[-1].amount == 0.0
    driver.counted(5.0)
    assert kinds(driver.request(entry_points=2)) == ["CounterAdd"]
