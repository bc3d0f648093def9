"""Runs of several rows: error rows in place of what can't be measured, and lines fitted through the rows."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from msgspec import structs

from rushroad.bench.options import append_to
from rushroad.bench.real.measurements import measure_cost
from rushroad.bench.real.scene import Scene, log
from rushroad.bench.report import Run, fit_row
from rushroad.bench.rows import ConditionRow, ErrorRow, Row

MAX_ERROR_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class Case:
    """One row of a run: its scene, and what differs in it from the other rows."""

    condition: ConditionRow
    scene: Scene


def add_measured(run: Run, condition: ConditionRow, measure: Callable[[], Row]) -> bool:
    """Add a measured row, or an error row where it could not be measured; returns whether it was."""
    try:
        run.add(measure())
    except (RuntimeError, OSError) as error:
        log.error("not measured", error=str(error), **condition.columns())
        message = str(error)[:MAX_ERROR_CHARACTERS]
        run.add(ErrorRow(**structs.asdict(condition), error=message))
        return False
    log.info("measured", **run.rows[-1].columns())
    return True


def measure_costs(experiment: str, cases: Sequence[Case], seed: int) -> tuple[Run, bool]:
    """A run with one row a case, and whether all of them were measured."""
    run = Run(experiment, seed, cases[0].scene.parameters())
    measured = [
        add_measured(run, case.condition, partial(measure_cost, case.scene, case.condition)) for case in cases
    ]
    return run, all(measured)


def add_fits(run: Run, x: str, ys: Iterable[str]) -> None:
    """Add a line through the run's rows for each column of `ys`, where two or more rows differ in `x`.

    Rows with lost requests are left out: what these would have cost is not known.
    """
    rows = [row.columns() for row in run.rows]
    for y in ys:
        points = [(float(row[x]), float(row[y])) for row in rows if y in row and not row.get("lost")]
        if len({at for at, _ in points}) > 1:
            run.add(fit_row(f"{y} by {x}", points))


def finish(run: Run, out: Path | None, all_measured: bool) -> None:
    """Print the table, and the record behind it or to the file; exit with 1 where a row is missing."""
    if out is None:
        run.finish(sys.stdout)
    else:
        append_to(run, out)
    if not all_measured:
        raise SystemExit(1)
