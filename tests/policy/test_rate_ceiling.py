"""The rate ceiling, the hard limit on a tenant's rate."""

from tests.support.gateway_driver import (
    CEILING_PLAN,
    NOT_IDEMPOTENT,
    SECOND,
    TENANT,
    Driver,
    action_names,
)
from tests.support.policy_scenarios import LARGE_FLEET


def test_ceiling_applies_where_the_total_would_admit() -> None:
    driver = Driver()
    driver.wait(10 * SECOND)
    for _ in range(40):  # this gateway's third of the ceiling is 20 units
        driver.request(plan_index=CEILING_PLAN, entry_points=3)
        if driver.counter_calls:
            driver.counter_reply(1.0)  # the driver raises RuleViolationError above the ceiling
        driver.finish_all()
    assert action_names(driver.actions).count("StartAttempt") <= 20


def test_ceiling_is_empty_after_a_restart() -> None:
    driver = Driver()
    driver.request(plan_index=CEILING_PLAN, entry_points=3, class_index=NOT_IDEMPOTENT)
    assert action_names(driver.actions)[-1] == "Reject"


def test_restart_does_not_refill_the_ceiling_in_a_large_fleet() -> None:
    driver = Driver(LARGE_FLEET, endpoint_count=40)
    assert action_names(
        driver.request(plan_index=CEILING_PLAN, tenant=TENANT, units=4.0, entry_points=7)
    ) == ["Reject"]
