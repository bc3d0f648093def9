"""Calls to the shared counter that have no reply yet, and the names of its totals.

The highest bit of a name is set for a total of open requests, and clear for a total of units.
"""

from __future__ import annotations

from collections import deque
from enum import Enum, auto

import msgspec

from rushroad.policy.actions import CounterAdd
from rushroad.policy.outbox import Outbox
from rushroad.policy.tenants import Tenant

TENANT_SHIFT = 24  # bits of a name below the tenant's ID
CONCURRENCY_BIT = 1 << 63  # set in the names of totals of open requests


class CountedResource(Enum):
    """What a total counts."""

    UNITS = auto()
    CONCURRENCY = auto()


def units_total_name(tenant_id: int) -> int:
    """Return the name of the total of a tenant's units."""
    return tenant_id << TENANT_SHIFT


def concurrency_total_name(tenant_id: int) -> int:
    """Return the name of the total of a tenant's open requests."""
    return CONCURRENCY_BIT | tenant_id << TENANT_SHIFT


def tenant_of_units_total(total_name: int) -> int | None:
    """Return the ID of the tenant whose units a name counts; None for a total of open requests."""
    return None if total_name & CONCURRENCY_BIT else total_name >> TENANT_SHIFT


class CounterCall(msgspec.Struct, frozen=True, gc=False):
    """A call that has no reply yet."""

    resource: CountedResource
    tenant: Tenant
    amount: float
    waiting_request_id: int | None  # of the request whose admission depends on the total


class CounterCalls:
    """Makes calls to the counter. The replies for one name arrive in the order of its calls."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._calls: dict[int, deque[CounterCall]] = {}

    def __len__(self) -> int:
        """Return the number of names with calls that have no reply yet."""
        return len(self._calls)

    def add(self, total_name: int, call: CounterCall, lifetime: int) -> None:
        """Add the call's amount to the total of a name; `lifetime` is in microseconds from the first add."""
        self._calls.setdefault(total_name, deque()).append(call)
        self._outbox.add(CounterAdd(total_name, call.amount, lifetime))

    def take_oldest(self, total_name: int) -> CounterCall:
        """Remove and return the call that the next reply for a name belongs to."""
        calls = self._calls[total_name]
        call = calls.popleft()
        if not calls:
            del self._calls[total_name]
        return call
