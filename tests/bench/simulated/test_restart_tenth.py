"""A short run of the experiment `restart-tenth`."""

from rushroad.bench.options import parse_sizes
from rushroad.bench.simulated.restart_tenth import RestartRow, run_restart_tenth
from tests.support.bench_rows import rows_of


def test_restart_loses_requests_only_while_gateways_are_down() -> None:
    run = run_restart_tenth(parse_sizes("30/12"), 30, 1)
    before, down, restarted, after = rows_of(run, RestartRow)
    assert before.lost == restarted.lost == after.lost == 0 < down.lost
    assert restarted.connects > before.connects
    assert after.served > 0.9 * after.requests
