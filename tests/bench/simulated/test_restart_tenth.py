"""A short form of the experiment `restart-tenth`."""

from rushroad.bench.options import parse_sizes
from rushroad.bench.simulated.restart_tenth import RestartRow, restart_tenth
from tests.support.bench_rows import rows_of


def test_a_restart_loses_what_the_gateways_had_pending_and_all_is_served_after_it() -> None:
    run = restart_tenth(parse_sizes("30/12"), 30, 1)
    before, down, back, after = rows_of(run, RestartRow)
    assert before.lost == back.lost == after.lost == 0 < down.lost
    assert back.connects > before.connects
    assert after.served > 0.9 * after.requests
