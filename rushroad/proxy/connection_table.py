"""All client connections and the limits over them: their number, time-outs, idle time, unread answers."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

from rushroad.proxy.client_command import CommandSchema
from rushroad.proxy.disconnect_poll import DisconnectPoller
from rushroad.proxy.engine import Engine
from rushroad.proxy.loop_lag import LoopLagMonitor

if TYPE_CHECKING:
    from rushroad.proxy.client_connection import ClientConnection

CLIENT_TIMEOUT_S = 2.0  # seconds for a first command, for the rest of one, and for reading answers
SWEEP_INTERVAL_S = 0.25  # seconds
MIN_IDLE_TIME_S = 2.0  # seconds that a connection stays open after its last answer
MAX_IDLE_FRACTION = 0.25  # of the limit on connections; of more that idle for longer the oldest are closed
MAX_PENDING_FRACTION = 0.25  # of that limit; more with a running time-out make room among themselves
MAX_UNREAD_BYTES = 8 << 20  # of answers that all clients may leave unread beyond their time-out


class ConnectionTable:
    """The open client connections with their time-outs, and what all of them use."""

    def __init__(
        self, engine: Engine, schema: CommandSchema, max_connections: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.engine, self.schema, self.loop = engine, schema, loop
        self.loop_lag = LoopLagMonitor(loop)
        self.disconnect_poller = DisconnectPoller(loop)
        self.open: set[ClientConnection] = set()
        self.shutting_down = False  # each connection closes as soon as nothing is unanswered on it
        self._max_connections = max_connections
        # Both are ordered by time, the oldest first.
        self._timeouts: dict[ClientConnection, float] = {}  # those whose client has to act; since when
        self._idle_since: dict[ClientConnection, float] = {}

    def sweep(self) -> None:
        """Close what is timed out or has idled for long, now and again at each interval."""
        self._close_timed_out()
        self._close_idle()
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def add(self, connection: ClientConnection) -> None:
        """Add a new connection; where there are too many, another one is closed.

        That is the one idle for longest, on which a new request is least likely to be on its way. Where many
        have sent nothing yet it is the oldest of those: they must not drive out clients that are served.
        """
        self.open.add(connection)
        self.start_timeout(connection)
        if len(self.open) <= self._max_connections:
            return
        oldest_silent = next((pending for pending in self._timeouts if not pending.unanswered), connection)
        too_many_pending = len(self._timeouts) > max(1, self._max_connections * MAX_PENDING_FRACTION)
        evicted = oldest_silent if too_many_pending else next(iter(self._idle_since), oldest_silent)
        self.remove(evicted)
        evicted.abort()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""
        self.open.discard(connection)
        self._timeouts.pop(connection, None)
        self._idle_since.pop(connection, None)
        self.disconnect_poller.unwatch(connection)

    def start_timeout(self, connection: ClientConnection) -> None:
        """Give the client a limited time to act; one that runs already goes on."""
        self._timeouts.setdefault(connection, self.loop.time())

    def restart_timeout(self, connection: ClientConnection) -> None:
        """Give the client a limited time to act, from now on."""
        self._timeouts.pop(connection, None)
        self._timeouts[connection] = self.loop.time()

    def stop_timeout(self, connection: ClientConnection) -> None:
        """The client has acted, or the connection is closing."""
        self._timeouts.pop(connection, None)

    def mark_idle(self, connection: ClientConnection) -> None:
        """Nothing is unanswered on the connection; it is idle unless its client has to act."""
        self._idle_since.pop(connection, None)
        if connection in self.open and connection not in self._timeouts:
            self._idle_since[connection] = self.loop.time()

    def mark_busy(self, connection: ClientConnection) -> None:
        """The connection is in use."""
        self._idle_since.pop(connection, None)

    def may_leave_unread(self, connection: ClientConnection) -> bool:
        """Return whether a client may leave its answers unread for longer.

        It may as long as it may still wait for them, if all such answers together take little memory.
        """
        unread_bytes = sum(pending.transport.get_write_buffer_size() for pending in self._timeouts)
        unread_bytes += connection.transport.get_write_buffer_size()
        waited = self.loop.time() - connection.unread_since
        return waited < self.schema.longest_deadline_s and unread_bytes <= MAX_UNREAD_BYTES

    def _close_timed_out(self) -> None:
        started_before = self.loop.time() - CLIENT_TIMEOUT_S
        for connection, since in list(self._timeouts.items()):
            if since > started_before:
                break
            del self._timeouts[connection]
            connection.time_out()

    def _close_idle(self) -> None:
        """Close the connections that have idled for long, if there are many.

        Some clients ask once and keep their connection for good: others must find room before it is all used.
        """
        idle_before = self.loop.time() - MIN_IDLE_TIME_S
        excess = len(self._idle_since) - int(self._max_connections * MAX_IDLE_FRACTION)
        for connection, since in list(islice(self._idle_since.items(), max(0, excess))):
            if since > idle_before:
                break
            del self._idle_since[connection]
            connection.close()
