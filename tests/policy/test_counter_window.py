"""What a gateway knows of a count that the counter forgets by itself."""

from random import Random

import pytest

from rushroad.policy.actions import CounterAdd
from rushroad.policy.counter_window import SharedCount
from tests.support.gateway_driver import MS, SECOND, START, Totals

LENGTH, MARGIN = 8 * SECOND, 80 * MS
NAME = 7
EDGE = START - START % LENGTH + LENGTH  # a boundary where clocks are right


def shared(now: int) -> SharedCount:
    return SharedCount(LENGTH, MARGIN, 0, now)


def test_a_total_tells_what_others_added_since_the_last_one() -> None:
    count = shared(EDGE)
    assert count.hear(1.0, 5.0, EDGE) == (4.0, False)
    assert count.hear(1.0, 8.0, EDGE + SECOND) == (2.0, False)
    assert count.hear(0.0, 6.0, EDGE + SECOND) == (-2.0, False)  # taken back


def test_a_window_ends_at_its_boundary_for_whoever_calls_first() -> None:
    for before in (LENGTH - 1, LENGTH // 2, 2 * MARGIN):
        assert shared(EDGE - before).life(EDGE - before) == before
    assert shared(EDGE - 1).life(EDGE - 1) == LENGTH + 1  # it would end before the call arrives


def test_behind_the_boundary_a_total_tells_whether_the_counter_has_forgotten() -> None:
    for total, others, renewed in ((12.0, 1.0, False), (3.0, 2.0, True)):
        count = shared(EDGE - SECOND)
        count.hear(1.0, 10.0, EDGE - SECOND)
        assert not count.enter(EDGE + MARGIN - 1)
        assert count.hear(1.0, total, EDGE + MARGIN - 1) == (others, renewed)
        assert count.enter(EDGE + MARGIN) is not renewed
        assert count.began == EDGE


def test_a_count_that_was_lost_before_its_time_is_noticed() -> None:
    count = shared(EDGE)
    for number in range(1, 5):
        count.hear(1.0, float(number), EDGE + number * MS)
    assert count.hear(1.0, 2.0, EDGE + SECOND) == (1.0, True)
    assert count.began == EDGE + SECOND


@pytest.mark.parametrize("step", [0, 3 * SECOND, -3 * SECOND, 3_601 * SECOND])
@pytest.mark.parametrize("pause", [0.05, 0.4, 2.0])
def test_what_others_add_is_never_missed_by_much_whatever_one_clock_says(pause: float, step: int) -> None:
    chance, totals, now = Random(1), Totals(), EDGE
    right, wrong = shared(now), shared(now + step)
    heard, added = [0.0, 0.0], [0.0, 0.0]
    for _ in range(int(400 / pause)):
        now += int(chance.expovariate(1 / pause) * SECOND)
        who = chance.randrange(2)
        count, at = (right, now) if who == 0 else (wrong, now + step)
        count.enter(at)
        total = totals.add(CounterAdd(NAME, 1.0, count.life(at)), now)
        others, _ = count.hear(1.0, total, at)
        heard[who] += others
        added[who] += 1.0
    for who in (0, 1):
        # What was added between its last look at a window and the window's end is not seen.
        assert heard[who] >= added[1 - who] - 2.0 * totals.begun / max(1.0, pause)
