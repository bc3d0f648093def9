"""The choice of the endpoint for an attempt."""

from collections import Counter
from dataclasses import replace

import pytest

from rushroad.policy.active_endpoints import ActiveEndpoint
from rushroad.policy.events import (
    UpdateKind,
)
from rushroad.policy.subsetting import MAX_SUBSET_SIZE
from tests.support.gateway_driver import (
    SECOND,
    Driver,
)
from tests.support.policy_scenarios import LARGE_FLEET_WITHOUT_COUNTER, ready_endpoints_of_two_classes


def test_gateways_without_load_reports_do_not_all_choose_the_same_endpoint() -> None:
    chosen: Counter[str] = Counter()
    for index in range(300):
        chosen[
            Driver(
                replace(LARGE_FLEET_WITHOUT_COUNTER, gateway_index=index % 200), endpoint_count=20, seed=index
            )
            .admit()
            .endpoint
        ] += 1
    assert len(chosen) == 20
    assert max(chosen.values()) < 3 * 300 / 20


@pytest.mark.parametrize(
    ("gateways", "endpoint_count", "max_considered"), [(200, 84, 20), (200, 200, 20), (200, 4_000, 80)]
)
def test_choice_considers_a_bounded_subset_however_many_endpoints_there_are(
    gateways: int, endpoint_count: int, max_considered: int
) -> None:
    driver = Driver(replace(LARGE_FLEET_WITHOUT_COUNTER, fleet_size=gateways), endpoint_count=0)
    driver.update_endpoints(*ready_endpoints_of_two_classes(endpoint_count), kind=UpdateKind.CACHED_SNAPSHOT)
    driver.wait(1 * SECOND)  # a long list is reviewed in batches
    considered: list[ActiveEndpoint] = []
    wait = driver.gateway.load_balancer.expected_wait

    def record_call(endpoint: ActiveEndpoint, now: int) -> float:
        considered.append(endpoint)
        return wait(endpoint, now)

    driver.gateway.load_balancer.expected_wait = record_call  # type: ignore[method-assign]
    driver.admit()
    assert 0 < len(considered) <= max_considered < 1.5 * MAX_SUBSET_SIZE
