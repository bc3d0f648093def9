"""Short forms of the experiment `spread`."""

import pytest

from rushroad.bench.options import parse_sizes
from rushroad.bench.simulated.spread import SpreadRow, spread
from tests.support.bench_rows import rows_of


def test_endpoints_are_shared_evenly_and_few_subsets_change_by_a_join_or_leave() -> None:
    rows = rows_of(spread(parse_sizes("10/40,40/250"), 1), SpreadRow)
    assert [(row.gateways_a_server_min, row.gateways_a_server_max) for row in rows] == [(8, 8), (8, 8)]
    assert [(row.join_subsets, row.leave_subsets) for row in rows] == [(8, 8), (8, 8)]
    assert [(row.max_join_changes, row.max_leave_changes) for row in rows] == [(1, 1), (1, 1)]
    assert [row.same_after_restart for row in rows] == [1, 1]


def test_spread_finds_where_a_shorter_list_changes_subsets_beyond_what_it_lost() -> None:
    (row,) = rows_of(spread(parse_sizes("400/410"), 1), SpreadRow)
    assert row.step_at_servers == 399
    # An eighth of the endpoints have one gateway more.
    assert row.step_changes_mean == pytest.approx(0.125 * 399 / 400, abs=0.05)
