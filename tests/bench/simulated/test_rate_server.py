"""Simulated rate servers: cores, queue, warm-up and crash."""

from collections.abc import Callable

import pytest

from rushroad.bench.simulated.fleet import Fleet
from rushroad.bench.simulated.rate_server import Attempt, SimulatedRateServer
from rushroad.bench.simulated.simulation import MILLISECOND, SECOND
from rushroad.policy.events import Result


@pytest.fixture
def rate_server(idle_fleet: Fleet) -> SimulatedRateServer:
    """A rate server after its warm-up."""
    (server,) = idle_fleet.rate_servers.values()
    return server


@pytest.fixture
def warming_up(idle_fleet: Fleet) -> SimulatedRateServer:
    """A rate server of speed 1 that has just started."""
    server = idle_fleet.add_rate_server()
    server.speed = 1.0
    return server


def attempt(on_served: Callable[[], None] = lambda: None) -> Attempt:
    return Attempt("", 0, on_served)


def numbered_attempts(count: int, served: list[int]) -> list[Attempt]:
    """Return attempts that append their number to `served` when they are served."""

    def numbered(number: int) -> Attempt:
        return attempt(lambda: served.append(number))

    return [numbered(number) for number in range(count)]


def test_rate_server_in_warm_up_crashes_at_the_first_attempt_beyond_the_allowed_number(
    warming_up: SimulatedRateServer,
) -> None:
    allowed = warming_up.allowed_attempts_in_window()
    # Overload multiple 2, initial capacity 19% of 16 requests/s, overload window 1.5 s.
    mean = 2 * 0.19 * 16 * 1.5
    assert allowed == pytest.approx(mean + 2 * mean**0.5 + 2)
    for _ in range(int(allowed)):
        assert warming_up.receive_attempt(attempt()) is None
    assert warming_up.receive_attempt(attempt()) is Result.CONNECT_FAILED
    assert (warming_up.crashes, warming_up.down) == (1, True)


def test_rate_server_survives_attempts_spread_over_its_warm_up(
    idle_fleet: Fleet, warming_up: SimulatedRateServer
) -> None:
    for _ in range(100):
        assert warming_up.receive_attempt(attempt()) is None
        idle_fleet.run(170 * MILLISECOND)
    assert warming_up.crashes == 0
    assert warming_up.capacity_fraction() == 1.0


def test_rate_server_executes_on_its_cores_queues_attempts_and_rejects_the_rest(
    idle_fleet: Fleet, rate_server: SimulatedRateServer
) -> None:
    served: list[int] = []
    results = [rate_server.receive_attempt(each) for each in numbered_attempts(60, served)]
    assert results.count(None) == 44  # 4 on the cores and 40 in the queue
    assert results[44:] == [Result.OVERLOADED] * 16
    idle_fleet.run(1 * SECOND)
    assert {0, 1, 2, 3} <= set(served)
    assert len(served) < 30


def test_queued_attempt_that_has_finished_at_its_gateway_is_dropped(
    idle_fleet: Fleet, rate_server: SimulatedRateServer
) -> None:
    served: list[int] = []
    attempts = numbered_attempts(6, served)
    for each in attempts:
        rate_server.receive_attempt(each)
    attempts[4].finished = True
    idle_fleet.run(2 * SECOND)
    assert sorted(served) == [0, 1, 2, 3, 5]
