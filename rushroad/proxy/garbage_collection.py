"""Excludes long-lived objects from garbage collection, whose pauses would stall the event loop."""

from __future__ import annotations

import asyncio
import gc

FREEZE_AFTER_ENTRIES = 10_000  # a collection that visits this many endpoint entries takes about 2 ms


class EndpointFreezer:
    """Freezes the objects kept for endpoints, so that collections do not visit them repeatedly.

    Reference cycles that are garbage at the time of a freeze are never freed, which is rare and
    costs little memory.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._added = 0  # entries since the last freeze

    def entries_added(self, count: int) -> None:
        """Count entries of endpoint updates; freeze once FREEZE_AFTER_ENTRIES have been added."""
        self._added += count
        if self._added >= FREEZE_AFTER_ENTRIES:
            self._added = 0
            self._loop.call_soon(gc.freeze)  # after the policy has processed them


def freeze_startup_objects() -> None:
    """Exclude the objects created at startup from collections, as they live until the process ends."""
    gc.freeze()
