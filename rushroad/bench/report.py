"""Results of a run: a printed table, and a JSON record with everything that is needed to repeat the run."""

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
SIGNIFICANT_DIGITS = 4  # of a number in the table; the JSON record has all digits
COLUMN_GAP = "  "


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A least-squares line; `r2` is its coefficient of determination."""

    slope: float
    intercept: float
    r2: float


def fit_line(points: Sequence[tuple[float, float]]) -> LinearFit:
    """Fit a line to points (x, y) by least squares; raises ValueError unless two of their x differ."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    try:
        slope, intercept = statistics.linear_regression(xs, ys)
    except statistics.StatisticsError as error:
        raise ValueError(f"cannot fit a line: {error}") from None
    mean = statistics.fmean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return LinearFit(slope, intercept, 1.0 - residual / total if total else 1.0)


def fit_row(label: str, points: Sequence[tuple[float, float]]) -> FitRow:
    """Fit a line to points and return it as a row; raises ValueError as `fit_line` does."""
    line = fit_line(points)
    return FitRow(fit=label, slope=line.slope, intercept=line.intercept, r2=line.r2)


class Machine(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The machine of a run; `load` is the load average over the minute before the run."""

    cores: int | None
    python: str
    load: float


class Record(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A stored run: one line of JSON."""

    experiment: str
    seed: int
    parameters: dict[str, Any]
    rows: Sequence[Row]
    commit: str
    machine: Machine


class Run:
    """A run of an experiment: its rows, and what is needed to repeat it."""

    def __init__(self, experiment: str, seed: int, parameters: dict[str, Any]) -> None:
        self.experiment, self.seed, self.parameters = experiment, seed, parameters
        self.rows: list[Row] = []
        self._machine = machine()  # before the run adds to the load average

    def add_row(self, row: Row) -> None:
        """Add a row; the rows of a run may have different columns."""
        self.rows.append(row)

    def write_results(self, out: TextIO | None) -> None:
        """Print the table to standard output, and write the JSON record as a line to `out`."""
        print(f"{self.experiment}, seed {self.seed}")
        print(format_table([row.columns() for row in self.rows]))
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


def format_table(rows: Sequence[dict[str, ColumnValue]]) -> str:
    """Format rows as lines of aligned columns, in the order in which the column names first occur."""
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
    """The commit of the working directory, with "+dirty" if files differ; "unknown" outside of git."""
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
    """The number of cores, the Python version and the load average over the last minute."""
    return Machine(cores=os.cpu_count(), python=platform.python_version(), load=os.getloadavg()[0])
