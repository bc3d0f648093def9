"""Replies in the order of the commands on a connection."""

from __future__ import annotations

import asyncio
from collections import deque


class Reply:
    """One reply in a connection's order; its text, once it is ready."""

    __slots__ = ("text",)

    def __init__(self) -> None:
        self.text: bytes | None = None


class Replies:
    """Writes each reply when it is ready and all before it have been written."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._queue: deque[Reply] = deque()

    def reserve(self) -> Reply:
        """Reserve the next command's reply in the order."""
        reply = Reply()
        self._queue.append(reply)
        return reply

    def fill(self, reply: Reply, text: bytes) -> None:
        """Take a reply that is ready, and write all that can be written."""
        reply.text = text
        while self._queue and (ready := self._queue[0].text) is not None:
            self._queue.popleft()
            if not self._transport.is_closing():
                self._transport.write(ready)
