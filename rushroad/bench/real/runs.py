"""Runs of several rows: error rows for failed measurements, and lines fitted through the other rows."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from msgspec import structs

from rushroad.bench.options import append_results
from rushroad.bench.real.measurements import measure_cost
from rushroad.bench.real.rows import ChangesRow
from rushroad.bench.real.scenario import Scenario, log
from rushroad.bench.report import Run, fit_row
from rushroad.bench.rows import ConditionRow, ErrorRow, Row

MAX_ERROR_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class Case:
    """One row of a run: its scenario, and the condition that varies between rows."""

    condition: ConditionRow
    scenario: Scenario


def add_measured(run: Run, condition: ConditionRow, measure: Callable[[], Row]) -> None:
    """Add the row that `measure` returns, or an error row if it fails."""
    try:
        run.add_row(measure())
    except (RuntimeError, OSError) as error:
        log.error("measurement failed", error=str(error), **condition.columns())
        message = str(error)[:MAX_ERROR_CHARACTERS]
        run.add_row(ErrorRow(**structs.asdict(condition), error=message))
        return
    log.info("measurement finished", **run.rows[-1].columns())


def measure_costs(experiment: str, cases: Sequence[Case], seed: int) -> Run:
    """Return a run with one row for each case."""
    run = Run(experiment, seed, cases[0].scenario.parameters())
    for case in cases:
        add_measured(run, case.condition, partial(measure_cost, case.scenario, case.condition))
    return run


def add_fits(run: Run, x: str, ys: Iterable[str]) -> None:
    """Add a line fitted to each column in `ys` by the column `x`, if two or more rows differ in `x`.

    Rows with lost requests are left out, as the cost of lost requests is not known.
    """
    rows = [row.columns() for row in run.rows]
    for y in ys:
        points = [(float(row[x]), float(row[y])) for row in rows if y in row and not row.get("lost")]
        if len({x_value for x_value, _ in points}) > 1:
            run.add_row(fit_row(f"{y} by {x}", points))


def finish(run: Run, out: Path | None) -> None:
    """Print the table, and the record unless `out` takes it; exit with status 1 if a row has failed."""
    if out is None:
        run.write_results(sys.stdout)
    else:
        append_results(run, out)
    if any(map(_has_failed, run.rows)):
        raise SystemExit(1)


def _has_failed(row: Row) -> bool:
    """Return whether the measurement failed, or saw late attempts to removed endpoints."""
    return isinstance(row, ErrorRow) or (isinstance(row, ChangesRow) and row.late_attempts > 0)
