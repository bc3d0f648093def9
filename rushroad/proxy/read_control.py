"""Pauses and resumes reading from a client connection, and tells whether a close may be hidden meanwhile."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rushroad.proxy.transient_errors import is_readable

if TYPE_CHECKING:
    from rushroad.proxy.client_connection import ClientConnection

# Of the 0.1 s after its client has closed in which an attempt may still start.
MAX_CLOSE_HIDDEN_S = 0.05


class ReadControl:
    """The reading state of one connection.

    The end of a stream arrives only after all that the client has sent before it. While reading is paused,
    the sockets' buffers fill up and the end stays in the client's system, where no poll can see it.
    """

    __slots__ = ("_close_hidden_since", "_connection", "is_paused")

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self.is_paused = False
        self._close_hidden_since: float | None = None  # None while all that has arrived is read

    def pause(self) -> None:
        """Pause reading; no-op if it is paused or the connection is closing."""
        connection = self._connection
        if self.is_paused or connection.transport.is_closing():
            return
        self.is_paused = True
        now = connection.table.loop.time()
        if self._close_hidden_since is None:
            self._close_hidden_since = now
        connection.input.arrivals.reading_paused(now)
        connection.transport.pause_reading()
        connection.table.disconnect_poller.watch(connection)

    def resume(self) -> None:
        """Resume reading; no-op if it is not paused, or the limit on buffers forbids it."""
        connection = self._connection
        if not self.is_paused or connection.table.buffers.is_waiting(connection):
            return
        self.is_paused = False
        has_unread_input = self.has_unread_input()
        if not has_unread_input:
            self._close_hidden_since = None
        connection.input.arrivals.reading_resumed(has_unread_input)
        connection.table.disconnect_poller.unwatch(connection)
        connection.transport.resume_reading()

    def data_read(self, fills_buffer: bool) -> None:
        """Record a read; one that fills its buffer may have left data in the kernel."""
        if not fills_buffer:
            self._close_hidden_since = None

    def may_hide_close(self) -> bool:
        """Return whether the client may have closed more than MAX_CLOSE_HIDDEN_S ago, behind unread input."""
        hidden_since, connection = self._close_hidden_since, self._connection
        if hidden_since is None or connection.table.loop.time() - hidden_since <= MAX_CLOSE_HIDDEN_S:
            return False
        return self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that has not been read."""
        return is_readable(self._connection.descriptor)
