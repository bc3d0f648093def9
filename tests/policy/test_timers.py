"""Tests for the timers of the policy."""

from dataclasses import replace

from rushroad.policy.settings import CounterSettings
from tests.support.gateway_driver import IDEMPOTENT, MS, NOT_IDEMPOTENT, SETTINGS, Driver, action_names


def test_counter_timer_of_an_admitted_request_cancels_no_attempt() -> None:
    # A request that waits for less than the counter's timeout sets a timer for its total. The timer fires
    # soon after the attempt has started and must not cancel an attempt that has no response yet.
    driver = Driver(settings=replace(SETTINGS, counter=CounterSettings(timeout=400 * MS)))
    for class_index in (IDEMPOTENT, NOT_IDEMPOTENT):
        driver.admit(class_index=class_index)
        assert "CancelAttempt" not in action_names(driver.wait(300 * MS))
        driver.finish_all()
