"""Finds clients that closed their connection while it is not read: reading would not show it."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

from rushroad.proxy.transient_errors import poll_now

if TYPE_CHECKING:
    from rushroad.proxy.client_connection import ClientConnection

POLL_INTERVAL_S = 0.03  # seconds; no attempt may begin later than 0.1 seconds after its client closed


def has_disconnected(descriptor: int) -> bool:
    """Return whether the other end of a socket has closed; False where the system can't tell."""
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poll_now(poller))


class DisconnectPoller:
    """Polls the connections that are not read, and disconnects those that their client has closed."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._watched: dict[int, ClientConnection] = {}  # by descriptor
        self._poller = select.poll()
        self._scheduled = False

    def watch(self, connection: ClientConnection) -> None:
        """Poll a connection that is not read from now on."""
        self._watched[connection.descriptor] = connection
        self._poller.register(connection.descriptor, select.POLLRDHUP)
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_later(POLL_INTERVAL_S, self._poll)

    def unwatch(self, connection: ClientConnection) -> None:
        """Stop polling a connection that is read again or closed; no-op where it is not watched."""
        if self._watched.get(connection.descriptor) is connection:
            del self._watched[connection.descriptor]
            self._poller.unregister(connection.descriptor)

    def _poll(self) -> None:
        for descriptor, _ in poll_now(self._poller) or ():
            connection = self._watched[descriptor]
            connection.disconnect()
            connection.abort()
        self._scheduled = bool(self._watched)
        if self._scheduled:
            self._loop.call_later(POLL_INTERVAL_S, self._poll)
