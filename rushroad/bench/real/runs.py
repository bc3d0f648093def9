"""Runs of several rows: error rows in place of what can't be measured, and lines fitted through the rows."""

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
from rushroad.bench.real.scene import Scene, log
from rushroad.bench.report import Run, fit_row
from rushroad.bench.rows import ConditionRow, ErrorRow, Row

MAX_ERROR_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class Case:
    """One row of a run: its scene, and what differs in it from the other rows."""

    condition: ConditionRow
    scene: Scene


def add_measured(run: Run, condition: ConditionRow, measure: Callable[[], Row]) -> None:
    """Add a measured row, or an error row where it could not be measured."""
    try:
        run.add_row(measure())
    except (RuntimeError, OSError) as error:
        log.error("not measured", error=str(error), **condition.columns())
        message = str(error)[:MAX_ERROR_CHARACTERS]
        run.add_row(ErrorRow(**structs.asdict(condition), error=message))
        return
    log.info("measured", **run.rows[-1].columns())


def measure_costs(experiment: str, cases: Sequence[Case], seed: int) -> Run:
    """A run with one row a case."""
    run = Run(experiment, seed, cases[0].scene.parameters())
    for case in cases:
        add_measured(run, case.condition, partial(measure_cost, case.scene, case.condition))
    return run


def add_fits(run: Run, x: str, ys: Iterable[str]) -> None:
    """Add a line through the run's rows for each column of `ys`, where two or more rows differ in `x`.

    Rows with lost requests are left out: what these would have cost is not known.
    """
    rows = [row.columns() for row in run.rows]
    for y in ys:
        points = [(float(row[x]), float(row[y])) for row in rows if y in row and not row.get("lost")]
        if len({at for at, _ in points}) > 1:
            run.add_row(fit_row(f"{y} by {x}", points))


def finish(run: Run, out: Path | None) -> None:
    """Print the table, and the record behind it or to the file; exit with 1 where a row has failed."""
    if out is None:
        run.write_results(sys.stdout)
    else:
        append_results(run, out)
    if any(map(_has_failed, run.rows)):
        raise SystemExit(1)


def _has_failed(row: Row) -> bool:
    """True for a row that was not measured, and for attempts to endpoints that were removed before."""
    return isinstance(row, ErrorRow) or (isinstance(row, ChangesRow) and row.late_attempts > 0)
