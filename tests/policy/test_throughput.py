"""Response rates of an endpoint class."""

import pytest

from rushroad.policy.throughput import EndpointClassThroughput
from tests.support.gateway_driver import MS, SECOND


def test_rate_converges_for_evenly_spaced_responses() -> None:
    throughput = EndpointClassThroughput(0)
    assert not throughput.is_known
    for response in range(1, 601):  # 20 per second for 30 s
        throughput.record_response(response * 50 * MS)
    assert throughput.is_known
    assert throughput.rate(30 * SECOND) == pytest.approx(20.0, rel=0.02)


def test_rate_and_mean_of_warm_endpoints_decay_alike() -> None:
    throughput = EndpointClassThroughput(0)
    throughput.set_warm_count(10, 0)
    for response in range(1, 601):
        throughput.record_response(response * 50 * MS)
    throughput.set_warm_count(0, 30 * SECOND)  # all restart and stop responding
    before = throughput.rate(30 * SECOND) / throughput.mean_warm_count(30 * SECOND)
    after = throughput.rate(33 * SECOND) / throughput.mean_warm_count(33 * SECOND)
    assert after == pytest.approx(before)


def test_first_count_of_warm_endpoints_applies_at_once() -> None:
    throughput = EndpointClassThroughput(0)
    throughput.set_warm_count(8, 5 * SECOND)
    assert throughput.mean_warm_count(5 * SECOND) == 8
