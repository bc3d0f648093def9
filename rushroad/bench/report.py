"""What every experiment returns: a table for people, and one line of JSON from which it can be repeated."""

from __future__ import annotations

import os
import platform
import statistics
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TextIO

import msgspec

from rushroad.bench.rows import ColumnValue, FitRow, Row

GIT_TIMEOUT_S = 10
SIGNIFICANT_DIGITS = 4  # of a figure in the table; the line of JSON holds all of them
COLUMN_GAP = "  "


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A straight line through points by least squares; `r2` is the part of the variance that it explains."""

    slope: float
    intercept: float
    r2: float


def fit_line(points: Sequence[tuple[float, float]]) -> LinearFit:
    """Fit a line through two or more points (x, y); raises ValueError unless two of their x differ."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    try:
        slope, intercept = statistics.linear_regression(xs, ys)
    except statistics.StatisticsError as error:
        raise ValueError(f"no line through these points: {error}") from None
    mean = statistics.fmean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return LinearFit(slope, intercept, 1.0 - residual / total if total else 1.0)


def fit_row(label: str, points: Sequence[tuple[float, float]]) -> FitRow:
    """The row of the line through these points; raises ValueError as `fit_line` does."""
    line = fit_line(points)
    return FitRow(fit=label, slope=line.slope, intercept=line.intercept, r2=line.r2)


class Machine(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The machine of a run. `load` is the load average over the minute before it."""

    cores: int | None
    python: str
    load: float


class Record(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One run as it is stored: a line of JSON."""

    experiment: str
    seed: int
    parameters: dict[str, Any]
    rows: Sequence[Row]
    commit: str
    machine: Machine


class Run:
    """One run of an experiment: rows of figures, and what is needed to repeat them."""

    def __init__(self, experiment: str, seed: int, parameters: dict[str, Any]) -> None:
        self.experiment, self.seed, self.parameters = experiment, seed, parameters
        self.rows: list[Row] = []
        self._machine = machine()  # with the load before this run's own

    def add_row(self, row: Row) -> None:
        """Keep a row; rows of one run may have different columns."""
        self.rows.append(row)

    def write_results(self, out: TextIO | None) -> None:
        """Print the table to standard output, and write the line of JSON to `out`."""
        print(f"{self.experiment}, seed {self.seed}")
        print(table([row.columns() for row in self.rows]))
        sys.stdout.flush()
        if out is not None:
            out.write(msgspec.json.encode(self._record()).decode() + "\n")
            out.flush()

    def _record(self) -> Record:
        return Record(
            experiment=self.experiment,
            seed=self.seed,
            parameters=self.parameters,
            rows=self.rows,
            commit=commit(),
            machine=self._machine,
        )


def table(rows: Sequence[dict[str, ColumnValue]]) -> str:
    """Lines of aligned columns, named by the rows' keys in the order in which they first occur."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [names] + [[_format_value(row.get(name, "")) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    return "\n".join(
        COLUMN_GAP.join(value.rjust(width) for value, width in zip(line, widths, strict=True))
        for line in lines
    )


def _format_value(value: ColumnValue) -> str:
    if isinstance(value, str):
        return value
    if isinstance(value, float) and abs(value) < 10**SIGNIFICANT_DIGITS:
        return f"{value:.{SIGNIFICANT_DIGITS}g}"
    return f"{value:,.0f}"


def commit() -> str:
    """The commit of the working directory, "+dirty" behind it where files differ; "unknown" elsewhere."""
    try:
        head, changes = _git("rev-parse", "HEAD"), _git("status", "--porcelain")
    except (OSError, subprocess.SubprocessError):
        return "unknown"
    return head + "+dirty" if changes else head


def _git(*arguments: str) -> str:
    completed = subprocess.run(
        ("git", *arguments), capture_output=True, text=True, timeout=GIT_TIMEOUT_S, check=True
    )
    return completed.stdout.strip()


def machine() -> Machine:
    """Cores, Python's version and the load average over the last minute."""
    return Machine(cores=os.cpu_count(), python=platform.python_version(), load=os.getloadavg()[0])
