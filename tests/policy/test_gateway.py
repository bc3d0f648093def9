"""Tests for the path of a request through the components of the policy."""

from rushroad.policy.events import Result, UpdateKind
from tests.support.gateway_driver import NOT_IDEMPOTENT, SECOND, TENANT, Driver, action_names


def test_request_is_rejected_while_the_endpoint_list_is_empty() -> None:
    driver = Driver(endpoint_count=0)
    driver.update_endpoints(kind=UpdateKind.CACHED_SNAPSHOT)
    driver.request()
    while driver.counter_calls:
        driver.counter_reply(1.0)
    assert action_names(driver.actions)[-1] == "Reject"


def test_request_ends_before_its_latency_objective_passes() -> None:
    driver = Driver()
    attempt = driver.admit(class_index=NOT_IDEMPOTENT)
    driver.wait(2 * SECOND)
    assert action_names(driver.actions)[-1] == "Fail"
    assert attempt.timeout < 2 * SECOND


def test_request_of_a_disconnected_client_gets_no_retry() -> None:
    driver = Driver()
    attempt = driver.admit()
    driver.disconnect(attempt.request_id)
    assert action_names(driver.finish_attempt(attempt.request_id, Result.ERROR)) == []


def test_finished_requests_leave_no_state() -> None:
    driver = Driver()
    for n in range(300):
        attempt = driver.admit(tenant=n)
        driver.finish_attempt(attempt.request_id)
    driver.wait(5 * SECOND)
    assert not driver.gateway.pending_requests
    assert not len(driver.gateway.counter_calls)
    assert not len(driver.gateway.timers)


def test_disconnected_client_releases_its_open_request() -> None:
    # Otherwise the tenant would be kept in memory for ever, as tenants with open requests are never evicted,
    # and the units of a request that was never forwarded would stay counted against its quota.
    driver = Driver()
    attempt = driver.admit(units=2.0)
    driver.disconnect(attempt.request_id)
    assert driver.open_requests(TENANT) == 0
    driver.request(units=2.0)
    driver.disconnect(attempt.request_id + 1)
    assert driver.counter_calls[-1].amount == -2.0


def test_retried_request_counts_as_open_once() -> None:
    # A count too high would keep the tenant in memory and use up its limit on open requests; one too low
    # would let the tenant exceed that limit.
    driver = Driver()
    first, second = driver.admit(), driver.admit()
    driver.finish_attempt(first.request_id, Result.ERROR)
    assert driver.open_requests(TENANT) == 2
    driver.finish_attempt(first.request_id)
    assert driver.open_requests(TENANT) == 1
    driver.finish_attempt(second.request_id)
    assert driver.open_requests(TENANT) == 0


def test_request_without_time_remaining_is_rejected_at_once() -> None:
    driver = Driver()
    assert action_names(driver.request(time_remaining=0)) == ["Reject"]
