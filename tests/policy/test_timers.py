"""Timers and what they are for."""

from dataclasses import replace

from rushroad.policy.settings import (
    CounterSettings,
)
from tests.support.gateway_driver import (
    IDEMPOTENT,
    MS,
    NOT_IDEMPOTENT,
    SETTINGS,
    Driver,
    action_names,
)


def test_counter_timer_of_an_admitted_request_cancels_no_attempt() -> None:
    # A request sets a timer for its total where it waits for less than the counter's timeout.
    # It rings when an attempt has just begun, and would end each one that is not answered by then.
    driver = Driver(settings=replace(SETTINGS, counter=CounterSettings(timeout=400 * MS)))
    for cls in (IDEMPOTENT, NOT_IDEMPOTENT):
        driver.admit(class_index=cls)
        assert "CancelAttempt" not in action_names(driver.wait(300 * MS))
        driver.finish_all()
