"""Selects the rows of a bench run by type."""

from typing import TypeVar

from rushroad.bench.report import Run
from rushroad.bench.rows import Row

RowT = TypeVar("RowT", bound=Row)


def rows_of(run: Run, row_type: type[RowT]) -> list[RowT]:
    return [row for row in run.rows if isinstance(row, row_type)]
