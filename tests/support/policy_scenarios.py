"""Settings, endpoint lists and load scenarios shared by the policy tests. Times are in microseconds."""

from dataclasses import replace

from rushroad.policy.actions import StartAttempt
from rushroad.policy.events import (
    CounterReply,
    Endpoint,
    EndpointState,
    Result,
)
from tests.support.gateway_driver import (
    MS,
    SETTINGS,
    Driver,
    action_names,
)


def next_attempt_after(attempt: StartAttempt, driver: Driver) -> StartAttempt:
    """Return the first attempt started after this one."""
    return next(a for a in driver.actions[driver.actions.index(attempt) + 1 :] if isinstance(a, StartAttempt))


def with_latency_history(driver: Driver, responses: int = 300) -> Driver:
    """Record responses from all endpoints, so that silence of one of them stands out."""
    for n in range(responses):
        attempt = driver.admit(tenant=1000 + n)
        driver.now += 20 * MS
        driver.finish_attempt(attempt.request_id)
    return driver


LARGE_FLEET = replace(SETTINGS, fleet_size=200)
LARGE_FLEET_WITHOUT_COUNTER = replace(LARGE_FLEET, counter=None)


def ready_endpoints_of_two_classes(count: int) -> tuple[Endpoint, ...]:
    """Ready endpoints, alternating between two endpoint classes."""
    return tuple(
        Endpoint(f"10.0.{n // 250}.{n % 250 + 1}:80", EndpointState.READY, endpoint_class_index=n % 2)
        for n in range(count)
    )


def reply_to_oldest_call(
    driver: Driver, total: float, elapsed: int = 1 * MS, result: Result = Result.OK
) -> list[str]:
    """Reply to the oldest counter call without a reply, as having taken `elapsed` microseconds."""
    call = driver.counter_calls.pop(0)
    return action_names(driver.handle(CounterReply(call.total_name, result, elapsed, total)))


def overload_counter(driver: Driver) -> None:
    """Let two of three calls time out, so that the counter is available but overloaded."""
    for tenant in range(1000, 1060):
        driver.request(tenant=tenant)
        timed_out = tenant % 3 < 2
        while driver.counter_calls:
            reply_to_oldest_call(driver, 0.0, 50 * MS, Result.TIMEOUT) if timed_out else reply_to_oldest_call(
                driver, 1.0, 40 * MS
            )
        driver.finish_all()
        driver.wait(60 * MS)
