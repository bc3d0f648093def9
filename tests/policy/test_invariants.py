"""Property-based tests of the five rules: actions are checked over random events and settings."""

from dataclasses import replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from msgspec import structs

from rushroad.policy.events import EndpointState, Result, UpdateKind
from rushroad.policy.settings import DeduplicationScope, Idempotency, Limits, Plan, RequestClass, Settings
from tests.support.gateway_driver import MS, SECOND, SETTINGS, Driver, ready_endpoint

RESULTS = list(Result)


@st.composite
def deployments(draw: st.DrawFn) -> Settings:
    scope = draw(st.sampled_from(list(DeduplicationScope)))
    keyed_class = RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        latency_objective=SECOND,
        deadline=3 * SECOND,
        priority_weight=2.0,
        deduplication_scope=scope,
        deduplication_window=draw(st.sampled_from([200 * MS, 2 * SECOND])),
    )
    return replace(
        SETTINGS,
        request_classes=(SETTINGS.request_classes[0], keyed_class, SETTINGS.request_classes[2]),
        plans=(*SETTINGS.plans, Plan(), Plan(concurrency=3), Plan(rate=1.0, burst=4.0, concurrency=2)),
        counter=draw(st.sampled_from([None, SETTINGS.counter])),
        limits=Limits(
            max_attempts=draw(st.integers(1, 4)),
            hedging_allowed=draw(st.booleans()),
            cancellation_allowed=draw(st.booleans()),
        ),
        settles_units=draw(st.booleans()),
        uses_endpoint_weights=draw(st.booleans()),
    )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["request"] * 4 + ["outcome"] * 3 + ["counter_reply"] * 3 + ["wait", "disconnect", "update"]
        ),
        st.integers(0, 1 << 16),
    ),
    max_size=120,
)


@settings(derandomize=True, max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
@given(deployment=deployments(), steps=STEPS, seed=st.integers(0, 9))
def test_no_sequence_of_events_breaks_a_rule(
    deployment: Settings, steps: list[tuple[str, int]], seed: int
) -> None:
    driver = Driver(deployment, endpoint_count=0, seed=seed)
    driver.update_endpoints(
        *(ready_endpoint(n, cell=n % 2, zone=n % 3) for n in range(1, 6)), kind=UpdateKind.CACHED_SNAPSHOT
    )
    for step, number in steps:
        in_flight = [
            (tracked.request.id, n) for tracked in driver.requests.values() for n in sorted(tracked.in_flight)
        ]
        if step == "request":
            driver.request(
                class_index=number % 3,
                plan_index=number // 3 % 5,
                tenant=number // 15 % 4,
                units=1.0 + number // 60 % 4,
                entry_points=3,
                time_remaining=None if number % 7 else number % 50 * MS,
            )
        elif step == "outcome" and in_flight:
            request_id, attempt = in_flight[number % len(in_flight)]
            driver.outcome(request_id, RESULTS[number // 64 % len(RESULTS)], attempt)
        elif step == "counter_reply" and driver.counter_calls:
            result = Result.OK if number % 3 else RESULTS[number // 3 % len(RESULTS)]
            driver.counter_reply(float(number % 12), result)
        elif step == "wait":
            time_out_counter_calls(driver)
            driver.wait(number % 2_000 * MS)
        elif step == "disconnect" and driver.requests:
            driver.disconnect(list(driver.requests)[number % len(driver.requests)])
        elif step == "update":
            state = list(EndpointState)[number % 3]
            started_at = driver.now if number % 2 else 0
            n = number // 6 % 5 + 1
            driver.update_endpoints(
                structs.replace(ready_endpoint(n, cell=n % 2, zone=n % 3), state=state, started_at=started_at)
            )
    time_out_counter_calls(driver)
    driver.wait(10 * SECOND)
    assert all(tracked.is_answered for tracked in driver.requests.values())


def time_out_counter_calls(driver: Driver) -> None:
    """Let time pass, at most the counter's timeout, and end all calls without a reply as timed out."""
    if driver.counter_calls and driver.settings.counter is not None:
        driver.wait(min(driver.settings.counter.timeout, 8 * MS))
        while driver.counter_calls:
            driver.counter_reply(result=Result.TIMEOUT)


def test_the_same_events_give_the_same_actions() -> None:
    def run() -> list[object]:
        driver = Driver(seed=5)
        for n in range(50):
            attempt = driver.admit(tenant=n)
            driver.outcome(attempt.request_id, Result.ERROR if n % 5 == 0 else Result.OK)
        return list(driver.actions)

    assert run() == run()
