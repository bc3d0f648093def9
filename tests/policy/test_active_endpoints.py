"""The endpoints that a gateway may forward to."""

from dataclasses import replace

import pytest
from msgspec import structs

from rushroad.policy.events import (
    EndpointState,
    UpdateKind,
)
from rushroad.policy.subsetting import MIN_SUBSET_SIZE
from tests.support.gateway_driver import (
    Driver,
    ready_endpoint,
)
from tests.support.policy_scenarios import LARGE_FLEET_WITHOUT_COUNTER, ready_endpoints_of_two_classes


def test_draining_endpoint_gets_no_new_attempt() -> None:
    driver = Driver(endpoint_count=2)
    driver.update_endpoints(structs.replace(ready_endpoint(1), state=EndpointState.DRAINING))
    assert {driver.admit(tenant=n).endpoint for n in range(6)} == {ready_endpoint(2).name}


def test_removed_endpoint_gets_no_new_attempt() -> None:
    driver = Driver(endpoint_count=2)
    driver.update_endpoints(structs.replace(ready_endpoint(1), state=EndpointState.REMOVED))
    assert {driver.admit(tenant=n).endpoint for n in range(6)} == {ready_endpoint(2).name}


@pytest.mark.parametrize("endpoint_count", [84, 100, 200])
def test_mean_subset_size_in_a_large_fleet_is_the_minimum_size(endpoint_count: int) -> None:
    sizes = []
    for index in range(200):
        driver = Driver(replace(LARGE_FLEET_WITHOUT_COUNTER, gateway_index=index), endpoint_count=0)
        driver.update_endpoints(
            *ready_endpoints_of_two_classes(endpoint_count), kind=UpdateKind.CACHED_SNAPSHOT
        )
        sizes.append(len(driver.gateway.endpoints.ready))
    assert MIN_SUBSET_SIZE <= sum(sizes) / len(sizes) <= 1.03 * MIN_SUBSET_SIZE
