"""The circuit breaker and the call fraction of the shared counter."""

from rushroad.policy.actions import CounterAdd
from rushroad.policy.events import Result
from tests.support.gateway_driver import MS, SECOND, Driver, action_names
from tests.support.policy_scenarios import LARGE_FLEET, overload_counter, reply_to_oldest_call


def test_open_breaker_allows_few_trial_calls_and_closes_after_a_reply() -> None:
    driver = Driver()
    for tenant in range(40):
        driver.request(tenant=tenant)
        while driver.counter_calls:
            driver.counter_reply(result=Result.TIMEOUT)
        driver.wait(10 * MS)
        driver.finish_all()
    calls = [a for a in driver.actions if isinstance(a, CounterAdd)]
    assert len(calls) < 10
    driver.wait(1 * SECOND)
    driver.request(tenant=100)
    driver.counter_reply(1.0)
    assert action_names(driver.request(tenant=101)) == ["CounterAdd"]


def test_calls_that_fail_together_do_not_open_the_breaker() -> None:
    # Calls in one slow queue or on one broken connection fail at once. While the breaker is open, a request
    # is charged for all gateways that share the tenant, and most would be rejected needlessly.
    driver = Driver()
    driver.request(entry_point_count=4)
    assert action_names(driver.counter_reply(1.0)) == ["StartAttempt"]
    for tenant in range(1, 6):
        driver.request(tenant=tenant)
    for result in (Result.TIMEOUT, Result.TIMEOUT, Result.RESET, Result.RESET, Result.OVERLOADED):
        driver.counter_reply(result=result)
    driver.finish_all()
    driver.gateway.counter_breaker.call_fraction = 1.0  # every request calls the counter
    assert action_names(driver.request(units=2.0, entry_point_count=4)) == ["CounterAdd"]
    assert action_names(driver.counter_reply(result=Result.TIMEOUT)) == ["StartAttempt"]


def test_broken_connection_does_not_lower_the_call_fraction() -> None:
    # With fewer calls, requests would be admitted uncounted, and tenants could exceed their quotas.
    driver = Driver()
    for tenant in range(8):
        assert action_names(driver.request(tenant=tenant)) == ["CounterAdd"]
        driver.counter_reply(result=Result.RESET if tenant % 2 else Result.OK)
        driver.finish_all()


def test_timed_out_and_rejected_calls_lower_the_call_fraction() -> None:
    for result in (Result.TIMEOUT, Result.OVERLOADED):
        driver = Driver()
        for tenant in range(40):
            driver.request(tenant=tenant)
            while driver.counter_calls:
                driver.counter_reply(result=Result.OK if tenant % 4 else result)
            driver.wait(10 * MS)
            driver.finish_all()
        assert len([a for a in driver.actions if isinstance(a, CounterAdd)]) < 36


def test_call_fraction_falls_while_the_counter_is_overloaded_and_recovers() -> None:
    calls = 0
    for seed in range(10):  # the fraction at which the overload ends depends on the seed
        driver = Driver(LARGE_FLEET, endpoint_count=40, seed=seed)
        overload_counter(driver)
        for tenant in range(2000, 2040):
            calls += action_names(driver.request(tenant=tenant)).count("CounterAdd")
            while driver.counter_calls:
                reply_to_oldest_call(driver, 1.0, 45 * MS)  # in time, but not prompt: the fraction stays
            driver.finish_all()
            driver.wait(200 * MS)
    assert 40 <= calls <= 200  # of 400 requests; at least a tenth of them calls the counter
    for tenant in range(3000, 3100):
        driver.request(tenant=tenant)
        while driver.counter_calls:
            reply_to_oldest_call(driver, 1.0)
        driver.finish_all()
        driver.wait(200 * MS)
    assert action_names(driver.request(tenant=4000)) == ["CounterAdd"]
