"""Requests are rejected on arrival while capacity is short."""

from dataclasses import replace

from tests.support.gateway_driver import (
    IDEMPOTENCY_KEY,
    MS,
    SECOND,
    SETTINGS,
    Driver,
    action_names,
)
from tests.support.policy_scenarios import LARGE_FLEET, reply_to_oldest_call


def test_overload_is_rejected_before_an_attempt_starts() -> None:
    driver = Driver(endpoint_count=3)
    rejected = 0
    for n in range(200):
        driver.request(tenant=n)
        if driver.counter_calls:
            driver.counter_reply(1.0)
        driver.wait(10 * MS)
    rejected = action_names(driver.actions).count("Reject")
    assert rejected > 100


def test_random_burst_at_one_of_many_gateways_is_not_rejected() -> None:
    driver = Driver(LARGE_FLEET, endpoint_count=40)
    for tenant in range(3):
        actions = action_names(driver.request(tenant=tenant))
        assert "StartAttempt" in (reply_to_oldest_call(driver, 1.0) if driver.counter_calls else actions)


def test_tenants_over_their_quota_are_rejected_first_when_capacity_is_short() -> None:
    for seed in range(5):  # several seeds, as calls to the counter are sampled at random
        settings = replace(LARGE_FLEET, plans=(replace(SETTINGS.plans[0], overage_cost=1.0),))
        driver = Driver(settings, endpoint_count=40, seed=seed)
        for _ in range(30):  # totals over the quota, in separate windows
            driver.request(tenant=1)
            while driver.counter_calls:
                reply_to_oldest_call(driver, 40.0)
            driver.finish_all()
            driver.wait(8 * SECOND + 100 * MS)  # past the time within which a window may still end
        driver.gateway.load_shedding.set_credit(0.4, driver.now)
        assert action_names(driver.request(tenant=1)) == ["Reject"]
        assert action_names(driver.request(tenant=2, class_index=IDEMPOTENCY_KEY)) != ["Reject"]
