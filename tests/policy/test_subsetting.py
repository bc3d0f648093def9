"""Subsets of the endpoint list: balanced, stable, unchanged by a restart, and extended if unhealthy."""

from collections import Counter
from dataclasses import replace
from itertools import pairwise

import pytest
from msgspec import structs

from rushroad.policy.actions import StartAttempt
from rushroad.policy.events import EndpointState, EndpointUpdate, Result, UpdateKind
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import DeduplicationScope, Idempotency
from rushroad.policy.subsetting import (
    MAX_SUBSET_SIZE,
    REPLICAS_STEP,
    mean_replicas,
    replicas_of,
    select_replicas,
)
from tests.support.endpoint_lists import ENDPOINT_LIMITED, ready_endpoints, usable_names
from tests.support.gateway_driver import IDEMPOTENCY_KEY, SECOND, SETTINGS, START, Driver

# --- replicas of an endpoint ----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("gateways", "endpoints", "mean", "subset_sizes", "relative_loads"),
    [
        (200, 200, 8, (1, 19), (0.6, 1.8)),
        (30, 12, 20, (4, 12), (0.9, 1.1)),
        (4_900, 97_000, 3, (25, 100), (0.6, 1.6)),
        (4_900, 88_000, 3.125, (25, 100), (0.6, 1.7)),
    ],
)
def test_endpoints_have_equally_many_replicas_and_similar_load(
    gateways: int,
    endpoints: int,
    mean: float,
    subset_sizes: tuple[int, int],
    relative_loads: tuple[float, float],
) -> None:
    assert mean_replicas(gateways, endpoints) == mean
    replicas = [replicas_of(endpoint.name, gateways, mean) for endpoint in ready_endpoints(endpoints)]
    assert {len(set(indexes)) for indexes in replicas} <= {int(mean), -int(-mean // 1)}
    assert sum(map(len, replicas)) == pytest.approx(mean * endpoints, rel=0.05)
    assert all(max(indexes) < gateways for indexes in replicas)
    sizes = Counter(index for indexes in replicas for index in indexes)
    assert subset_sizes[0] <= min(sizes[index] for index in range(gateways))
    assert max(sizes.values()) <= subset_sizes[1]
    loads = [sum(1.0 / sizes[index] for index in indexes) for indexes in replicas]
    mean_load = sum(loads) / len(loads)
    assert relative_loads[0] < min(loads) / mean_load <= max(loads) / mean_load < relative_loads[1]


@pytest.mark.parametrize(("gateways", "endpoints"), [(1, 10), (3, 60), (4, 24), (8, 12), (6, 14)])
def test_small_fleets_share_all_endpoints(gateways: int, endpoints: int) -> None:
    assert mean_replicas(gateways, endpoints) == gateways


def test_subset_size_changes_gradually_with_the_length_of_the_list() -> None:
    sizes = [mean_replicas(4_900, endpoints) * endpoints / 4_900 for endpoints in range(1_000, 97_000, 500)]
    assert min(sizes) >= 8.0
    assert max(sizes) <= 1.25 * MAX_SUBSET_SIZE
    assert all(0.75 < after / before < 1.34 for before, after in pairwise(sizes))


def test_step_of_the_mean_adds_replicas_to_few_endpoints_and_removes_none() -> None:
    endpoints = ready_endpoints(2_000)
    before = mean_replicas(400, 2_000)
    fewer = next(count for count in range(1_999, 0, -1) if mean_replicas(400, count) != before)
    after = mean_replicas(400, fewer)
    assert after == before + REPLICAS_STEP
    replicas = [
        (replicas_of(endpoint.name, 400, before), replicas_of(endpoint.name, 400, after))
        for endpoint in endpoints
    ]
    assert all(new[: len(old)] == old for old, new in replicas)
    assert sum(new != old for old, new in replicas) < 1.3 * REPLICAS_STEP * len(endpoints)


def test_adding_a_gateway_to_the_fleet_moves_few_endpoints() -> None:
    moved = sum(
        len(set(select_replicas(endpoint.name, 201, 8)) - set(select_replicas(endpoint.name, 200, 8)))
        for endpoint in ready_endpoints(1_000)
    )
    assert moved < 3 * 8 * 1_000 / 201


# --- a gateway's subset ---------------------------------------------------------------------------------


def test_removed_endpoint_changes_only_the_subsets_that_contained_it() -> None:
    endpoints = ready_endpoints(100)
    removed = endpoints[7]
    replicas = [set(replicas_of(entry.name, 200, mean_replicas(200, 100))) for entry in endpoints]
    changed_subsets, kept_subsets = 0, 0
    for index in range(200):
        gateway = Gateway(replace(ENDPOINT_LIMITED, gateway_index=index), seed=index, now=START)
        gateway.handle(START, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, endpoints))
        subset = usable_names(gateway)
        assert subset == {
            entry.name for entry, indexes in zip(endpoints, replicas, strict=True) if index in indexes
        }
        delta = (structs.replace(removed, state=EndpointState.REMOVED),)
        gateway.handle(START, EndpointUpdate(UpdateKind.DELTA, 2, delta))
        # The 99 remaining endpoints have one more replica each.
        kept_subsets += subset - {removed.name} <= usable_names(gateway)
        changed_subsets += removed.name in subset
    assert changed_subsets == 16
    assert kept_subsets == 200


def test_subset_is_the_same_after_a_restart() -> None:
    settings, endpoints = replace(ENDPOINT_LIMITED, gateway_index=17), ready_endpoints(150)
    before, after = Gateway(settings, seed=1, now=START), Gateway(settings, seed=2, now=START + SECOND)
    before.handle(START, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, endpoints))
    after.handle(START + SECOND, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, tuple(reversed(endpoints))))
    assert usable_names(before) == usable_names(after) != set()


def test_endpoint_outside_the_subset_has_no_state_besides_its_entry() -> None:
    driver = Driver(ENDPOINT_LIMITED, endpoint_count=0)
    driver.update_endpoints(*ready_endpoints(400), kind=UpdateKind.CACHED_SNAPSHOT)
    tracked = len(driver.gateway.endpoints)
    outside = next(entry for entry in ready_endpoints(400) if entry.name not in driver.gateway.endpoints)
    driver.update_endpoints(structs.replace(outside, started_at=driver.now))
    assert len(driver.gateway.endpoints) == tracked < 40


# --- fallback endpoints ---------------------------------------------------------------------------------


def test_gateways_with_draining_subsets_add_different_fallback_endpoints() -> None:
    endpoints, fallbacks = ready_endpoints(100), Counter[str]()
    for index in range(40):
        driver = Driver(replace(ENDPOINT_LIMITED, gateway_index=index), endpoint_count=0, seed=index)
        driver.update_endpoints(*endpoints, kind=UpdateKind.CACHED_SNAPSHOT)
        subset = usable_names(driver.gateway)
        driver.update_endpoints(
            *(
                structs.replace(entry, state=EndpointState.DRAINING)
                for entry in endpoints
                if entry.name in subset
            )
        )
        driver.wait(2 * SECOND)
        for tenant in range(8):
            driver.admit(tenant=tenant)
            driver.finish_all()
        fallbacks.update(usable_names(driver.gateway) - subset)
    assert len(fallbacks) > 60
    assert max(fallbacks.values()) <= 8


def test_fallback_endpoints_are_warm_and_are_removed_when_the_subset_is_healthy() -> None:
    driver, endpoints = Driver(ENDPOINT_LIMITED, endpoint_count=0), ready_endpoints(100)
    driver.update_endpoints(*endpoints, kind=UpdateKind.CACHED_SNAPSHOT)
    subset = usable_names(driver.gateway)
    warming_up = [
        structs.replace(entry, started_at=driver.now)
        for entry in endpoints
        if entry.name in subset or entry.cell < 5
    ]
    driver.update_endpoints(*warming_up)
    for tenant in range(8):
        driver.admit(tenant=tenant)
        driver.finish_all()
    fallbacks = usable_names(driver.gateway) - subset
    assert fallbacks
    assert not fallbacks & {entry.name for entry in warming_up}
    driver.wait(SETTINGS.safety.warm_up_time + 2 * SECOND)
    driver.admit(tenant=100)
    assert usable_names(driver.gateway) == subset


def test_retry_with_an_idempotency_key_stays_in_its_cell_outside_the_subset() -> None:
    classes = tuple(
        replace(request_class, deduplication_scope=DeduplicationScope.CELL)
        for request_class in SETTINGS.request_classes
    )
    assert classes[IDEMPOTENCY_KEY].idempotency is Idempotency.IDEMPOTENCY_KEY
    settings = replace(ENDPOINT_LIMITED, request_classes=classes, fleet_size=1_000)
    driver, endpoints = Driver(settings, endpoint_count=0), ready_endpoints(20_000)
    driver.update_endpoints(*endpoints, kind=UpdateKind.CACHED_SNAPSHOT)
    driver.wait(1 * SECOND)
    cells = {endpoint.name: endpoint.cell for endpoint in endpoints}
    for tenant in range(8):  # as many as the retry budget allows
        first = driver.admit(class_index=IDEMPOTENCY_KEY, tenant=tenant)
        actions = driver.outcome(first.request_id, Result.ERROR)
        (retry,) = (action for action in actions if isinstance(action, StartAttempt))
        assert cells[retry.endpoint] == cells[first.endpoint]
        driver.finish_all()
        driver.wait(5 * SECOND)
