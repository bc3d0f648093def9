"""Simulated fleets on the virtual clock: outcomes, repeatability and subsets."""

import pytest

from rushroad.bench.fleet_size import parse_fleet_size
from rushroad.bench.simulated.fleet import Fleet
from rushroad.bench.simulated.policy_observer import ready_endpoints
from rushroad.bench.simulated.simulation import SECOND, Metric
from rushroad.bench.simulated.subsets import subsets_of_fleet


@pytest.fixture
def fleet() -> Fleet:
    return Fleet(parse_fleet_size("6/12"), seed=1)


def test_fleet_without_faults_serves_all_requests(fleet: Fleet) -> None:
    fleet.run(10 * SECOND)
    counts = fleet.simulation.counts(0, 10)
    assert counts[Metric.REQUESTS] > 500
    assert counts[Metric.SERVED] > 0.98 * (counts[Metric.REQUESTS] - 40)  # some are pending at the end
    assert counts[Metric.FAILED] == counts[Metric.CRASHES] == counts[Metric.UNAVAILABLE] == 0


def test_runs_are_equal_for_the_same_seed_only() -> None:
    fleets = [Fleet(parse_fleet_size("6/12"), seed=seed) for seed in (3, 3, 4)]
    for fleet in fleets:
        fleet.run(4 * SECOND)
    counts = [fleet.simulation.counts_by_second for fleet in fleets]
    assert counts[0] == counts[1] != counts[2]


def test_every_request_ends_once_despite_restarts_silent_servers_and_counter_failure(fleet: Fleet) -> None:
    fleet.run(3 * SECOND)
    servers, gateways = list(fleet.rate_servers.values()), list(fleet.gateways.values())
    fleet.counter.down = servers[0].silent = servers[1].down = True
    gateways[0].stop()
    fleet.run(5 * SECOND)
    gateways[0].start()
    fleet.run(5 * SECOND)
    counts = fleet.simulation.counts(0, 13)
    pending = sum(len(gateway.pending) for gateway in gateways)
    ended = (Metric.SERVED, Metric.REJECTED, Metric.FAILED, Metric.LOST)
    assert counts[Metric.REQUESTS] == sum(counts[metric] for metric in ended) + pending
    assert counts[Metric.LOST] > 0
    assert counts[Metric.UNAVAILABLE] > 0


def test_gateways_use_the_subsets_computed_for_the_fleet() -> None:
    fleet = Fleet(parse_fleet_size("40/300"), seed=1)
    fleet.run(1 * SECOND)
    expected = subsets_of_fleet(40, list(fleet.rate_servers))
    assert [ready_endpoints(gateway.policy) for gateway in fleet.gateways.values()] == expected
