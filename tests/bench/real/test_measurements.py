"""Short measurements on real gateways. They check counts and bytes, as times depend on the machine."""

import pytest

from rushroad.bench.fleet_size import parse_fleet_size
from rushroad.bench.real.measurements import measure_changes, measure_cost, measure_start
from rushroad.bench.real.scenario import Scenario


@pytest.mark.parametrize("has_cached_snapshot", [True, False])
def test_a_gateway_serves_with_its_endpoint_list_from_the_configuration_or_from_discovery(
    has_cached_snapshot: bool,
) -> None:
    scenario = Scenario(parse_fleet_size("4900/60"), has_cached_snapshot=has_cached_snapshot, work_ms=0.0)
    row = measure_start(scenario)
    assert row.serving_s != "never"
    assert row.peak_mb > 0


def test_requests_are_served_while_a_burst_of_endpoints_is_removed() -> None:
    scenario = Scenario(parse_fleet_size("3/60"), request_rate=50.0, work_ms=1.0)
    row = measure_changes(scenario, burst=4_042, observation_s=0.5)
    assert (row.burst, row.requests, row.served, row.wrong) == (30, 100, 100, 0)
    assert row.used_removed_one == 1
    assert isinstance(row.used_removed_burst, int)
    assert row.used_removed_burst > 0


def test_the_counter_is_called_and_the_watch_receives_changes_during_churn() -> None:
    scenario = Scenario(
        parse_fleet_size("3/60"),
        request_rate=50.0,
        seconds=1.0,
        tenants=9,
        work_ms=1.0,
        list_changes_per_s=20.0,
    )
    row = measure_cost(scenario)
    assert (row.requests, row.served, row.syntax_errors, row.tenants_seen) == (50, 50, 0, 9)
    assert row.counter_calls_per_request > 0
    call_bytes = len("bump 0 1.000000 1\r\nok 1\r\n")
    assert row.counter_bytes_per_request > row.counter_calls_per_request * call_bytes
    assert row.list_changes > 0
