"""What a gateway knows of a count that the counter forgets by itself."""

from random import Random

import pytest

from mothgap.interface import Count
from mothgap.shared_count import SharedCount
from tests.helpers import MS, SECOND, START, Totals

LIFE = 8 * SECOND
NAME = 7


def test_a_total_tells_what_others_added_since_the_last_one() -> None:
    count = SharedCount(LIFE, START)
    count.begin(START)
    assert count.hear(1.0, 5.0, START) == (4.0, False)
    assert count.hear(1.0, 8.0, START + SECOND) == (2.0, False)
    assert not count.over(START + LIFE - 1)
    assert count.over(START + LIFE)


def test_what_others_take_back_is_no_new_count() -> None:
    count = SharedCount(LIFE, START)
    count.begin(START)
    count.hear(1.0, 1.0, START)  # the first add: it lives until LIFE from here
    count.hear(1.0, 20.0, START + SECOND)
    assert count.hear(1.0, 9.0, START + 2 * SECOND) == (-12.0, False)


def test_a_count_that_was_lost_before_its_time_is_noticed_by_the_own_adds() -> None:
    count = SharedCount(LIFE, START)
    count.begin(START)
    for number in range(1, 5):
        count.hear(1.0, float(number), START + number * MS)
    assert count.hear(1.0, 2.0, START + SECOND) == (1.0, True)


@pytest.mark.parametrize("pause", [0.02, 0.3, 1.5])
@pytest.mark.parametrize("seed", range(5))
def test_every_renewal_is_noticed_by_a_gateway_that_adds_often(pause: float, seed: int) -> None:
    chance, totals, now = Random(seed), Totals(), START
    count = SharedCount(LIFE, now)
    noticed = 0
    for _ in range(int(60 / pause)):
        now += int(chance.expovariate(1 / pause) * SECOND)
        if count.over(now):
            count.begin(now)
            noticed += 1
        for _ in range(chance.randrange(3)):
            totals.add(Count(NAME, chance.uniform(1, 4), LIFE), now)
        begun = totals.begun
        noticed += count.hear(1.0, totals.add(Count(NAME, 1.0, LIFE), now), now)[1]
        assert totals.begun >= begun
    assert abs(noticed - totals.begun) <= 1
