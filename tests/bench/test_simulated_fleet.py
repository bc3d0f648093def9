"""Hollow fleets on the virtual clock: what is emulated, and short forms of the experiments on them."""

from collections.abc import Callable

import click
import pytest

from rushroad.bench.report import Run
from rushroad.bench.simulated import experiments
from rushroad.bench.simulated.fleet import LIST_MOST, MS, SECOND, Attempt, Fleet, HollowServer, Size, size_of
from rushroad.policy.events import Result
from rushroad.policy.subsetting import MAX_SUBSET_SIZE


def fleet(size: str = "6/12", seed: int = 1, **words: int) -> Fleet:
    return Fleet(size_of(size), seed, **words)  # type: ignore[arg-type]


QUIET = Size(1, 1, 0.0001)  # its gateway asks nothing while a test lasts


def attempt(told: Callable[[], None] = lambda: None) -> Attempt:
    return Attempt("", 0, told)


def test_a_fleet_at_rest_serves_all_that_it_is_asked() -> None:
    calm = fleet()
    calm.run(10 * SECOND)
    seen = calm.tallies.total(0, 10)
    assert seen["asked"] > 500
    assert seen["served"] > 0.98 * (seen["asked"] - 40)
    assert seen["failed"] == seen["falls"] == seen["attempts_gone"] == 0


def test_the_same_seed_gives_the_same_run_and_another_one_does_not() -> None:
    runs = [fleet(seed=seed) for seed in (3, 3, 4)]
    for each in runs:
        each.run(4 * SECOND)
    bins = [each.tallies.bins for each in runs]
    assert bins[0] == bins[1] != bins[2]


def test_each_request_ends_once_through_deaths_silence_and_a_lost_counter() -> None:
    troubled = fleet()
    troubled.run(3 * SECOND)
    servers, gateways = list(troubled.servers.values()), list(troubled.gateways.values())
    troubled.counter_down = servers[0].silent = servers[1].down = True
    gateways[0].end()
    troubled.run(5 * SECOND)
    gateways[0].start()
    troubled.run(5 * SECOND)
    seen = troubled.tallies.total(0, 13)
    still = sum(len(gateway.attempts) for gateway in gateways)
    assert seen["asked"] == seen["served"] + seen["refused"] + seen["failed"] + seen["lost"] + still
    assert seen["lost"] > 0
    assert seen["attempts_gone"] > 0


def cold_server(alone: Fleet) -> HollowServer:
    server = alone.join()
    server.speed = 1.0
    return server


def test_a_cold_server_falls_with_the_first_attempt_over_what_it_bears() -> None:
    alone = Fleet(QUIET, 1)
    server = cold_server(alone)
    allowed = server.allowed()
    # Nineteen parts in a hundred of 16 a second, twice that, over 1.5 s.
    mean = 2 * 0.19 * 16 * 1.5
    assert allowed == pytest.approx(mean + 2 * mean**0.5 + 2)
    for _ in range(int(allowed)):
        assert server.arrive(attempt()) is None
    assert server.arrive(attempt()) is Result.CONNECT_FAILED
    assert (server.falls, server.down) == (1, True)


def test_attempts_spread_over_the_ramp_do_not_push_a_cold_server_over() -> None:
    alone = Fleet(QUIET, 1)
    server = cold_server(alone)
    for _ in range(100):
        assert server.arrive(attempt()) is None
        alone.run(170 * MS)
    assert server.falls == 0
    assert server.warmth() == 1.0


def test_a_server_works_on_its_cores_holds_a_queue_and_turns_the_rest_away() -> None:
    alone = Fleet(QUIET, 1)
    server = next(iter(alone.servers.values()))
    told: list[int] = []
    results = [server.arrive(attempt(lambda n=n: told.append(n))) for n in range(60)]  # type: ignore[misc]
    assert results.count(None) == 44
    assert results[44:] == [Result.OVERLOADED] * 16
    alone.run(1 * SECOND)
    assert {0, 1, 2, 3} <= set(told)
    assert len(told) < 30


def test_waiting_work_that_was_given_up_is_dropped() -> None:
    alone = Fleet(QUIET, 1)
    server = next(iter(alone.servers.values()))
    told: list[int] = []
    tries = [attempt(lambda n=n: told.append(n)) for n in range(6)]  # type: ignore[misc]
    for each in tries:
        server.arrive(each)
    tries[4].over = True
    alone.run(2 * SECOND)
    assert sorted(told) == [0, 1, 2, 3, 5]


def test_what_is_not_emulated_comes_as_background_work() -> None:
    part = Fleet(size_of("4/8"), 1, sample=[0])
    part.start_background(lambda name: range(4))
    part.run(10 * SECOND)
    own = part.tallies.total(0, 10)["attempts"]
    busy = sum(server.busy for server in part.servers.values())
    assert own < 300
    assert busy > 6  # of 32 cores, where this gateway alone keeps a sixth of them at work


@pytest.mark.parametrize("text", ["", "3", "0/4", "3/x", "1/2/3"])
def test_sizes_that_are_none_are_said_so(text: str) -> None:
    with pytest.raises(click.BadParameter):
        experiments.sizes_of(text)


def rows(run: Run, column: str) -> list[float]:
    return [float(row[column]) for row in run.rows if column in row]


def test_module_cost_has_a_row_for_each_size_and_a_line_through_them() -> None:
    run = experiments.module_cost(experiments.sizes_of("2/10,2/20"), 60, 20.0, 1)
    assert rows(run, "servers") == [10, 20]
    assert min(rows(run, "requests")) > 20
    assert len(rows(run, "slope")) == 1


def test_a_request_looks_at_no_more_servers_in_a_longer_list() -> None:
    run = experiments.module_cost(experiments.sizes_of("50/1000,200/4000"), 100, 20.0, 1)
    assert max(rows(run, "looked_at")) < 1.5 * MAX_SUBSET_SIZE


def test_spread_finds_servers_shared_alike_and_little_moved_by_a_join_or_leave() -> None:
    run = experiments.spread(experiments.sizes_of("10/40,40/250"), 1)
    assert rows(run, "gateways_a_server_min") == rows(run, "gateways_a_server_max") == [8, 8]
    for change in ("join", "leave"):
        assert rows(run, f"{change}_subsets") == [8, 8]
        assert rows(run, f"{change}_members_max") == [1, 1]
    assert rows(run, "same_after_restart") == [1, 1]


def test_spread_tells_where_a_shorter_list_changes_subsets_beyond_what_it_lost() -> None:
    (row,) = experiments.spread(experiments.sizes_of("400/410"), 1).rows
    assert row["step_at_servers"] == 399
    # An eighth of the servers have one gateway more.
    assert float(row["step_members_mean"]) == pytest.approx(0.125 * 399 / 400, abs=0.05)


def test_gateways_keep_to_the_subsets_that_spread_counts() -> None:
    some = Fleet(size_of("40/300"), 1)
    some.run(1 * SECOND)
    expected = experiments.subsets(40, list(some.servers))
    kept = [{s.entry.name for s in gateway.module.endpoints.ready} for gateway in some.gateways.values()]
    assert kept == expected


def test_cold_fleet_finds_a_cold_server_that_gets_something_and_does_not_fall() -> None:
    run = experiments.cold_fleet(experiments.sizes_of("30/12,40/80"), 1, 20, 1)
    assert rows(run, "falls") == [0, 0]
    assert max(rows(run, "attempts_max")) > 0
    assert max(rows(run, "nearest")) < 1
    assert rows(run, "emulated") == [19, 8]  # of 30, and of 40, those that share it


def test_restart_tenth_loses_what_the_dead_held_and_serves_all_when_they_are_back() -> None:
    run = experiments.restart_tenth(experiments.sizes_of("30/12"), 30, 1)
    before, down, back, after = run.rows
    assert before["lost"] == back["lost"] == after["lost"] == 0 < float(down["lost"])
    assert float(back["connects"]) > float(before["connects"])
    assert float(after["served"]) > 0.9 * float(after["asked"])


def test_zone_lost_sends_nothing_to_what_is_known_as_gone_and_ends_serving_all() -> None:
    run = experiments.zone_lost(experiments.sizes_of("12/24"), (3,), 20, 1)
    *bins, total = run.rows
    told = (experiments.SILENT + LIST_MOST + 1 * SECOND) // SECOND
    back = experiments.AWAY // SECOND
    gone = {int(row["second"]): int(row["attempts_gone"]) for row in bins}
    assert sum(gone[at] for at in range(told)) > 0
    assert sum(gone[at] for at in range(told, back)) == 0
    assert sum(int(row["served"]) for row in bins[-5:]) > 0.9 * sum(int(row["asked"]) for row in bins[-5:])
    assert (total["second"], total["falls"]) == ("all", 0)
