"""The bounded subset of servers: even, stable, the same after a restart, and filled up when it is bad."""

from collections import Counter
from dataclasses import replace

import pytest
from msgspec import structs

from rushroad.policy.actions import StartAttempt
from rushroad.policy.active_endpoints import REVIEW_PART
from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, Result, UpdateKind
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import DeduplicationScope, Idempotency, Plan
from rushroad.policy.subsetting import SERVERS_MOST, SHARE_STEP, Roster, holders, picks, sharers
from tests.support.gateway_driver import IDEMPOTENCY_KEY, MS, SECOND, SETTINGS, START, Driver

FREE = replace(SETTINGS, counter=None, plans=(Plan(),), fleet_size=200)  # nothing but servers limits it


def ready(count: int, cell: int = 10) -> tuple[Endpoint, ...]:
    """Ready servers, so many to a cell."""
    return tuple(
        Endpoint(f"10.{n // 62500}.{n // 250 % 250}.{n % 250 + 1}:80", EndpointState.READY, cell=n // cell)
        for n in range(count)
    )


def subset(gateway: Gateway) -> set[str]:
    return {endpoint.entry.name for endpoint in gateway.endpoints.ready}


@pytest.mark.parametrize(
    ("gateways", "servers", "shared_by", "each", "load"),
    [
        (200, 200, 8, (1, 19), (0.6, 1.8)),
        (30, 12, 20, (4, 12), (0.9, 1.1)),
        (4_900, 97_000, 3, (25, 100), (0.6, 1.6)),
        (4_900, 88_000, 3.125, (25, 100), (0.6, 1.7)),
    ],
)
def test_every_server_has_as_many_gateways_and_about_the_same_load(
    gateways: int, servers: int, shared_by: float, each: tuple[int, int], load: tuple[float, float]
) -> None:
    assert sharers(gateways, servers) == shared_by
    drawn = [holders(line.name, gateways, shared_by) for line in ready(servers)]
    assert {len(set(found)) for found in drawn} <= {int(shared_by), -int(-shared_by // 1)}
    assert sum(map(len, drawn)) == pytest.approx(shared_by * servers, rel=0.05)
    assert all(max(found) < gateways for found in drawn)
    sizes = Counter(gateway for found in drawn for gateway in found)
    assert each[0] <= min(sizes[g] for g in range(gateways)) <= max(sizes.values()) <= each[1]
    loads = [sum(1.0 / sizes[gateway] for gateway in found) for found in drawn]
    mean = sum(loads) / len(loads)
    assert load[0] < min(loads) / mean <= max(loads) / mean < load[1]


@pytest.mark.parametrize(("gateways", "servers"), [(1, 10), (3, 60), (4, 24), (8, 12), (6, 14)])
def test_small_fleets_keep_all_their_servers(gateways: int, servers: int) -> None:
    assert sharers(gateways, servers) == gateways


def test_a_gateways_part_grows_and_shrinks_without_a_cliff_as_servers_come() -> None:
    sizes = [sharers(4_900, servers) * servers / 4_900 for servers in range(1_000, 97_000, 500)]
    assert min(sizes) >= 8.0 and max(sizes) <= 1.25 * SERVERS_MOST
    assert all(0.75 < after / before < 1.34 for before, after in zip(sizes, sizes[1:], strict=False))


def test_a_list_that_shrinks_moves_no_more_at_a_step_than_a_part_of_the_servers() -> None:
    lines = ready(2_000)
    before = sharers(400, 2_000)
    fewer = next(servers for servers in range(1_999, 0, -1) if sharers(400, servers) != before)
    after = sharers(400, fewer)
    assert after == before + SHARE_STEP
    drawn = [(holders(line.name, 400, before), holders(line.name, 400, after)) for line in lines]
    assert all(new[: len(old)] == old for old, new in drawn)  # none is left for another one
    assert sum(new != old for old, new in drawn) < 1.3 * SHARE_STEP * len(lines)


def test_one_server_changes_only_the_subsets_that_hold_it_and_by_itself_alone() -> None:
    lines = ready(100)
    before = [set(holders(line.name, 200, sharers(200, 100))) for line in lines]
    gateways = [Gateway(replace(FREE, gateway_index=index), seed=index, now=START) for index in range(200)]
    changed, kept = 0, 0
    for index, gateway in enumerate(gateways):
        gateway.handle(START, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, lines))
        whole = subset(gateway)
        assert whole == {line.name for line, found in zip(lines, before, strict=True) if index in found}
        gateway.handle(
            START,
            EndpointUpdate(UpdateKind.DELTA, 2, (structs.replace(lines[7], state=EndpointState.REMOVED),)),
        )
        kept += whole - {lines[7].name} <= subset(gateway)  # 99 are shared by one gateway more
        changed += lines[7].name in whole
    assert changed == 16
    assert kept == 200


def test_a_gateway_has_the_subset_that_it_had_before_it_was_started_again() -> None:
    settings, lines = replace(FREE, gateway_index=17), ready(150)
    first, again = Gateway(settings, seed=1, now=START), Gateway(settings, seed=2, now=START + SECOND)
    first.handle(START, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, lines))
    again.handle(START + SECOND, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, tuple(reversed(lines))))
    assert subset(first) == subset(again) != set()


def test_a_fleet_that_grows_by_one_gateway_moves_few_servers() -> None:
    moved = sum(len(set(picks(line.name, 201, 8)) - set(picks(line.name, 200, 8))) for line in ready(1_000))
    assert moved < 3 * 8 * 1_000 / 201


def test_a_server_outside_costs_nothing_but_its_entry() -> None:
    driver = Driver(FREE, servers=0)
    driver.members(*ready(400), kind=UpdateKind.CACHED_SNAPSHOT)
    held = len(driver.gateway.endpoints)
    outside = next(line for line in ready(400) if line.name not in driver.gateway.endpoints)
    driver.members(structs.replace(outside, started_at=driver.now))
    assert len(driver.gateway.endpoints) == held < 40


def test_a_whole_list_in_parts_ends_what_none_of_them_names_and_only_once_it_is_whole() -> None:
    roster, lines = Roster(0, 3, cells=False), ready(30)
    roster.take(EndpointUpdate(UpdateKind.SNAPSHOT, 1, lines))
    assert (
        roster.take(EndpointUpdate(UpdateKind.SNAPSHOT, 2, lines[:10], last=False)) == []
    )  # and it was broken off
    roster.take(EndpointUpdate(UpdateKind.SNAPSHOT, 2, lines[10:20], last=False))
    assert (
        roster.take(EndpointUpdate(UpdateKind.SNAPSHOT, 2, lines[:15], last=False)) == []
    )  # the next one begins anew
    gone = roster.take(EndpointUpdate(UpdateKind.SNAPSHOT, 2, lines[15:28], first=False))
    assert {line.name for line in gone} == {line.name for line in lines[28:]}
    assert {line.state for line in gone} == {EndpointState.REMOVED}
    assert roster.ready == 28


def test_what_a_part_tells_of_a_drained_server_holds_at_once() -> None:
    driver, lines = Driver(FREE, servers=0), ready(12)
    driver.members(*lines, kind=UpdateKind.CACHED_SNAPSHOT)
    own = subset(driver.gateway)
    off = [structs.replace(line, state=EndpointState.DRAINING) for line in lines if line.name in own][:3]
    driver.told_off.update((line.name, driver.now) for line in off)
    driver.feed(EndpointUpdate(UpdateKind.SNAPSHOT, 2, tuple(off), last=False))
    driver.wait(1 * SECOND)
    for tenant in range(30):
        driver.admitted(tenant=tenant)  # the driver's referee raises on an attempt to one told off
        driver.finish()
        driver.wait(10 * MS)


def test_a_long_list_is_looked_at_in_parts_and_nothing_is_passed_over() -> None:
    settings, lines = replace(FREE, fleet_size=1_000), ready(5 * REVIEW_PART + 3)
    driver = Driver(settings, servers=0)
    looked: list[int] = [0]
    update = driver.gateway.endpoints.update

    def counted(entry: Endpoint, now: int) -> None:
        looked[-1] += 1
        update(entry, now)

    driver.gateway.endpoints.update = counted  # type: ignore[method-assign]
    handle = driver.gateway.endpoints.review_next_part

    def parted(now: int) -> bool:
        looked.append(0)
        return handle(now)

    driver.gateway.endpoints.review_next_part = parted  # type: ignore[method-assign]
    for at in range(0, len(lines), 250):
        looked.append(0)
        part = EndpointUpdate(UpdateKind.SNAPSHOT, 1, lines[at : at + 250], at == 0, at + 250 >= len(lines))
        driver.feed(part)
    driver.feed(
        EndpointUpdate(UpdateKind.DELTA, 2, (structs.replace(lines[3], state=EndpointState.REMOVED),))
    )  # in the middle of it
    driver.wait(1 * SECOND)
    share = sharers(1_000, len(lines))
    assert max(looked) <= REVIEW_PART + 250
    assert subset(driver.gateway) == {
        line.name for line in lines if line != lines[3] and 0 in holders(line.name, 1_000, share)
    }


def test_thousands_gone_in_one_message_are_sent_nothing() -> None:
    driver, lines = Driver(replace(FREE, fleet_size=490), servers=0), ready(9_700)
    driver.members(*lines, kind=UpdateKind.CACHED_SNAPSHOT)
    driver.wait(1 * SECOND)
    driver.members(
        *(structs.replace(line, state=EndpointState.REMOVED) for line in lines if line.cell % 24 == 0)
    )
    driver.wait(1 * SECOND)
    for tenant in range(200):
        driver.admitted(tenant=tenant)
        driver.finish()
        driver.wait(5 * MS)


def test_a_subset_that_drains_is_filled_up_by_each_gateway_with_other_servers() -> None:
    lines, guests = ready(100), Counter[str]()
    for index in range(40):
        driver = Driver(replace(FREE, gateway_index=index), servers=0, seed=index)
        driver.members(*lines, kind=UpdateKind.CACHED_SNAPSHOT)
        own = subset(driver.gateway)
        driver.members(
            *(structs.replace(line, state=EndpointState.DRAINING) for line in lines if line.name in own)
        )
        driver.wait(2 * SECOND)
        for tenant in range(8):
            driver.admitted(tenant=tenant)
            driver.finish()
        guests.update(subset(driver.gateway) - own)
    assert len(guests) > 60
    assert max(guests.values()) <= 8


def test_guests_are_not_cold_and_leave_when_the_subset_is_good_again() -> None:
    driver, lines = Driver(FREE, servers=0), ready(100)
    driver.members(*lines, kind=UpdateKind.CACHED_SNAPSHOT)
    own = subset(driver.gateway)
    cold = [
        structs.replace(line, started_at=driver.now) for line in lines if line.name in own or line.cell < 5
    ]
    driver.members(*cold)
    for tenant in range(8):
        driver.admitted(tenant=tenant)
        driver.finish()
    guests = subset(driver.gateway) - own
    assert guests and not guests & {line.name for line in cold}
    driver.wait(SETTINGS.safety.warm_up_time + 2 * SECOND)
    driver.admitted(tenant=100)
    assert subset(driver.gateway) == own


def test_a_keyed_request_goes_on_in_its_cell_outside_the_subset() -> None:
    classes = tuple(
        replace(cls, deduplication_scope=DeduplicationScope.CELL) for cls in SETTINGS.request_classes
    )
    assert classes[IDEMPOTENCY_KEY].idempotency is Idempotency.IDEMPOTENCY_KEY
    driver, lines = Driver(replace(FREE, request_classes=classes, fleet_size=1_000), servers=0), ready(20_000)
    driver.members(*lines, kind=UpdateKind.CACHED_SNAPSHOT)
    driver.wait(1 * SECOND)
    cells = {line.name: line.cell for line in lines}
    for tenant in range(8):  # as many as the retry budget bears
        first = driver.admitted(cls=IDEMPOTENCY_KEY, tenant=tenant)
        (again,) = (a for a in driver.outcome(first.request_id, Result.ERROR) if isinstance(a, StartAttempt))
        assert cells[again.endpoint] == cells[first.endpoint]
        driver.finish()
        driver.wait(5 * SECOND)
