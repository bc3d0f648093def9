"""Deployments, endpoint lists and load that several tests of the policy share."""

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
    """The attempt after this one."""
    return next(a for a in driver.actions[driver.actions.index(attempt) + 1 :] if isinstance(a, StartAttempt))


def with_known_latency(driver: Driver, answers: int = 300) -> Driver:
    """Many answers from all endpoints, so that one that gives none for a while owes some."""
    for n in range(answers):
        attempt = driver.admit(tenant=1000 + n)
        driver.now += 20 * MS
        driver.outcome(attempt.request_id)
    return driver


LARGE_FLEET = replace(SETTINGS, fleet_size=200)


LARGE_FLEET_WITHOUT_COUNTER = replace(LARGE_FLEET, counter=None)


def ready_endpoints(count: int) -> tuple[Endpoint, ...]:
    """Ready endpoints of two kinds."""
    return tuple(
        Endpoint(f"10.0.{n // 250}.{n % 250 + 1}:80", EndpointState.READY, endpoint_class=n % 2)
        for n in range(count)
    )


def reply_after(driver: Driver, total: float, elapsed: int = 1 * MS, result: Result = Result.OK) -> list[str]:
    """The counter's answer to the oldest open call, after so long."""
    count = driver.counter_calls.pop(0)
    return action_names(driver.handle(CounterReply(count.name, result, elapsed, total)))


def overload_counter(driver: Driver) -> None:
    """Calls that time out now and then: the counter is there, but has too much to do."""
    for tenant in range(1000, 1060):
        driver.request(tenant=tenant)
        timed_out = tenant % 3 < 2
        while driver.counter_calls:
            reply_after(driver, 0.0, 50 * MS, Result.TIMEOUT) if timed_out else reply_after(
                driver, 1.0, 40 * MS
            )
        driver.finish_all()
        driver.wait(60 * MS)
