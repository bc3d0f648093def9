"""Tests of runs of several rows: error rows, and lines fitted through the other rows."""

from pathlib import Path

import pytest
from msgspec import structs

from rushroad.bench.real.rows import ChangesRow
from rushroad.bench.real.runs import add_fits, add_measured, finish
from rushroad.bench.report import Run
from rushroad.bench.rows import ConditionRow, ErrorRow, FitRow
from tests.support.bench_rows import rows_of


@pytest.fixture
def run() -> Run:
    return Run("changes", 1, {})


@pytest.fixture
def changes_row() -> ChangesRow:
    """A row without lost requests or late attempts."""
    return ChangesRow(
        servers=60,
        burst=30,
        stall_quiet_ms=1.0,
        cpu_quiet_s=0.1,
        stall_one_ms=1.0,
        cpu_one_s=0.1,
        stall_burst_ms=2.0,
        cpu_burst_s=0.1,
        requests=10,
        served=10,
        rejected=0,
        failed=0,
        lost=0,
        wrong=0,
        attempts=10,
        late_attempts=0,
        peak_mb=30.0,
    )


def test_a_run_without_failed_rows_does_not_exit(run: Run, changes_row: ChangesRow, tmp_path: Path) -> None:
    run.add_row(changes_row)
    finish(run, tmp_path / "out.jsonl")
    assert len((tmp_path / "out.jsonl").read_text().splitlines()) == 1


def test_a_late_attempt_sets_the_exit_status_to_1(run: Run, changes_row: ChangesRow, tmp_path: Path) -> None:
    run.add_row(structs.replace(changes_row, late_attempts=1))
    with pytest.raises(SystemExit, match="1"):
        finish(run, tmp_path / "out.jsonl")


def test_an_error_row_has_the_condition_and_the_start_of_the_error(run: Run) -> None:
    def measure() -> ConditionRow:
        raise RuntimeError("x" * 300)

    add_measured(run, ConditionRow(rate=43.0), measure)
    assert run.rows == [ErrorRow(rate=43.0, error="x" * 200)]


def test_rows_with_lost_requests_are_left_out_of_fitted_lines(run: Run, changes_row: ChangesRow) -> None:
    for servers, peak_mb, lost in ((60, 1.0, 0), (80, 9.0, 3), (100, 3.0, 0)):
        run.add_row(structs.replace(changes_row, servers=servers, peak_mb=peak_mb, lost=lost))
    add_fits(run, "servers", ["peak_mb"])
    (line,) = rows_of(run, FitRow)
    assert line.fit == "peak_mb by servers"
    assert line.slope == pytest.approx(0.05)
