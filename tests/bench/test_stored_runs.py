"""Reading of stored runs, from the committed file of records and from examples."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from rushroad.bench.cli import main
from rushroad.bench.real.rows import CostRow
from rushroad.bench.report import Record
from rushroad.bench.rows import ConditionRow, ErrorRow
from rushroad.bench.simulated.cold_fleet import WarmUpTotalRow, WarmUpWindowRow
from rushroad.bench.stored_runs import ROW_TYPES, read_record, read_records

STORED_RUNS = Path(__file__).parents[2] / "docs/runs/capacity.jsonl"


@pytest.fixture(scope="module")
def stored_records() -> list[Record]:
    return list(read_records(STORED_RUNS))


@pytest.fixture
def encode() -> Callable[..., bytes]:
    """Encodes a record of an experiment with these rows, as it is stored."""

    def encode(experiment: str, *rows: dict[str, Any]) -> bytes:
        machine = {"cores": 1, "python": "3", "load": 0.0}
        record = {"experiment": experiment, "seed": 1, "parameters": {}, "commit": "unknown"}
        return json.dumps(record | {"rows": rows, "machine": machine}).encode()

    return encode


def test_every_stored_record_is_read_with_every_column(stored_records: list[Record]) -> None:
    stored = [json.loads(line) for line in STORED_RUNS.read_text().splitlines()]
    assert len(stored_records) == len(stored) == 33
    assert [msgspec.to_builtins(record) for record in stored_records] == stored


def test_stored_column_names_are_mapped_to_fields(stored_records: list[Record]) -> None:
    line = next(line for line in STORED_RUNS.read_text().splitlines() if "cost-by-servers" in line)
    first = json.loads(line)["rows"][0]
    record = next(record for record in stored_records if record.experiment == "cost-by-servers")
    row = record.rows[0]
    assert isinstance(row, CostRow)
    mapped = (row.rejected, row.syntax_errors, row.list_changes, row.counter_calls_request)
    assert mapped == (first["refused"], first["syntax"], first["changes"], first["calls_request"])
    assert row.counter_bytes_request == first["bytes_request"]


def test_row_types_of_one_experiment_are_distinguished(stored_records: list[Record]) -> None:
    rows = [row for record in stored_records if record.experiment == "cold-fleet" for row in record.rows]
    assert {type(row).__name__ for row in rows} == {WarmUpWindowRow.__name__, WarmUpTotalRow.__name__}


def test_error_row_is_read_with_its_condition(encode: Callable[..., bytes]) -> None:
    line = encode("cost-by-rate", {"rate": 43, "error": "gateway 0 ended with 1"})
    assert read_record(line).rows == [ErrorRow(rate=43.0, error="gateway 0 ended with 1")]


def test_row_with_an_unknown_column_is_an_error(encode: Callable[..., bytes]) -> None:
    with pytest.raises(ValueError, match=r"no row type of whole-list has the columns \['ready_s', 'new'\]"):
        read_record(encode("whole-list", {"ready_s": 1.0, "new": 2}))


def test_record_of_an_unknown_experiment_is_an_error(encode: Callable[..., bytes]) -> None:
    with pytest.raises(ValueError, match="unknown experiment 'other', expected one of "):
        read_record(encode("other"))


def test_every_subcommand_has_row_types() -> None:
    assert set(ROW_TYPES) == set(main.commands)


def test_condition_row_has_columns_only_for_fields_that_are_set() -> None:
    assert ConditionRow(fleet=3, servers=60).columns() == {"fleet": 3, "servers": 60}
