"""Sends replies in the order in which their commands arrived on a connection."""

from __future__ import annotations

import asyncio
from collections import deque


class PendingReply:
    """A reply's place in the order; `text` is None until the reply is ready."""

    __slots__ = ("text",)

    def __init__(self) -> None:
        self.text: bytes | None = None


class ReplyQueue:
    """Writes each reply once it is ready and all replies before it have been written."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._queue: deque[PendingReply] = deque()

    def reserve(self) -> PendingReply:
        """Append a pending reply to the queue and return it."""
        reply = PendingReply()
        self._queue.append(reply)
        return reply

    def complete(self, reply: PendingReply, text: bytes) -> None:
        """Set the text of a reply, and write every reply that has no pending one before it."""
        reply.text = text
        while self._queue and (ready := self._queue[0].text) is not None:
            self._queue.popleft()
            if not self._transport.is_closing():
                self._transport.write(ready)
