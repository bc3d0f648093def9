"""Endpoint updates, cached snapshots and failed calls to the discovery service."""

from dataclasses import replace

from rushroad.policy.events import (
    EndpointUpdate,
    UpdateKind,
)
from rushroad.policy.settings import (
    Idempotency,
)
from tests.support.gateway_driver import (
    IDEMPOTENCY_KEY,
    IDEMPOTENT,
    NOT_IDEMPOTENT,
    SECOND,
    SETTINGS,
    Driver,
    action_names,
    ready_endpoint,
)
from tests.support.policy_scenarios import LARGE_FLEET, ready_endpoints_of_two_classes


def test_polled_list_is_watched_and_retried_after_a_failure() -> None:
    safety = replace(SETTINGS.safety, poll_interval=10 * SECOND)
    driver = Driver(replace(SETTINGS, polls_endpoints=True, safety=safety))
    assert action_names(driver.actions) == ["WatchEndpoints"]
    driver.handle(EndpointUpdate(UpdateKind.FAILED, 2, ()))
    assert action_names(driver.wait(2 * SECOND)) == ["WatchEndpoints"]
    assert driver.admit().endpoint in driver.endpoints  # the previous list stays in use


def test_empty_first_list_does_not_pool_the_limits() -> None:
    driver = Driver(replace(SETTINGS, fleet_size=6), endpoint_count=0)
    driver.update_endpoints(kind=UpdateKind.CACHED_SNAPSHOT)
    driver.update_endpoints(*(ready_endpoint(number) for number in range(1, 9)), kind=UpdateKind.SNAPSHOT)
    assert driver.gateway.limiter.pooled is None


def test_restarted_gateway_of_a_large_fleet_forwards_at_once_with_its_cached_snapshot() -> None:
    driver = Driver(LARGE_FLEET, endpoint_count=0)
    driver.update_endpoints(*ready_endpoints_of_two_classes(84), kind=UpdateKind.CACHED_SNAPSHOT)
    for class_index in (IDEMPOTENT, IDEMPOTENCY_KEY, NOT_IDEMPOTENT):
        assert driver.admit(class_index=class_index, tenant=class_index, entry_point_count=150)
    assert LARGE_FLEET.request_classes[NOT_IDEMPOTENT].idempotency is Idempotency.NOT_IDEMPOTENT
