"""Calls to the shared counter that have no reply yet, and the names of the numbers that it keeps."""

from __future__ import annotations

from collections import deque
from enum import Enum, auto

import msgspec

from rushroad.policy.actions import CounterAdd
from rushroad.policy.outbox import Outbox
from rushroad.policy.tenants import Tenant

TENANT_SHIFT = 24  # bits of a counter's name below the tenant
CONCURRENCY_BIT = 1 << 63  # set in names of counters of open requests


class CountedResource(Enum):
    """What a counter counts."""

    UNITS = auto()
    CONCURRENCY = auto()


def units_counter_name(tenant_id: int) -> int:
    """Return the name of the counter of a tenant's units."""
    return tenant_id << TENANT_SHIFT


def concurrency_counter_name(tenant_id: int) -> int:
    """Return the name of the counter of a tenant's open requests."""
    return CONCURRENCY_BIT | tenant_id << TENANT_SHIFT


def tenant_of_units_counter(name: int) -> int | None:
    """Return the tenant whose units a counter counts; None for a counter of open requests."""
    return None if name & CONCURRENCY_BIT else name >> TENANT_SHIFT


class CounterCall(msgspec.Struct, frozen=True, gc=False):
    """A call without a reply."""

    resource: CountedResource
    tenant: Tenant
    amount: float
    waiting_request: int | None  # the request whose admission depends on the total


class CounterCalls:
    """Makes calls to the counter; the replies for one name come in the order of the calls."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._calls: dict[int, deque[CounterCall]] = {}

    def __len__(self) -> int:
        """Count the names with calls that have no reply."""
        return len(self._calls)

    def add(self, name: int, call: CounterCall, lifetime: int) -> None:
        """Add the call's amount to the counter of this name, which lives for so many microseconds."""
        self._calls.setdefault(name, deque()).append(call)
        self._outbox.add(CounterAdd(name, call.amount, lifetime))

    def take_oldest(self, name: int) -> CounterCall:
        """Remove and return the call that the next reply for this name belongs to."""
        calls = self._calls[name]
        call = calls.popleft()
        if not calls:
            del self._calls[name]
        return call
