"""Measures a gateway's longest stall as the longest round trip of a PING."""

from __future__ import annotations

import asyncio
import time
from typing import cast

from rushroad.bench.commands import LongestPing

PING_INTERVAL_S = 0.01  # from a PONG to the next PING


class Pinger(asyncio.Protocol):
    """Sends PINGs on its own connection, one at a time, and records the longest round trip."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._sent_at: float | None = None
        self._longest_s, self._answers = 0.0, 0
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first PING."""
        self._transport = cast(asyncio.Transport, transport)
        self._ping()

    def _ping(self) -> None:
        self._sent_at = time.monotonic()
        self._transport.write(b"*1\r\n$4\r\nPING\r\n")

    def data_received(self, data: bytes) -> None:  # noqa: ARG002 - asyncio's signature
        """Handle a PONG, and schedule the next PING."""
        self._update_longest()
        self._answers += 1
        self._sent_at = None
        self._loop.call_later(PING_INTERVAL_S, self._ping)

    def _update_longest(self) -> None:
        if self._sent_at is not None:
            self._longest_s = max(self._longest_s, time.monotonic() - self._sent_at)

    def take_longest(self) -> LongestPing:
        """Return the longest round trip since the last call, including that of a PING in flight."""
        self._update_longest()
        result = LongestPing(seconds=self._longest_s, answers=self._answers)
        self._longest_s, self._answers = 0.0, 0
        return result
