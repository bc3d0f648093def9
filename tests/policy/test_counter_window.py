"""What a gateway derives from the totals of a name that expires on the counter."""

from random import Random

import pytest

from rushroad.policy.actions import CounterAdd
from rushroad.policy.counter_window import CounterWindow
from tests.support.gateway_driver import MS, SECOND, START, CounterTotals

LENGTH, MAX_CALL_DELAY = 8 * SECOND, 80 * MS
TOTAL_NAME = 7
BOUNDARY = START - START % LENGTH + LENGTH  # first window boundary after START, by an accurate clock


def counter_window(now: int) -> CounterWindow:
    return CounterWindow(LENGTH, MAX_CALL_DELAY, 0, now)


def test_total_shows_what_others_added_since_the_previous_one() -> None:
    window = counter_window(BOUNDARY)
    assert window.apply_total(1.0, 5.0, BOUNDARY) == (4.0, False)
    assert window.apply_total(1.0, 8.0, BOUNDARY + SECOND) == (2.0, False)
    assert window.apply_total(0.0, 6.0, BOUNDARY + SECOND) == (-2.0, False)  # others subtracted two


def test_lifetime_ends_at_the_window_boundary_unless_the_call_might_arrive_after_it() -> None:
    for until_boundary in (LENGTH - 1, LENGTH // 2, 2 * MAX_CALL_DELAY):
        now = BOUNDARY - until_boundary
        assert counter_window(now).lifetime(now) == until_boundary
    assert counter_window(BOUNDARY - 1).lifetime(BOUNDARY - 1) == LENGTH + 1


def test_total_after_the_boundary_shows_whether_the_name_has_expired() -> None:
    for total, added_by_others, window_restarted in ((12.0, 1.0, False), (3.0, 2.0, True)):
        window = counter_window(BOUNDARY - SECOND)
        window.apply_total(1.0, 10.0, BOUNDARY - SECOND)
        assert not window.restart_if_expired(BOUNDARY + MAX_CALL_DELAY - 1)
        change = window.apply_total(1.0, total, BOUNDARY + MAX_CALL_DELAY - 1)
        assert change == (added_by_others, window_restarted)
        assert window.restart_if_expired(BOUNDARY + MAX_CALL_DELAY) is not window_restarted
        assert window.started_at == BOUNDARY


def test_expiry_before_the_end_of_the_lifetime_restarts_the_window() -> None:
    window = counter_window(BOUNDARY)
    for number in range(1, 5):
        window.apply_total(1.0, float(number), BOUNDARY + number * MS)
    assert window.apply_total(1.0, 2.0, BOUNDARY + SECOND) == (1.0, True)
    assert window.started_at == BOUNDARY + SECOND


@pytest.mark.parametrize("clock_step", [0, 3 * SECOND, -3 * SECOND, 3_601 * SECOND])
@pytest.mark.parametrize("mean_pause_s", [0.05, 0.4, 2.0])
def test_adds_of_others_are_seen_where_one_of_two_clocks_is_wrong(
    mean_pause_s: float, clock_step: int
) -> None:
    random, totals, now = Random(1), CounterTotals(), BOUNDARY
    windows, clock_steps = [counter_window(now), counter_window(now + clock_step)], [0, clock_step]
    seen, added = [0.0, 0.0], [0.0, 0.0]
    for _ in range(int(400 / mean_pause_s)):
        now += int(random.expovariate(1 / mean_pause_s) * SECOND)
        gateway = random.randrange(2)
        window, local_time = windows[gateway], now + clock_steps[gateway]
        window.restart_if_expired(local_time)
        total = totals.add(CounterAdd(TOTAL_NAME, 1.0, window.lifetime(local_time)), now)
        seen[gateway] += window.apply_total(1.0, total, local_time).added_by_others
        added[gateway] += 1.0
    for gateway in (0, 1):
        # What is added between a gateway's last total in a window and the window's end is not seen.
        assert seen[gateway] >= added[1 - gateway] - 2.0 * totals.created_count / max(1.0, mean_pause_s)
