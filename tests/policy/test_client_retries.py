"""Tests for client retries that arrive after the request's latency objective."""

from tests.support.gateway_driver import MS, SECOND, Driver, action_names
from tests.support.policy_scenarios import LARGE_FLEET, overload_counter


def test_client_retry_past_its_objective_takes_no_units_under_overload() -> None:
    driver = Driver(LARGE_FLEET, endpoint_count=40)
    overload_counter(driver)
    # Half of the deadline has passed since the first try.
    assert action_names(driver.request(tenant=1, time_remaining=1500 * MS)) == ["Reject"]


def test_clients_with_short_timeouts_are_served_without_overload() -> None:
    driver = Driver(LARGE_FLEET, endpoint_count=40)
    for tenant in range(20):
        driver.admit(tenant=tenant)
        driver.finish_all()
        driver.wait(1 * SECOND)
    assert driver.admit(tenant=100, time_remaining=1500 * MS)
