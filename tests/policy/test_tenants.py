"""Eviction from the table of tenants."""

from tests.support.gateway_driver import (
    MS,
    Driver,
)


def test_tenants_with_a_single_request_are_evicted_when_idle() -> None:
    driver = Driver()
    for tenant in range(3_000):
        driver.request(tenant=tenant, time_remaining=0)
        driver.wait(50 * MS)
    assert len(driver.gateway.tenants) < 1_000
