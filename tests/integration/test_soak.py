"""A short, seeded soak; the long one is run by hand."""

from tests.integration.soak import soak
from tests.support.loopback import run_for

SEEDS, JOBS = 6, 2


def test_no_rule_is_broken_by_signals_in_series_load_and_the_earliest_kill() -> None:
    async def scenario() -> None:
        runs = await soak(1, SEEDS, JOBS)
        assert {run.seed: run.broken for run in runs if run.broken} == {}
        judged = [run for run in runs if not run.outcomes["void"]]
        assert all(sum(run.outcomes.values()) > 100 for run in judged)

    run_for(120.0, scenario)
