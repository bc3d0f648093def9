"""A short run of the experiment `cold-fleet`."""

from rushroad.bench.options import parse_sizes
from rushroad.bench.simulated.cold_fleet import WarmUpTotalRow, WarmUpWindowRow, run_cold_fleet
from tests.support.bench_rows import rows_of


def test_new_rate_server_gets_requests_during_warm_up_and_does_not_crash() -> None:
    run = run_cold_fleet(parse_sizes("30/12,40/80"), 1, 20, 1)
    windows, totals = rows_of(run, WarmUpWindowRow), rows_of(run, WarmUpTotalRow)
    assert [total.crashes for total in totals] == [0, 0]
    assert max(window.attempts_max for window in windows) > 0
    assert max(window.max_load for window in windows) < 1
    assert max(total.max_load for total in totals) < 1
    # Of 30 and 40 gateways, those that may send to the new server.
    assert [total.simulated_gateways for total in totals] == [19, 8]
