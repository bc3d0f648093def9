"""PINGs to one gateway, whose longest round trip is the gateway's longest stall."""

from __future__ import annotations

import asyncio
import time
from typing import cast

from rushroad.bench.commands import LongestPing

PING_INTERVAL_S = 0.01  # from an answer to the next PING


class Pings(asyncio.Protocol):
    """Sends PINGs on a connection of its own, and keeps the longest round trip."""

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
        """Take the answer; the next PING follows."""
        self._measure()
        self._answers += 1
        self._sent_at = None
        self._loop.call_later(PING_INTERVAL_S, self._ping)

    def _measure(self) -> None:
        if self._sent_at is not None:
            self._longest_s = max(self._longest_s, time.monotonic() - self._sent_at)

    def take_longest(self) -> LongestPing:
        """The longest round trip since this was last called, a PING in flight included."""
        self._measure()
        result = LongestPing(seconds=self._longest_s, answers=self._answers)
        self._longest_s, self._answers = 0.0, 0
        return result
