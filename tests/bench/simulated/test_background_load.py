"""Background load that replaces gateways that are not simulated."""

from rushroad.bench.fleet_size import parse_fleet_size
from rushroad.bench.simulated.fleet import Fleet
from rushroad.bench.simulated.simulation import SECOND, Metric


def test_background_load_replaces_the_requests_of_gateways_that_are_not_simulated() -> None:
    fleet = Fleet(parse_fleet_size("4/8"), seed=1, sample=[0])
    fleet.start_background_load(lambda _endpoint: range(4))
    fleet.run(10 * SECOND)
    own_attempts = fleet.simulation.counts(0, 10)[Metric.ATTEMPTS]
    busy_cores = sum(server.busy_cores for server in fleet.rate_servers.values())
    assert own_attempts < 300
    assert busy_cores > 6  # of 32; the simulated gateway alone occupies a sixth of them
