"""IDs of calls in flight, and of ended ones that must not be executed again."""

import pytest

from rushroad.proxy.call_ids import CallIds, hold_time
from tests.support.gateway_driver import SECOND, SETTINGS

HOLD_TIME, MAX_EXECUTED = 10 * SECOND, 3


@pytest.fixture
def call_ids() -> CallIds:
    return CallIds(HOLD_TIME, MAX_EXECUTED)


def test_id_is_refused_while_it_is_in_flight(call_ids: CallIds) -> None:
    assert call_ids.acquire(b"a", 0)
    assert not call_ids.acquire(b"a", 1)
    call_ids.release(b"a", may_have_run=False, now=2)
    assert call_ids.acquire(b"a", 3)


def test_id_that_may_have_run_is_refused_until_it_cannot_come_again(call_ids: CallIds) -> None:
    call_ids.acquire(b"a", 0)
    call_ids.release(b"a", may_have_run=True, now=5 * SECOND)
    assert not call_ids.acquire(b"a", 15 * SECOND - 1)
    assert call_ids.acquire(b"a", 15 * SECOND)


def test_second_release_of_an_id_changes_nothing(call_ids: CallIds) -> None:
    call_ids.acquire(b"a", 0)
    call_ids.release(b"a", may_have_run=False, now=1)
    call_ids.release(b"a", may_have_run=True, now=1)
    assert call_ids.acquire(b"a", 2)


def test_oldest_ended_ids_give_way_when_there_are_too_many(call_ids: CallIds) -> None:
    for number in range(MAX_EXECUTED + 1):
        call_ids.acquire(b"%d" % number, number)
        call_ids.release(b"%d" % number, may_have_run=True, now=number)
    assert call_ids.acquire(b"0", 10)
    assert not any(call_ids.acquire(b"%d" % number, 10) for number in range(1, MAX_EXECUTED + 1))


def test_hold_time_covers_the_longest_deadline_and_window_of_classes_that_are_not_idempotent() -> None:
    assert hold_time(SETTINGS) == 6 * SECOND
