"""The endpoint table: multi-part snapshots, deltas, long lists and removals."""

from dataclasses import replace

from msgspec import structs

from rushroad.policy.active_endpoints import REVIEW_BATCH_SIZE
from rushroad.policy.endpoint_table import EndpointTable
from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rushroad.policy.subsetting import mean_replicas, replicas_of
from tests.support.endpoint_lists import ENDPOINT_LIMITED, ready_endpoints, usable_names
from tests.support.gateway_driver import MS, SECOND, Driver


def test_multi_part_snapshot_removes_missing_endpoints_only_after_its_last_part() -> None:
    table, endpoints = EndpointTable(0, 3, index_by_cell=False), ready_endpoints(30)
    table.apply(EndpointUpdate(UpdateKind.SNAPSHOT, 1, endpoints))
    # This snapshot stays incomplete; the next first part starts a new one.
    assert table.apply(EndpointUpdate(UpdateKind.SNAPSHOT, 2, endpoints[:10], is_last_part=False)) == []
    table.apply(EndpointUpdate(UpdateKind.SNAPSHOT, 2, endpoints[10:20], is_last_part=False))
    assert table.apply(EndpointUpdate(UpdateKind.SNAPSHOT, 2, endpoints[:15], is_last_part=False)) == []
    removed = table.apply(EndpointUpdate(UpdateKind.SNAPSHOT, 2, endpoints[15:28], is_first_part=False))
    assert {endpoint.name for endpoint in removed} == {endpoint.name for endpoint in endpoints[28:]}
    assert {endpoint.state for endpoint in removed} == {EndpointState.REMOVED}
    assert table.ready_count == 28


def test_draining_endpoint_in_an_early_part_of_a_snapshot_gets_no_attempts() -> None:
    driver, endpoints = Driver(ENDPOINT_LIMITED, endpoint_count=0), ready_endpoints(12)
    driver.update_endpoints(*endpoints, kind=UpdateKind.CACHED_SNAPSHOT)
    subset = usable_names(driver.gateway)
    draining = [
        structs.replace(endpoint, state=EndpointState.DRAINING)
        for endpoint in endpoints
        if endpoint.name in subset
    ][:3]
    driver.rules.not_ready_since.update((endpoint.name, driver.now) for endpoint in draining)
    driver.handle(EndpointUpdate(UpdateKind.SNAPSHOT, 2, tuple(draining), is_last_part=False))
    driver.wait(1 * SECOND)
    for tenant in range(30):
        driver.admit(tenant=tenant)  # the driver raises on an attempt to a draining endpoint
        driver.finish_all()
        driver.wait(10 * MS)


def test_long_list_is_reviewed_in_batches_without_missing_an_endpoint() -> None:
    settings, endpoints = (
        replace(ENDPOINT_LIMITED, fleet_size=1_000),
        ready_endpoints(5 * REVIEW_BATCH_SIZE + 3),
    )
    driver = Driver(settings, endpoint_count=0)
    reviewed = [0]  # number of endpoints in each step of the gateway
    active = driver.gateway.endpoints
    apply_entry, review_next_batch = active.apply_entry, active.review_next_batch

    def count_entry(entry: Endpoint, now: int) -> None:
        reviewed[-1] += 1
        apply_entry(entry, now)

    def count_step(now: int) -> bool:
        reviewed.append(0)
        return review_next_batch(now)

    active.apply_entry = count_entry  # type: ignore[method-assign]
    active.review_next_batch = count_step  # type: ignore[method-assign]
    for start in range(0, len(endpoints), 250):
        reviewed.append(0)
        end = start + 250
        driver.handle(
            EndpointUpdate(UpdateKind.SNAPSHOT, 1, endpoints[start:end], start == 0, end >= len(endpoints))
        )
    removed = structs.replace(endpoints[3], state=EndpointState.REMOVED)
    driver.handle(EndpointUpdate(UpdateKind.DELTA, 2, (removed,)))  # while the review is in progress
    driver.wait(1 * SECOND)
    mean = mean_replicas(1_000, len(endpoints))
    assert max(reviewed) <= REVIEW_BATCH_SIZE + 250
    assert usable_names(driver.gateway) == {
        endpoint.name
        for endpoint in endpoints
        if endpoint.name != removed.name and 0 in replicas_of(endpoint.name, 1_000, mean)
    }


def test_thousands_of_endpoints_removed_in_one_delta_get_no_attempts() -> None:
    driver = Driver(replace(ENDPOINT_LIMITED, fleet_size=490), endpoint_count=0)
    endpoints = ready_endpoints(9_700)
    driver.update_endpoints(*endpoints, kind=UpdateKind.CACHED_SNAPSHOT)
    driver.wait(1 * SECOND)
    driver.update_endpoints(
        *(
            structs.replace(endpoint, state=EndpointState.REMOVED)
            for endpoint in endpoints
            if endpoint.cell % 24 == 0
        )
    )
    driver.wait(1 * SECOND)
    for tenant in range(200):
        driver.admit(tenant=tenant)  # the driver raises on an attempt to a removed endpoint
        driver.finish_all()
        driver.wait(5 * MS)
