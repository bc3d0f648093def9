"""Eviction from the table of tenants."""

import pytest

from rushroad.policy.events import Request
from rushroad.policy.settings import Plan
from rushroad.policy.tenants import Tenant, Tenants
from tests.support.gateway_driver import CEILING_PLAN, MS, SECOND, SETTINGS, Driver

MAX_TENANTS = 100
USUAL_TENANTS = range(10)
FLOOD = range(1_000, 11_000)
PLAN: Plan = SETTINGS.plans[CEILING_PLAN]


@pytest.fixture
def tenants() -> Tenants:
    return Tenants(SETTINGS, now=0, max_tenants=MAX_TENANTS)


def request_of(tenants: Tenants, tenant_id: int, now: int) -> Tenant:
    request = Request(now, 0, CEILING_PLAN, tenant_id, 1.0, 1 * SECOND, 1)
    return tenants.refresh(request, PLAN, now)


def test_tenants_with_a_single_request_are_evicted_when_idle() -> None:
    driver = Driver()
    for tenant in range(3_000):
        driver.request(tenant=tenant, time_remaining=0)
        driver.wait(50 * MS)
    assert len(driver.gateway.tenants) < 1_000


def test_flood_of_new_tenants_is_bounded_and_keeps_the_quotas_of_those_that_come_again(
    tenants: Tenants,
) -> None:
    # Guards against: ever new names fill the memory, or push out what is known of usual customers.
    usual = [request_of(tenants, tenant_id, now) for now in (1, 2) for tenant_id in USUAL_TENANTS][-10:]
    for now, tenant_id in enumerate(FLOOD, start=3):
        request_of(tenants, tenant_id, now)
        assert len(tenants) <= MAX_TENANTS
    assert [tenants.get(tenant_id) for tenant_id in USUAL_TENANTS] == usual


@pytest.mark.parametrize("requests", [1, 2, 3])
def test_flood_is_bounded_however_often_each_new_tenant_comes(tenants: Tenants, requests: int) -> None:
    now = 0
    for tenant_id in FLOOD:
        for _ in range(requests):
            now += 1
            request_of(tenants, tenant_id, now)
        assert len(tenants) <= MAX_TENANTS
        assert len(tenants._single_request) <= 2 * MAX_TENANTS


def test_new_tenants_have_room_beside_those_that_have_returned(tenants: Tenants) -> None:
    # Guards against: once the table is full of returned tenants, no new one is known long enough to return.
    for now in range(2 * MAX_TENANTS):
        request_of(tenants, now // 2, now)
    now = 2 * MAX_TENANTS
    for tenant_id in range(1_000, 1_010):
        request_of(tenants, tenant_id, now)
    assert all(tenants.get(tenant_id) is not None for tenant_id in range(1_000, 1_010))


def test_tenant_with_open_requests_is_not_evicted(tenants: Tenants) -> None:
    # Guards against: a limit on open requests begins anew while some are open.
    open_tenants = [request_of(tenants, tenant_id, 1) for tenant_id in USUAL_TENANTS]
    for tenant in open_tenants:
        tenant.concurrency.request_opened()
    for now, tenant_id in enumerate(FLOOD, start=2):
        request_of(tenants, tenant_id, now)
    assert [tenants.get(tenant_id) for tenant_id in USUAL_TENANTS] == open_tenants


def test_evicted_tenant_does_not_find_its_ceiling_refilled(tenants: Tenants) -> None:
    # Guards against: a flood of new names lets a tenant exceed its ceiling.
    now = 100 * SECOND
    tenant = request_of(tenants, 1, now)
    assert tenant.ceiling.available_units == PLAN.ceiling_burst
    tenant.ceiling.consume(PLAN.ceiling_burst)
    for tenant_id in FLOOD:
        request_of(tenants, tenant_id, now)
    assert tenants.get(1) is None
    again = request_of(tenants, 1, now + 1 * SECOND)
    assert again.ceiling.available_units <= PLAN.ceiling_rate
