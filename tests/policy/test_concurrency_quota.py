"""The limit on a tenant's open requests, by slots on the shared counter and by this gateway's share."""

from dataclasses import replace

import pytest

from rushroad.policy.actions import CounterAdd
from rushroad.policy.events import Result
from rushroad.policy.settings import Plan
from tests.support.gateway_driver import (
    NOT_IDEMPOTENT,
    SECOND,
    SETTINGS,
    Driver,
    action_names,
)

CONCURRENCY_LIMITED = replace(SETTINGS, plans=(Plan(concurrency=2),))  # without a rate


def counter_amounts(driver: Driver) -> list[tuple[int, float]]:
    return [(a.total_name, a.amount) for a in driver.actions if isinstance(a, CounterAdd)]


def test_open_request_holds_a_slot_on_the_counter_and_returns_it() -> None:
    # Fixed shares of the limit of 2, rounded up, would admit one request at each of 8 gateways.
    driver = Driver(CONCURRENCY_LIMITED)
    assert action_names(driver.request(entry_point_count=8)) == ["CounterAdd"]
    assert action_names(driver.counter_reply(1.0)) == ["StartAttempt"]
    assert action_names(driver.request(entry_point_count=8)) == ["CounterAdd"]
    # A fixed share of one slot would have rejected it.
    assert action_names(driver.counter_reply(2.0)) == ["StartAttempt"]
    driver.finish_attempt(1)
    assert [amount for _, amount in counter_amounts(driver)] == [1.0, 1.0, -1.0]
    assert len({total_name for total_name, _ in counter_amounts(driver)}) == 1


def test_request_without_a_free_slot_is_rejected_and_holds_none() -> None:
    driver = Driver(CONCURRENCY_LIMITED)
    driver.request()
    assert action_names(driver.counter_reply(3.0)) == ["CounterAdd", "Reject"]
    assert [amount for _, amount in counter_amounts(driver)] == [1.0, -1.0]
    assert action_names(driver.request()) == ["Reject"]  # without a call: by the last total no slot is free
    driver.wait(SECOND)
    assert action_names(driver.request()) == ["CounterAdd"]


def test_slot_of_a_disconnected_client_is_returned_when_its_attempt_finishes() -> None:
    driver = Driver(CONCURRENCY_LIMITED)
    driver.request()
    driver.disconnect(1)
    # The slot is returned, and nothing is forwarded.
    assert action_names(driver.counter_reply(1.0)) == ["CounterAdd"]
    driver.counter_reply(0.0)
    driver.request()
    driver.counter_reply(1.0)
    assert driver.disconnect(2) == []
    assert action_names(driver.finish_attempt(2)) == ["CounterAdd"]
    assert sum(amount for _, amount in counter_amounts(driver)) == 0.0


def test_every_end_of_a_request_returns_its_slot_once() -> None:
    for result in (Result.OK, Result.ERROR, Result.OVERLOADED, Result.RESET, Result.TIMEOUT):
        driver = Driver(CONCURRENCY_LIMITED)
        driver.request(class_index=NOT_IDEMPOTENT)
        driver.counter_reply(1.0)
        while driver.requests[1].in_flight:
            driver.finish_attempt(1, result)
        assert driver.requests[1].is_answered
        assert [amount for _, amount in counter_amounts(driver)] == [1.0, -1.0], result


@pytest.mark.parametrize(("result", "returned_slots"), [(Result.TIMEOUT, 2), (Result.OVERLOADED, 0)])
def test_local_share_of_the_limit_applies_without_a_total(result: Result, returned_slots: int) -> None:
    # The amount of a call that timed out may have been added; that of a rejected one never was.
    driver = Driver(CONCURRENCY_LIMITED)
    driver.request(entry_point_count=2)
    driver.request(entry_point_count=2)
    assert action_names(driver.counter_reply(result=result)) == ["StartAttempt"]
    assert action_names(driver.counter_reply(result=result))[-1] == "Reject"
    driver.finish_all()
    assert len([amount for _, amount in counter_amounts(driver) if amount < 0]) == returned_slots


def test_local_share_of_the_limit_applies_while_the_breaker_is_open() -> None:
    driver = Driver(CONCURRENCY_LIMITED)
    driver.gateway.counter_breaker.consecutive_failures = 9
    driver.gateway.counter_breaker.next_trial_at = driver.now + SECOND
    assert action_names(driver.request(entry_point_count=2)) == ["StartAttempt"]
    assert action_names(driver.request(entry_point_count=2)) == ["Reject"]
    driver.now += 2 * SECOND
    # A trial call, which adds nothing.
    assert action_names(driver.request(entry_point_count=2)) == ["CounterAdd", "Reject"]
    assert driver.counter_calls[-1].amount == 0.0
    driver.counter_reply(5.0)
    assert action_names(driver.request(entry_point_count=2)) == ["CounterAdd"]
