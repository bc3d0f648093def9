"""Detects clients that disconnect while reading from their connection is paused."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

from rushroad.proxy.transient_errors import poll_now

if TYPE_CHECKING:
    from rushroad.proxy.client_connection import ClientConnection

POLL_INTERVAL_S = 0.03  # no attempt may start more than 0.1 s after its client has disconnected


def has_disconnected(descriptor: int) -> bool:
    """Return whether the peer of a socket has closed; False if polling fails."""
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poll_now(poller))


class DisconnectPoller:
    """Polls the connections whose reading is paused and disconnects those closed by their client."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._watched: dict[int, ClientConnection] = {}  # by descriptor
        self._poller = select.poll()
        self._scheduled = False

    def watch(self, connection: ClientConnection) -> None:
        """Start polling a connection whose reading is paused."""
        self._watched[connection.descriptor] = connection
        self._poller.register(connection.descriptor, select.POLLRDHUP)
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_later(POLL_INTERVAL_S, self._poll)

    def unwatch(self, connection: ClientConnection) -> None:
        """Stop polling a connection that is read again or closed; no-op if it is not watched."""
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
