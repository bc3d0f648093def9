"""Typed result rows. Their encoded field names are the columns of printed tables and stored records."""

from __future__ import annotations

from typing import TypeAlias, cast

import msgspec
from msgspec import UNSET, UnsetType

ColumnValue: TypeAlias = float | int | str


class Row(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A row of results; a field that is UNSET has no column."""

    def columns(self) -> dict[str, ColumnValue]:
        """The row's values by column name, in the order of the fields."""
        return cast(dict[str, ColumnValue], msgspec.to_builtins(self))


class FitRow(Row, frozen=True, kw_only=True):
    """A line fitted to the preceding rows; `fit` names the two columns, as "y by x"."""

    fit: str
    slope: float
    intercept: float = msgspec.field(name="at_0")
    r2: float


class ConditionRow(Row, frozen=True, kw_only=True):
    """A row that starts with the parameters that vary between the rows of a run."""

    fleet: int | UnsetType = UNSET  # gateways in the fleet, according to the settings
    gateways: int | UnsetType = UNSET
    servers: int | UnsetType = UNSET
    source: str | UnsetType = UNSET  # of the endpoint list
    rate: float | UnsetType = UNSET  # requests/s at each gateway
    tenants: int | UnsetType = UNSET
    flood: str | UnsetType = UNSET  # connections and commands of each, as CONNECTIONSxCOMMANDS


class ErrorRow(ConditionRow, frozen=True, kw_only=True):
    """Replaces a row whose measurement failed."""

    error: str
