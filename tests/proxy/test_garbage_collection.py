"""Garbage collections exclude the objects kept for endpoints."""

import asyncio
import gc

import pytest

from rushroad.proxy.endpoint_decoder import MAX_ENDPOINTS_PER_PART
from rushroad.proxy.garbage_collection import FREEZE_AFTER_ENTRIES, EndpointFreezer
from tests.support.loopback import run


def test_endpoints_are_frozen_after_every_ten_thousand_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        freezer = EndpointFreezer(asyncio.get_running_loop())
        for _ in range(3 * FREEZE_AFTER_ENTRIES // MAX_ENDPOINTS_PER_PART):
            freezer.entries_added(MAX_ENDPOINTS_PER_PART)
            await asyncio.sleep(0)

    freezes: list[None] = []
    monkeypatch.setattr(gc, "freeze", lambda: freezes.append(None))
    run(scenario)
    assert len(freezes) == 3
