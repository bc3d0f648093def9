"""The sizes of the tables whose keys come from clients."""

import pytest

from rushroad.proxy.table_limits import CALL_ID_BYTES, MIN_MAX_TENANTS, TENANT_BYTES, TableLimits


@pytest.mark.parametrize("memory_mb", [48, 64, 192, 1_000])
def test_tables_take_less_than_a_third_of_the_memory_limit(memory_mb: int) -> None:
    limits = TableLimits.of_gateway(memory_mb * 1_000_000)
    used_bytes = limits.tenants * TENANT_BYTES + limits.call_ids * CALL_ID_BYTES
    assert used_bytes <= memory_mb * 1_000_000 / 3


def test_a_gateway_with_little_memory_knows_some_tenants() -> None:
    assert TableLimits.of_gateway(16_000_000).tenants == MIN_MAX_TENANTS
