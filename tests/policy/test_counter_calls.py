"""Counter calls that have no reply yet, and the names of totals."""

import pytest

from rushroad.policy.actions import CounterAdd
from rushroad.policy.counter_calls import (
    CountedResource,
    CounterCall,
    CounterCalls,
    concurrency_total_name,
    tenant_of_units_total,
    units_total_name,
)
from rushroad.policy.outbox import Outbox
from rushroad.policy.tenants import Tenants
from tests.support.gateway_driver import QUOTA_PLAN, SECOND, SETTINGS, START

MAX_TENANT_ID = (1 << 33) - 1


def test_replies_for_one_name_match_its_calls_in_order() -> None:
    outbox = Outbox()
    calls, tenants = CounterCalls(outbox), Tenants(SETTINGS, START)
    tenant = tenants.create(77, SETTINGS.plans[QUOTA_PLAN], START)
    for amount in (1.0, 2.0, 3.0):
        calls.add(units_total_name(77), CounterCall(CountedResource.UNITS, tenant, amount, None), SECOND)
    assert outbox.actions[0] == CounterAdd(units_total_name(77), 1.0, SECOND)
    assert [calls.take_oldest(units_total_name(77)).amount for _ in range(3)] == [1.0, 2.0, 3.0]
    assert len(calls) == 0


@pytest.mark.parametrize("tenant_id", [0, 1, MAX_TENANT_ID])
def test_name_of_a_total_identifies_its_tenant_and_resource(tenant_id: int) -> None:
    assert tenant_of_units_total(units_total_name(tenant_id)) == tenant_id
    assert tenant_of_units_total(concurrency_total_name(tenant_id)) is None
    assert concurrency_total_name(tenant_id) < 1 << 64
