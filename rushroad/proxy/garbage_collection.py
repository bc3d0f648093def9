"""Keeps long-lived objects out of garbage collections, which would hold up the event loop."""

from __future__ import annotations

import asyncio
import gc

FREEZE_AFTER_ENTRIES = 10_000  # a collection that visits so many endpoint entries takes about 2 ms


class EndpointFreezer:
    """Freezes the objects kept for endpoints, so that collections do not visit them again and again.

    Garbage in reference cycles that waits for a collection at that moment is never freed: little, and seldom.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._added = 0  # entries since the last freeze

    def entries_added(self, count: int) -> None:
        """Count entries of endpoint lists that the policy is given; freeze at FREEZE_AFTER_ENTRIES."""
        self._added += count
        if self._added >= FREEZE_AFTER_ENTRIES:
            self._added = 0
            self._loop.call_soon(gc.freeze)  # when the policy has taken them in


def freeze_startup_objects() -> None:
    """Keep what the start has created out of collections: it lives until the process ends."""
    gc.freeze()
