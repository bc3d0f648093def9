"""Moving averages of response times."""

import pytest

from rushroad.policy.events import AttemptFinished, Result
from rushroad.policy.latency import LatencyTracker, RelativeLatency
from tests.support.gateway_driver import MS, SETTINGS


def attempt_finished(result: Result, elapsed: int) -> AttemptFinished:
    return AttemptFinished(1, 0, "10.0.0.1:80", result, elapsed, is_final=True)


def test_first_response_sets_the_typical_latency_of_its_class_only() -> None:
    latency = LatencyTracker(SETTINGS)
    latency.record_response(40 * MS, 1)
    assert [latency.typical(index) for index in range(3)] == [0.0, 40 * MS, 0.0]
    assert latency.highest() == 40 * MS


def test_typical_latency_follows_later_responses_slowly() -> None:
    latency = LatencyTracker(SETTINGS)
    for elapsed in (100 * MS, 200 * MS):
        latency.record_response(elapsed, 0)
    assert latency.typical(0) == pytest.approx(103 * MS)


@pytest.mark.parametrize("result", [Result.OK, Result.TIMEOUT, Result.CANCELLED])
def test_time_of_an_attempt_is_relative_to_its_request_class(result: Result) -> None:
    latency = LatencyTracker(SETTINGS)
    latency.record_response(50 * MS, 0)
    assert latency.relative(attempt_finished(result, 150 * MS), 0) == pytest.approx(3.0)


@pytest.mark.parametrize(
    "result", [Result.ERROR, Result.OVERLOADED, Result.RESET, Result.CONNECT_FAILED, Result.NOT_FORWARDED]
)
def test_attempt_without_a_measured_execution_has_no_relative_latency(result: Result) -> None:
    latency = LatencyTracker(SETTINGS)
    latency.record_response(50 * MS, 0)
    assert latency.relative(attempt_finished(result, 150 * MS), 0) is None


def test_first_samples_of_an_endpoint_have_equal_weight() -> None:
    relative = RelativeLatency()
    for sample in (2.0, 4.0, 6.0):
        relative.record(sample)
    assert relative.mean == pytest.approx(4.0)
    relative.reset()
    assert (relative.mean, relative.samples) == (1.0, 0)
