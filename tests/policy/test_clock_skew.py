"""How old servers are taken to be, whatever this gateway's clock says."""

import pytest

from rushroad.policy.clock_skew import ClockLead
from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from tests.support.gateway_driver import SECOND

SPAN = 17 * SECOND
NOW = 10_000 * SECOND
HOUR = 3_600 * SECOND


def members(*starts: int, kind: UpdateKind = UpdateKind.DELTA) -> EndpointUpdate:
    return EndpointUpdate(
        kind, 1, tuple(Endpoint(f"s-{at}", EndpointState.READY, started_at=at) for at in starts)
    )


@pytest.mark.parametrize("step", [0, HOUR, 20 * SECOND, -HOUR, -5 * SECOND])
def test_a_start_that_is_heard_of_at_once_has_its_true_age_whatever_the_clock_says(step: int) -> None:
    lead = ClockLead()
    lead.hear(members(NOW), NOW + step)
    assert lead.age(NOW, NOW + step + SECOND) == SECOND


@pytest.mark.parametrize("step", [0, HOUR, -HOUR])
def test_no_server_is_taken_to_be_older_than_it_is(step: int) -> None:
    lead = ClockLead()
    for heard, started in ((0, -40), (2, 0), (9, 8), (30, 20)):
        lead.hear(members(NOW + started * SECOND), NOW + heard * SECOND + step)
    assert lead.age(NOW, NOW + 30 * SECOND + step) == 29 * SECOND  # one was heard of within a second


def test_where_all_started_together_long_ago_they_are_warm() -> None:
    lead, starts = ClockLead(), [NOW - HOUR + n * SECOND for n in range(10)]
    lead.hear(members(*starts, kind=UpdateKind.CACHED_SNAPSHOT), NOW)
    assert lead.age(starts[-1], NOW) == 0
    lead.check(starts, NOW, SPAN)
    assert lead.age(starts[-1], NOW) == NOW - starts[-1]


def test_a_clock_that_had_to_be_believed_is_not_once_a_change_shows_it_wrong() -> None:
    lead, starts = ClockLead(), [NOW + n * SECOND for n in range(10)]
    lead.hear(members(*starts, kind=UpdateKind.CACHED_SNAPSHOT), NOW + HOUR)
    lead.check(starts, NOW + HOUR, SPAN)
    lead.hear(members(NOW + 20 * SECOND), NOW + HOUR + 20 * SECOND)
    assert lead.age(NOW + 20 * SECOND, NOW + HOUR + 21 * SECOND) == SECOND


def test_a_few_that_started_with_the_last_one_are_taken_to_be_cold_until_more_is_known() -> None:
    lead, starts = ClockLead(), [0] * 8 + [NOW, NOW - SECOND]
    lead.hear(members(*starts, kind=UpdateKind.CACHED_SNAPSHOT), NOW + HOUR)
    lead.check(starts, NOW + HOUR, SPAN)
    assert lead.age(NOW, NOW + HOUR) == 0
    assert lead.age(NOW, NOW + HOUR + SPAN) == SPAN
