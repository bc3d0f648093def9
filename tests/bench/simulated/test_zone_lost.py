"""A short run of the experiment `zone-lost`."""

from rushroad.bench.options import parse_sizes
from rushroad.bench.simulated.fleet import MAX_WATCH_DELAY
from rushroad.bench.simulated.simulation import SECOND
from rushroad.bench.simulated.zone_lost import OUTAGE_TIME, SILENT_TIME, ZoneLostRow, run_zone_lost
from tests.support.bench_rows import rows_of


def test_removed_endpoints_get_no_attempts_and_service_recovers_after_the_outage() -> None:
    run = run_zone_lost(parse_sizes("12/24"), (3,), 20, 1)
    *seconds, total = rows_of(run, ZoneLostRow)
    all_notified_s = (SILENT_TIME + MAX_WATCH_DELAY + 1 * SECOND) // SECOND
    restart_s = OUTAGE_TIME // SECOND
    unavailable = {row.second: row.attempts_unavailable for row in seconds}
    assert sum(unavailable[second] for second in range(all_notified_s)) > 0
    assert sum(unavailable[second] for second in range(all_notified_s, restart_s)) == 0
    assert sum(row.served for row in seconds[-5:]) > 0.9 * sum(row.requests for row in seconds[-5:])
    assert (total.second, total.crashes) == ("all", 0)
