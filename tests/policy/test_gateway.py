"""Servers, attempts and answers."""

from dataclasses import replace

import pytest
from msgspec import structs

from rushroad.policy.actions import CancelAttempt, CounterAdd, StartAttempt
from rushroad.policy.events import EndpointState, EndpointUpdate, Result, UpdateKind
from rushroad.policy.settings import DeduplicationScope, Idempotency, Limits, RequestClass
from tests.support.gateway_driver import (
    IDEMPOTENCY_KEY,
    IDEMPOTENT,
    MS,
    NOT_IDEMPOTENT,
    SECOND,
    SETTINGS,
    TENANT,
    Driver,
    kinds,
    line,
)


def other(send: StartAttempt, driver: Driver) -> StartAttempt:
    """The attempt after this one."""
    return next(a for a in driver.actions[driver.actions.index(send) + 1 :] if isinstance(a, StartAttempt))


@pytest.mark.parametrize("result", [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED])
def test_a_once_request_that_may_have_run_is_failed_not_sent_again(result: Result) -> None:
    driver = Driver()
    send = driver.admitted(cls=NOT_IDEMPOTENT)
    assert kinds(driver.outcome(send.request_id, result)) == ["Fail"]


@pytest.mark.parametrize("result", [Result.OVERLOADED, Result.CONNECT_FAILED])
@pytest.mark.parametrize("cls", [IDEMPOTENT, IDEMPOTENCY_KEY, NOT_IDEMPOTENT])
def test_what_never_ran_is_sent_elsewhere(result: Result, cls: int) -> None:
    driver = Driver()
    send = driver.admitted(cls=cls)
    assert kinds(driver.outcome(send.request_id, result)) == ["StartAttempt"]
    assert other(send, driver).endpoint != send.endpoint


def test_a_repeatable_request_is_sent_again_after_an_error() -> None:
    driver = Driver()
    send = driver.admitted()
    assert kinds(driver.outcome(send.request_id, Result.ERROR)) == ["StartAttempt"]


def test_a_keyed_request_is_not_sent_again_once_the_key_is_forgotten() -> None:
    forgetful = replace(SETTINGS.request_classes[IDEMPOTENCY_KEY], deduplication_window=100 * MS)
    driver = Driver(replace(SETTINGS, request_classes=(SETTINGS.request_classes[0], forgetful)))
    send = driver.admitted(cls=IDEMPOTENCY_KEY)
    driver.now += 150 * MS
    assert kinds(driver.outcome(send.request_id, Result.ERROR)) in (["Reject"], ["Fail"])


def test_a_keyed_request_is_not_sent_again_where_its_connection_may_come_up_too_late() -> None:
    # The key may be forgotten by the time a new connection is up and the repeat goes out.
    keyed = replace(
        SETTINGS.request_classes[IDEMPOTENCY_KEY], latency_objective=3 * SECOND, deduplication_window=SECOND
    )
    limits = replace(SETTINGS.limits, connect_timeout=250 * MS)
    for passed, then in ((740 * MS, ["StartAttempt"]), (760 * MS, ["Fail"])):
        driver = Driver(
            replace(SETTINGS, request_classes=(SETTINGS.request_classes[0], keyed), limits=limits)
        )
        send = driver.admitted(cls=IDEMPOTENCY_KEY)
        driver.now += passed
        assert kinds(driver.outcome(send.request_id, Result.ERROR)) == then


def test_a_keyed_request_stays_in_its_cell() -> None:
    celled = RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        latency_objective=SECOND,
        deadline=3 * SECOND,
        priority_weight=1.0,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=SECOND,
    )
    driver = Driver(replace(SETTINGS, request_classes=(celled,)), servers=0)
    driver.members(*(line(n, cell=n % 2) for n in range(1, 7)), kind=UpdateKind.CACHED_SNAPSHOT)
    send = driver.admitted(cls=0)
    driver.outcome(send.request_id, Result.ERROR)
    again = other(send, driver)
    assert driver.lines[again.endpoint].cell == driver.lines[send.endpoint].cell


def test_repeats_stop_when_the_retry_budget_is_spent() -> None:
    driver = Driver()
    sends = 0
    for tenant in range(60):
        send = driver.admitted(tenant=tenant)
        for _ in range(4):
            if not driver.lives[send.request_id].over:
                driver.outcome(send.request_id, Result.ERROR)
        sends += len(driver.lives[send.request_id].sent)
    assert sends < 60 + 10 + 60 * 0.2


def test_a_draining_server_gets_nothing_new() -> None:
    driver = Driver(servers=2)
    driver.members(structs.replace(line(1), state=EndpointState.DRAINING))
    assert {driver.admitted(tenant=n).endpoint for n in range(6)} == {line(2).name}


def test_a_removed_server_gets_nothing_new() -> None:
    driver = Driver(servers=2)
    driver.members(structs.replace(line(1), state=EndpointState.REMOVED))
    assert {driver.admitted(tenant=n).endpoint for n in range(6)} == {line(2).name}


def test_an_empty_list_refuses() -> None:
    driver = Driver(servers=0)
    driver.members(kind=UpdateKind.CACHED_SNAPSHOT)
    driver.request()
    while driver.calls:
        driver.counted(1.0)
    assert kinds(driver.actions)[-1] == "Reject"


def test_a_server_that_fails_is_set_aside() -> None:
    driver = Driver(servers=4)
    bad = line(1).name
    for n in range(40):
        send = driver.admitted(tenant=n)
        driver.now += 20 * MS
        driver.outcome(send.request_id, Result.ERROR if send.endpoint == bad else Result.OK)
        if not driver.lives[send.request_id].over:
            driver.outcome(send.request_id)
    late = [a for a in driver.actions if isinstance(a, StartAttempt)][-20:]
    assert sum(send.endpoint == bad for send in late) <= 2


def busy(driver: Driver, answers: int = 300) -> Driver:
    """Many answers from all servers, so that one that gives none for a while owes some."""
    for n in range(answers):
        send = driver.admitted(tenant=1000 + n)
        driver.now += 20 * MS
        driver.outcome(send.request_id)
    return driver


def test_a_silent_server_is_left_by_what_may_be_repeated() -> None:
    driver = busy(Driver(servers=4))
    stuck = driver.admitted(tenant=50)
    actions = driver.wait(600 * MS)
    assert CancelAttempt(stuck.request_id, 0) in actions
    driver.outcome(stuck.request_id, Result.CANCELLED)
    assert other(stuck, driver).endpoint != stuck.endpoint


def test_a_slow_answer_is_waited_for_where_a_gateway_sees_little_of_each_server() -> None:
    # Forty gateways see each server so seldom that the one slow request is all that each has there.
    driver = Driver(replace(SETTINGS, fleet_size=40), servers=60)
    for n in range(60):
        send = driver.admitted(tenant=1000 + n)
        driver.now += 100 * MS
        driver.outcome(send.request_id)
    slow = driver.admitted(tenant=50)
    assert CancelAttempt(slow.request_id, 0) not in driver.wait(900 * MS)
    driver.outcome(slow.request_id)
    endpoint = driver.gateway.endpoints.get(slow.endpoint)
    assert endpoint is not None
    assert not endpoint.outlier.ejected


def test_a_slow_server_that_answers_others_is_waited_for() -> None:
    driver = Driver(servers=1)
    slow = driver.admitted(tenant=50)
    driver.wait(300 * MS)
    quick = driver.admitted(tenant=51)
    driver.outcome(quick.request_id)
    assert CancelAttempt(slow.request_id, 0) not in driver.wait(400 * MS)


def test_a_request_is_ended_before_its_aim_passes() -> None:
    driver = Driver()
    send = driver.admitted(cls=NOT_IDEMPOTENT)
    driver.wait(2 * SECOND)
    assert kinds(driver.actions)[-1] == "Fail"
    assert send.timeout < 2 * SECOND


def test_overload_is_refused_before_anything_is_sent() -> None:
    driver = Driver(servers=3)
    refused = 0
    for n in range(200):
        driver.request(tenant=n)
        if driver.calls:
            driver.counted(1.0)
        driver.wait(10 * MS)
    refused = kinds(driver.actions).count("Reject")
    assert refused > 100


def test_an_overdriven_server_is_left_to_drain() -> None:
    """Attempts given up go on waiting at a server that does not answer: they count as held by it."""
    driver = Driver(replace(SETTINGS, limits=Limits(max_attempts=1)), servers=2)
    stuck = line(1).name
    for n in range(200):
        driver.request(tenant=n)
        driver.counted(1.0) if driver.calls else None
        driver.wait(50 * MS)
        for life in list(driver.lives.values()):
            for attempt in sorted(life.live):
                if life.sent[attempt][0] != stuck:
                    driver.outcome(life.request.id, Result.OK, attempt)
    sends = [a.endpoint for a in driver.actions if isinstance(a, StartAttempt)]
    assert sends.count(stuck) < 15 < 150 < len(sends)


def test_a_refused_request_that_was_counted_is_taken_off_again() -> None:
    driver = Driver(servers=2)
    for n in range(8):
        driver.request(tenant=n)  # all wait for their totals while there is room
    while driver.calls:
        driver.counted(1.0)
    refused = kinds(driver.actions).count("Reject")
    amounts = [a.amount for a in driver.actions if isinstance(a, CounterAdd)]
    assert refused > 0
    assert amounts.count(-1.0) == refused


def test_a_cold_server_gets_less_than_a_warm_one() -> None:
    driver = Driver(servers=3)
    cold = line(9).name
    for n in range(400):
        if n == 200:
            driver.members(structs.replace(line(9), started_at=driver.now))
        send = driver.admitted(tenant=n)
        driver.now += 25 * MS
        driver.outcome(send.request_id)
    sends = [a for a in driver.actions if isinstance(a, StartAttempt)][200:]
    to_cold = sum(send.endpoint == cold for send in sends)
    # 5 s at under 2 x 0.5 of what a warm one takes of this gateway's 40 a second
    assert 0 < to_cold < 5 * 40 / 3


def test_an_expired_request_gets_no_further_attempt() -> None:
    driver = Driver()
    send = driver.admitted()
    driver.expire(send.request_id)
    assert kinds(driver.outcome(send.request_id, Result.ERROR)) == []


def test_state_of_ended_requests_is_dropped() -> None:
    driver = Driver()
    for n in range(300):
        send = driver.admitted(tenant=n)
        driver.outcome(send.request_id)
    driver.wait(5 * SECOND)
    assert not driver.gateway.pending
    assert not len(driver.gateway.counter_calls)
    assert not len(driver.gateway.timers)


def test_servers_that_refuse_connects_are_left_even_if_they_are_most() -> None:
    driver = Driver(servers=4)
    alive = line(1).name
    for n in range(60):
        driver.request(tenant=n)
        driver.counted(1.0) if driver.calls else None
        for life in list(driver.lives.values()):
            while life.live and not life.over:
                up = life.sent[max(life.sent)][0] == alive
                driver.outcome(life.request.id, Result.OK if up else Result.CONNECT_FAILED)
        driver.now += 5 * MS
    sends = [a.endpoint for a in driver.actions if isinstance(a, StartAttempt)]
    assert len(sends) - sends.count(alive) <= 9


def test_a_list_that_must_be_asked_for_is_watched_and_asked_again_after_a_failure() -> None:
    safety = replace(SETTINGS.safety, poll_interval=10 * SECOND)
    driver = Driver(replace(SETTINGS, polls_endpoints=True, safety=safety))
    assert kinds(driver.actions) == ["WatchEndpoints"]
    driver.feed(EndpointUpdate(UpdateKind.FAILED, 2, ()))
    assert kinds(driver.wait(2 * SECOND)) == ["WatchEndpoints"]
    assert driver.admitted().endpoint in driver.lines  # the list before stays


SECOND_COPIES = replace(
    SETTINGS, limits=Limits(max_attempts=4, cancellation_allowed=True, hedging_allowed=True)
)


def test_where_a_second_copy_may_be_out_a_silent_server_is_not_given_up() -> None:
    # It may only be slow, and what runs there goes on in any case. A cancel ends the connection and makes the
    # gateway take what it gave up for work that still waits there.
    driver = busy(Driver(SECOND_COPIES))
    send = driver.admitted()
    assert kinds(driver.wait(600 * MS)) == ["StartAttempt"]
    second = other(send, driver)
    assert (second.request_id, second.endpoint != send.endpoint) == (send.request_id, True)
    assert kinds(driver.wait(390 * MS)) == []  # the second has the rest of the time
    assert kinds(driver.outcome(send.request_id, Result.OK, 0)) == []
    assert kinds(driver.outcome(send.request_id, Result.OK, 1)) == []
    assert driver.open_requests(TENANT) == 0


@pytest.mark.parametrize("cls", [IDEMPOTENCY_KEY, NOT_IDEMPOTENT])
def test_no_second_copy_is_sent_of_what_is_not_safe_to_repeat(cls: int) -> None:
    driver = busy(Driver(SECOND_COPIES))
    driver.admitted(cls=cls)
    assert "StartAttempt" not in kinds(driver.wait(700 * MS))


def test_a_further_attempt_has_all_the_time_that_is_left() -> None:
    driver = busy(Driver())
    send = driver.admitted()
    assert kinds(driver.wait(600 * MS)) == ["CancelAttempt"]
    driver.outcome(send.request_id, Result.CANCELLED)
    assert "CancelAttempt" not in kinds(driver.wait(390 * MS))


def test_a_client_that_leaves_frees_what_it_had() -> None:
    # Guards memory, as a tenant with anything open is kept, and the quota: what was not sent is not used.
    driver = Driver()
    send = driver.admitted(units=2.0)
    driver.expire(send.request_id)
    assert driver.open_requests(TENANT) == 0
    driver.request(units=2.0)
    driver.expire(send.request_id + 1)
    assert driver.calls[-1].amount == -2.0


def test_attempts_given_up_at_a_server_that_never_answers_are_forgotten() -> None:
    driver = Driver(servers=1)
    for _ in range(60):
        driver.request(tenant=driver.next_id)
        while driver.calls:
            driver.counted(1.0)
        driver.wait(2 * SECOND)
    assert kinds(driver.actions).count("StartAttempt") > 20
    endpoint = driver.gateway.endpoints.get("10.0.0.1:80")
    assert endpoint is not None
    assert not endpoint.concurrency.in_flight
    assert endpoint.concurrency.count(abandoned_since=0) <= 6


def test_a_request_that_is_sent_again_is_open_once() -> None:
    # Guards plans that cap what is out, and memory: the count must come back to nothing, and not before.
    driver = Driver()
    first, second = driver.admitted(), driver.admitted()
    driver.outcome(first.request_id, Result.ERROR)
    assert driver.open_requests(TENANT) == 2
    driver.outcome(first.request_id)
    assert driver.open_requests(TENANT) == 1
    driver.outcome(second.request_id)
    assert driver.open_requests(TENANT) == 0


def test_what_was_given_up_at_one_server_takes_no_room_at_the_others() -> None:
    # Servers that pause hold what was given up; those that answer must not go idle for it.
    driver = Driver()
    paused = driver.gateway.endpoints.ready[0]
    for _ in range(8):  # more than the limits of all four come to
        paused.concurrency.abandon(driver.now, abandoned_since=0)
    assert driver.admitted().endpoint != paused.entry.name
