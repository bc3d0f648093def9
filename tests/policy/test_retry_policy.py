"""Retries, hedged requests and attempt timeouts."""

from dataclasses import replace

import pytest

from rushroad.policy.events import (
    Result,
    UpdateKind,
)
from rushroad.policy.settings import (
    DeduplicationScope,
    Idempotency,
    Limits,
    RequestClass,
)
from tests.support.gateway_driver import (
    IDEMPOTENCY_KEY,
    IDEMPOTENT,
    MS,
    NOT_IDEMPOTENT,
    SECOND,
    SETTINGS,
    TENANT,
    Driver,
    action_names,
    ready_endpoint,
)
from tests.support.policy_scenarios import next_attempt_after, with_latency_history

HEDGING = replace(SETTINGS, limits=Limits(max_attempts=4, cancellation_allowed=True, hedging_allowed=True))


@pytest.mark.parametrize("result", [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED])
def test_non_idempotent_request_that_may_have_been_executed_fails_without_a_retry(result: Result) -> None:
    driver = Driver()
    attempt = driver.admit(class_index=NOT_IDEMPOTENT)
    assert action_names(driver.outcome(attempt.request_id, result)) == ["Fail"]


@pytest.mark.parametrize("result", [Result.OVERLOADED, Result.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [IDEMPOTENT, IDEMPOTENCY_KEY, NOT_IDEMPOTENT])
def test_request_proven_not_executed_is_retried_at_another_endpoint(result: Result, class_index: int) -> None:
    driver = Driver()
    attempt = driver.admit(class_index=class_index)
    assert action_names(driver.outcome(attempt.request_id, result)) == ["StartAttempt"]
    assert next_attempt_after(attempt, driver).endpoint != attempt.endpoint


def test_idempotent_request_is_retried_after_an_error() -> None:
    driver = Driver()
    attempt = driver.admit()
    assert action_names(driver.outcome(attempt.request_id, Result.ERROR)) == ["StartAttempt"]


def test_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    short_window = replace(SETTINGS.request_classes[IDEMPOTENCY_KEY], deduplication_window=100 * MS)
    driver = Driver(replace(SETTINGS, request_classes=(SETTINGS.request_classes[0], short_window)))
    attempt = driver.admit(class_index=IDEMPOTENCY_KEY)
    driver.now += 150 * MS
    assert action_names(driver.outcome(attempt.request_id, Result.ERROR)) in (["Reject"], ["Fail"])


def test_keyed_request_is_not_retried_where_its_connection_may_outlast_the_window() -> None:
    # The key may have expired by the time a new connection is established and the retry is sent.
    keyed = replace(
        SETTINGS.request_classes[IDEMPOTENCY_KEY], latency_objective=3 * SECOND, deduplication_window=SECOND
    )
    limits = replace(SETTINGS.limits, connect_timeout=250 * MS)
    for elapsed, expected in ((740 * MS, ["StartAttempt"]), (760 * MS, ["Fail"])):
        driver = Driver(
            replace(SETTINGS, request_classes=(SETTINGS.request_classes[0], keyed), limits=limits)
        )
        attempt = driver.admit(class_index=IDEMPOTENCY_KEY)
        driver.now += elapsed
        assert action_names(driver.outcome(attempt.request_id, Result.ERROR)) == expected


def test_keyed_request_is_retried_only_within_its_cell() -> None:
    cell_scoped = RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        latency_objective=SECOND,
        deadline=3 * SECOND,
        priority_weight=1.0,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=SECOND,
    )
    driver = Driver(replace(SETTINGS, request_classes=(cell_scoped,)), endpoint_count=0)
    driver.update_endpoints(
        *(ready_endpoint(n, cell=n % 2) for n in range(1, 7)), kind=UpdateKind.CACHED_SNAPSHOT
    )
    attempt = driver.admit(class_index=0)
    driver.outcome(attempt.request_id, Result.ERROR)
    retry = next_attempt_after(attempt, driver)
    assert driver.endpoints[retry.endpoint].cell == driver.endpoints[attempt.endpoint].cell


def test_retries_stop_when_the_budget_is_spent() -> None:
    driver = Driver()
    attempts = 0
    for tenant in range(60):
        attempt = driver.admit(tenant=tenant)
        for _ in range(4):
            if not driver.requests[attempt.request_id].is_answered:
                driver.outcome(attempt.request_id, Result.ERROR)
        attempts += len(driver.requests[attempt.request_id].attempts)
    assert attempts < 60 + 10 + 60 * 0.2


def test_attempt_at_a_silent_endpoint_is_hedged_where_hedging_is_allowed() -> None:
    # The endpoint may only be slow, and it continues the execution in any case. Cancelling would close the
    # connection, and the gateway would count the cancelled attempt as still waiting at the endpoint.
    driver = with_latency_history(Driver(HEDGING))
    attempt = driver.admit()
    assert action_names(driver.wait(600 * MS)) == ["StartAttempt"]
    second = next_attempt_after(attempt, driver)
    assert (second.request_id, second.endpoint != attempt.endpoint) == (attempt.request_id, True)
    assert action_names(driver.wait(390 * MS)) == []  # the second attempt gets the remaining time
    assert action_names(driver.outcome(attempt.request_id, Result.OK, 0)) == []
    assert action_names(driver.outcome(attempt.request_id, Result.OK, 1)) == []
    assert driver.open_requests(TENANT) == 0


@pytest.mark.parametrize("class_index", [IDEMPOTENCY_KEY, NOT_IDEMPOTENT])
def test_request_that_is_not_idempotent_is_not_hedged(class_index: int) -> None:
    driver = with_latency_history(Driver(HEDGING))
    driver.admit(class_index=class_index)
    assert "StartAttempt" not in action_names(driver.wait(700 * MS))


def test_retry_gets_all_the_remaining_time() -> None:
    driver = with_latency_history(Driver())
    attempt = driver.admit()
    assert action_names(driver.wait(600 * MS)) == ["CancelAttempt"]
    driver.outcome(attempt.request_id, Result.CANCELLED)
    assert "CancelAttempt" not in action_names(driver.wait(390 * MS))
