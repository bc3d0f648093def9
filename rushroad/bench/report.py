"""What every experiment hands back: a table for people, and one line of JSON with all that made it."""

from __future__ import annotations

import os
import platform
import statistics
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TextIO, TypeAlias

import msgspec

Cell: TypeAlias = float | int | str

GIT_PATIENCE = 10  # seconds; a call of git on a checkout of any size is far quicker
DIGITS = 4  # significant digits of a figure in the table; the line of JSON holds all of them
COLUMN_GAP = "  "


@dataclass(frozen=True, slots=True)
class Fit:
    """A straight line through points by least squares; `r2` is the part of the variance that it explains."""

    slope: float
    intercept: float
    r2: float


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """The line through two or more points (x, y) with at least two different x; else ValueError."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    try:
        slope, intercept = statistics.linear_regression(xs, ys)
    except statistics.StatisticsError as wrong:
        raise ValueError(f"no line through these points: {wrong}") from None
    middle = statistics.fmean(ys)
    total = sum((y - middle) ** 2 for y in ys)
    left = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return Fit(slope, intercept, 1.0 - left / total if total else 1.0)


class Run:
    """One run of an experiment: rows of named figures, all with what is needed to make them again."""

    def __init__(self, experiment: str, seed: int, parameters: dict[str, Any]) -> None:
        self.experiment, self.seed, self.parameters = experiment, seed, parameters
        self.rows: list[dict[str, Cell]] = []
        self._machine = machine()  # the load before this run's own

    def add(self, row: dict[str, Cell]) -> None:
        """Keep a row; rows of one run may have different columns."""
        self.rows.append(row)

    def finish(self, out: TextIO | None) -> None:
        """Print the table to standard output, and write the line of JSON to `out`."""
        print(f"{self.experiment}, seed {self.seed}")
        print(table(self.rows))
        sys.stdout.flush()
        if out is not None:
            out.write(msgspec.json.encode(self._record()).decode() + "\n")
            out.flush()

    def _record(self) -> dict[str, Any]:
        return {
            "experiment": self.experiment,
            "seed": self.seed,
            "parameters": self.parameters,
            "rows": self.rows,
            "commit": commit(),
            "machine": self._machine,
        }


def table(rows: Sequence[dict[str, Cell]]) -> str:
    """Lines of aligned columns, named by the rows' keys in the order in which they first come."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [names] + [[_shown(row.get(name, "")) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    return "\n".join(
        COLUMN_GAP.join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)) for line in lines
    )


def _shown(cell: Cell) -> str:
    if isinstance(cell, str):
        return cell
    if isinstance(cell, float) and abs(cell) < 10**DIGITS:
        return f"{cell:.{DIGITS}g}"
    return f"{cell:,.0f}"


def commit() -> str:
    """The commit of the working directory, "+dirty" behind it where files differ; "unknown" elsewhere."""
    try:
        head, changes = _git("rev-parse", "HEAD"), _git("status", "--porcelain")
    except (OSError, subprocess.SubprocessError):
        return "unknown"
    return head + "+dirty" if changes else head


def _git(*words: str) -> str:
    done = subprocess.run(("git", *words), capture_output=True, text=True, timeout=GIT_PATIENCE, check=True)
    return done.stdout.strip()


def machine() -> dict[str, Any]:
    """Cores, Python's version and the load average over the last minute."""
    return {"cores": os.cpu_count(), "python": platform.python_version(), "load": os.getloadavg()[0]}
