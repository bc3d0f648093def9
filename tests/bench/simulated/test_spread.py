"""Short runs of the experiment `spread`."""

import pytest

from rushroad.bench.options import parse_sizes
from rushroad.bench.simulated.spread import SpreadRow, run_spread
from tests.support.bench_rows import rows_of


def test_subsets_are_balanced_and_a_join_or_leave_changes_few_of_them() -> None:
    rows = rows_of(run_spread(parse_sizes("10/40,40/250"), 1), SpreadRow)
    assert [(row.gateways_per_server_min, row.gateways_per_server_max) for row in rows] == [(8, 8), (8, 8)]
    assert [(row.join_subsets, row.leave_subsets) for row in rows] == [(8, 8), (8, 8)]
    assert [(row.max_join_changes, row.max_leave_changes) for row in rows] == [(1, 1), (1, 1)]
    assert [row.same_after_restart for row in rows] == [1, 1]


def test_spread_finds_the_list_length_at_which_remaining_endpoints_change_subsets() -> None:
    (row,) = rows_of(run_spread(parse_sizes("400/410"), 1), SpreadRow)
    assert row.step_at_servers == 399
    # An eighth of the endpoints get one more gateway.
    assert row.step_changes_mean == pytest.approx(0.125 * 399 / 400, abs=0.05)
