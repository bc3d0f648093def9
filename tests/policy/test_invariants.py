"""The five rules, from the actions alone, over drawn sequences of events and settings."""

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
    group = draw(st.sampled_from(list(DeduplicationScope)))
    keyed = RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        latency_objective=SECOND,
        deadline=3 * SECOND,
        priority_weight=2.0,
        deduplication_scope=group,
        deduplication_window=draw(st.sampled_from([200 * MS, 2 * SECOND])),
    )
    return replace(
        SETTINGS,
        request_classes=(SETTINGS.request_classes[0], keyed, SETTINGS.request_classes[2]),
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
        st.sampled_from(["request"] * 4 + ["outcome"] * 3 + ["counted"] * 3 + ["wait", "expire", "list"]),
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
        out = [
            (tracked.request.id, n) for tracked in driver.requests.values() for n in sorted(tracked.in_flight)
        ]
        if step == "request":
            driver.request(
                class_index=number % 3,
                plan=number // 3 % 5,
                tenant=number // 15 % 4,
                units=1.0 + number // 60 % 4,
                entry_points=3,
                time_remaining=None if number % 7 else number % 50 * MS,
            )
        elif step == "outcome" and out:
            request, attempt = out[number % len(out)]
            driver.outcome(request, RESULTS[number // 64 % len(RESULTS)], attempt)
        elif step == "counted" and driver.counter_calls:
            result = Result.OK if number % 3 else RESULTS[number // 3 % len(RESULTS)]
            driver.counter_reply(float(number % 12), result)
        elif step == "wait":
            answer_due_calls(driver)
            driver.wait(number % 2_000 * MS)
        elif step == "expire" and driver.requests:
            driver.disconnect(list(driver.requests)[number % len(driver.requests)])
        elif step == "list":
            state = list(EndpointState)[number % 3]
            started = driver.now if number % 2 else 0
            n = number // 6 % 5 + 1
            driver.update_endpoints(
                structs.replace(ready_endpoint(n, cell=n % 2, zone=n % 3), state=state, started_at=started)
            )
    answer_due_calls(driver)
    driver.wait(10 * SECOND)
    assert all(tracked.is_answered for tracked in driver.requests.values())


def answer_due_calls(driver: Driver) -> None:
    """A call that nobody answered ends as a time-out at the counter's limit."""
    if driver.counter_calls and driver.settings.counter is not None:
        driver.wait(min(driver.settings.counter.timeout, 8 * MS))
        while driver.counter_calls:
            driver.counter_reply(result=Result.TIMEOUT)


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[object]:
        driver = Driver(seed=5)
        for n in range(50):
            send = driver.admit(tenant=n)
            driver.outcome(send.request_id, Result.ERROR if n % 5 == 0 else Result.OK)
        return list(driver.actions)

    assert play() == play()
