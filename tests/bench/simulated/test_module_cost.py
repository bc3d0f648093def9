"""Short runs of the experiment `module-cost`."""

from rushroad.bench.options import parse_sizes
from rushroad.bench.rows import FitRow
from rushroad.bench.simulated.module_cost import ModuleCostRow, run_module_cost
from rushroad.policy.subsetting import MAX_SUBSET_SIZE
from tests.support.bench_rows import rows_of


def test_module_cost_has_a_row_for_each_size_and_a_fitted_line() -> None:
    run = run_module_cost(parse_sizes("2/10,2/20"), 60, 20.0, 1)
    rows = rows_of(run, ModuleCostRow)
    assert [row.servers for row in rows] == [10, 20]
    assert min(row.requests for row in rows) > 20
    assert len(rows_of(run, FitRow)) == 1


def test_endpoints_examined_per_request_are_bounded_by_the_subset_size() -> None:
    run = run_module_cost(parse_sizes("50/1000,200/4000"), 100, 20.0, 1)
    assert max(row.endpoints_examined for row in rows_of(run, ModuleCostRow)) < 1.5 * MAX_SUBSET_SIZE
