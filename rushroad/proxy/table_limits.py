"""The sizes of the tables whose keys come from clients, by the gateway's memory limit."""

from __future__ import annotations

from dataclasses import dataclass

from rushroad.policy.tenants import DEFAULT_MAX_TENANTS
from rushroad.proxy.buffer_limit import buffer_memory

TENANT_MEMORY_FRACTION = 1 / 4  # of the memory for buffers
TENANT_BYTES = 1_000  # of a tenant's state, with its place in the table
MIN_MAX_TENANTS = 2_000
CALL_ID_MEMORY_FRACTION = 1 / 16  # of the memory for buffers
CALL_ID_BYTES = 400  # of the longest ID, with its place in the table
MIN_MAX_CALL_IDS = 2_000


@dataclass(frozen=True, slots=True)
class TableLimits:
    """The largest number of entries in each table."""

    tenants: int = DEFAULT_MAX_TENANTS
    call_ids: int = 200_000  # of requests that have ended and may have been executed

    @classmethod
    def of_gateway(cls, memory_limit: int) -> TableLimits:
        """Return the limits of a gateway with this memory limit, in bytes."""
        available = buffer_memory(memory_limit)
        return cls(
            tenants=max(MIN_MAX_TENANTS, int(available * TENANT_MEMORY_FRACTION / TENANT_BYTES)),
            call_ids=max(MIN_MAX_CALL_IDS, int(available * CALL_ID_MEMORY_FRACTION / CALL_ID_BYTES)),
        )
