"""Reads stored records of runs, one per line of JSON, into typed rows.

The row types map the names of stored columns to fields. Columns that occur only in older records are optional
fields.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from rushroad.bench.real.rows import ChangesRow, CostRow, CounterBytesRow, DemoRow, FloodRow, StartRow
from rushroad.bench.report import Machine, Record
from rushroad.bench.rows import ErrorRow, FitRow, Row
from rushroad.bench.simulated.cold_fleet import WarmUpTotalRow, WarmUpWindowRow
from rushroad.bench.simulated.module_cost import ModuleCostRow
from rushroad.bench.simulated.restart_tenth import RestartRow
from rushroad.bench.simulated.spread import SpreadRow
from rushroad.bench.simulated.zone_lost import ZoneLostRow

ROW_TYPES: Mapping[str, tuple[type[Row], ...]] = {
    "module-cost": (ModuleCostRow,),
    "spread": (SpreadRow,),
    "cold-fleet": (WarmUpWindowRow, WarmUpTotalRow),
    "restart-tenth": (RestartRow,),
    "zone-lost": (ZoneLostRow,),
    "demo": (DemoRow,),
    "cost-by-servers": (CostRow,),
    "cost-by-rate": (CostRow,),
    "cost-by-tenants": (CostRow,),
    "whole-list": (StartRow,),
    "changes": (ChangesRow,),
    "counter-bytes": (CounterBytesRow,),
    "flood": (FloodRow,),
}


class _StoredRecord(msgspec.Struct, forbid_unknown_fields=True):
    experiment: str
    seed: int
    parameters: dict[str, Any]
    rows: list[dict[str, Any]]
    commit: str
    machine: Machine


def read_records(path: Path) -> Iterator[Record]:
    """Read a file of records, one per line.

    Raises msgspec.DecodeError if a line is not a record, and ValueError if its experiment or the columns of a
    row are unknown.
    """
    with path.open("rb") as file:
        for line in file:
            yield read_record(line)


def read_record(line: bytes) -> Record:
    """Read one record; raises as `read_records` does."""
    stored = msgspec.json.decode(line, type=_StoredRecord)
    if stored.experiment not in ROW_TYPES:
        raise ValueError(f"unknown experiment {stored.experiment!r}, expected one of {[*ROW_TYPES]}")
    return Record(
        experiment=stored.experiment,
        seed=stored.seed,
        parameters=stored.parameters,
        rows=[_read_row(stored.experiment, columns) for columns in stored.rows],
        commit=stored.commit,
        machine=stored.machine,
    )


def _read_row(experiment: str, columns: dict[str, Any]) -> Row:
    """Convert the columns to the first row type that they match."""
    for row_type in (*ROW_TYPES[experiment], FitRow, ErrorRow):
        try:
            row: Row = msgspec.convert(columns, row_type)
            return row
        except msgspec.ValidationError:
            continue
    raise ValueError(f"no row type of {experiment} has the columns {[*columns]}")
