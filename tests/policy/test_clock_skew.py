"""Estimated uptimes of endpoints are never longer than the true ones, whatever the gateway's clock says."""

import pytest

from rushroad.policy.clock_skew import ClockSkew
from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from tests.support.gateway_driver import SECOND

WARM_UP_TIME = 17 * SECOND
NOW = 10_000 * SECOND
HOUR = 3_600 * SECOND


def update(*start_times: int, kind: UpdateKind = UpdateKind.DELTA) -> EndpointUpdate:
    """Return an update that lists one ready endpoint per start time."""
    endpoints = (
        Endpoint(f"s-{started_at}", EndpointState.READY, started_at=started_at) for started_at in start_times
    )
    return EndpointUpdate(kind, 1, tuple(endpoints))


@pytest.mark.parametrize("clock_step", [0, HOUR, 20 * SECOND, -HOUR, -5 * SECOND])
def test_uptime_is_exact_when_the_start_is_reported_at_once(clock_step: int) -> None:
    skew = ClockSkew()
    skew.observe(update(NOW), NOW + clock_step)
    assert skew.uptime(NOW, NOW + clock_step + SECOND) == SECOND


@pytest.mark.parametrize("clock_step", [0, HOUR, -HOUR])
def test_uptime_is_never_longer_than_the_true_one(clock_step: int) -> None:
    skew = ClockSkew()
    for reported_at, started_at in ((0, -40), (2, 0), (9, 8), (30, 20)):
        skew.observe(update(NOW + started_at * SECOND), NOW + reported_at * SECOND + clock_step)
    # The smallest reporting delay was 1 s.
    assert skew.uptime(NOW, NOW + 30 * SECOND + clock_step) == 29 * SECOND


def test_wall_clock_is_used_when_all_endpoints_started_together_long_ago() -> None:
    skew, start_times = ClockSkew(), [NOW - HOUR + number * SECOND for number in range(10)]
    skew.observe(update(*start_times, kind=UpdateKind.CACHED_SNAPSHOT), NOW)
    assert skew.uptime(start_times[-1], NOW) == 0
    skew.check_plausibility(start_times, NOW, WARM_UP_TIME)
    assert skew.uptime(start_times[-1], NOW) == NOW - start_times[-1]


def test_wall_clock_in_use_is_corrected_when_a_delta_proves_it_wrong() -> None:
    skew, start_times = ClockSkew(), [NOW + number * SECOND for number in range(10)]
    skew.observe(update(*start_times, kind=UpdateKind.CACHED_SNAPSHOT), NOW + HOUR)
    skew.check_plausibility(start_times, NOW + HOUR, WARM_UP_TIME)
    skew.observe(update(NOW + 20 * SECOND), NOW + HOUR + 20 * SECOND)
    assert skew.uptime(NOW + 20 * SECOND, NOW + HOUR + 21 * SECOND) == SECOND


def test_minority_started_with_the_newest_endpoint_counts_as_warming_up() -> None:
    skew, start_times = ClockSkew(), [0] * 8 + [NOW, NOW - SECOND]
    skew.observe(update(*start_times, kind=UpdateKind.CACHED_SNAPSHOT), NOW + HOUR)
    skew.check_plausibility(start_times, NOW + HOUR, WARM_UP_TIME)
    assert skew.uptime(NOW, NOW + HOUR) == 0
    assert skew.uptime(NOW, NOW + HOUR + WARM_UP_TIME) == WARM_UP_TIME
