"""Typed rows of results. The names of their columns are those of the output and of stored records."""

from __future__ import annotations

from typing import TypeAlias, cast

import msgspec
from msgspec import UNSET, UnsetType

ColumnValue: TypeAlias = float | int | str


class Row(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One row of a table. A field that is UNSET has no column in this row."""

    def columns(self) -> dict[str, ColumnValue]:
        """The row's cells by the names of their columns, in the order of the fields."""
        return cast(dict[str, ColumnValue], msgspec.to_builtins(self))


class FitRow(Row, frozen=True, kw_only=True):
    """A straight line fitted through the rows before it: `fit` names the two columns."""

    fit: str
    slope: float
    intercept: float = msgspec.field(name="at_0")
    r2: float


class ConditionRow(Row, frozen=True, kw_only=True):
    """A row that begins with what is varied between the rows of its run."""

    fleet: int | UnsetType = UNSET  # gateways, in the settings
    gateways: int | UnsetType = UNSET
    servers: int | UnsetType = UNSET
    source: str | UnsetType = UNSET  # of the endpoint list
    rate: float | UnsetType = UNSET  # requests a second at each gateway
    tenants: int | UnsetType = UNSET


class ErrorRow(ConditionRow, frozen=True, kw_only=True):
    """Stands for a row that could not be measured."""

    error: str
