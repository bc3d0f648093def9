"""A short form of the experiment `cold-fleet`."""

from rushroad.bench.options import parse_sizes
from rushroad.bench.simulated.cold_fleet import WarmUpTotalRow, WarmUpWindowRow, cold_fleet
from tests.support.bench_rows import rows_of


def test_a_rate_server_that_warms_up_gets_requests_and_does_not_crash() -> None:
    run = cold_fleet(parse_sizes("30/12,40/80"), 1, 20, 1)
    windows, totals = rows_of(run, WarmUpWindowRow), rows_of(run, WarmUpTotalRow)
    assert [total.crashes for total in totals] == [0, 0]
    assert max(window.attempts_max for window in windows) > 0
    assert max(window.max_load for window in windows) < 1
    assert max(total.max_load for total in totals) < 1
    assert [total.simulated_gateways for total in totals] == [19, 8]  # of 30, and of 40: those that share it
