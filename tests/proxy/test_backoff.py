"""Backoff: delays that double, and jitter that differs between gateways."""

import random

from rushroad.proxy.backoff import Backoff


def test_delays_double_up_to_the_maximum_and_start_again_after_a_success() -> None:
    backoff = Backoff(0.2, 3.0, random.Random(1))
    for expected in (0.2, 0.4, 0.8, 1.6, 3.0, 3.0):
        assert expected / 2 <= backoff.next_delay() <= expected
    backoff.reset()
    assert backoff.next_delay() <= 0.2


def test_forty_gateways_that_fail_together_retry_less_and_less_often_and_at_different_times() -> None:
    retries: list[float] = []  # times in seconds, of all gateways
    for seed in range(40):
        backoff, now = Backoff(0.2, 4.0, random.Random(seed)), 0.0
        while (now := now + backoff.next_delay()) < 10:
            retries.append(now)
    late_retries = [retry for retry in retries if retry >= 5]
    assert 0 < len(late_retries) < 40 * 5  # under one retry a second from each gateway
    tenths = [int(retry * 10) for retry in late_retries]  # of a second
    assert max(tenths.count(tenth) for tenth in set(tenths)) < 40 / 4
