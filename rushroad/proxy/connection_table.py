"""The table of client connections, which enforces limits on their number, timeouts and unread answers."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

from rushroad.proxy.buffer_limit import BufferLimit
from rushroad.proxy.client_command import CommandSchema
from rushroad.proxy.command_scheduler import CommandScheduler
from rushroad.proxy.disconnect_poller import DisconnectPoller
from rushroad.proxy.engine import Engine
from rushroad.proxy.loop_lag import LoopLagMonitor

if TYPE_CHECKING:
    from rushroad.proxy.client_connection import ClientConnection

CLIENT_TIMEOUT_S = 2.0  # for sending the first command, for completing a command and for reading answers
STALLED_TIMEOUT_S = 0.25  # for completing a long command when the memory for buffers is exhausted
SWEEP_INTERVAL_S = 0.25
MIN_IDLE_TIME_S = 2.0  # a connection stays open for this time after its last answer
MAX_IDLE_FRACTION = 0.25  # of the connection limit; above it, the connections idle for longest are closed
MAX_PENDING_FRACTION = 0.25  # of the connection limit; above it, new connections evict pending ones
MAX_EVICTION_CANDIDATES = 16  # each costs a system call
# Total of the answers that clients may leave unread after their timeout, in bytes and of the buffers' limit.
MAX_UNREAD_BYTES, MAX_UNREAD_FRACTION = 8 << 20, 0.5


class ConnectionTable:
    """The open client connections, their timeouts and the objects that they share."""

    def __init__(
        self,
        engine: Engine,
        schema: CommandSchema,
        max_connections: int,
        memory_limit: int,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create an empty table; memory_limit: bytes that the gateway may use."""
        self.engine, self.schema, self.loop = engine, schema, loop
        self.buffers = BufferLimit.of_gateway(memory_limit, max_connections, loop)
        self.scheduler = CommandScheduler(loop)
        self.loop_lag = LoopLagMonitor(loop)
        self.disconnect_poller = DisconnectPoller(loop)
        self.open: set[ClientConnection] = set()
        self.shutting_down = False  # each connection closes once it has no unanswered commands
        self._max_connections = max_connections
        # Times at which each connection became pending or idle, in ascending order. A connection is pending
        # while its timeout runs, within which its client has to act.
        self._pending_since: dict[ClientConnection, float] = {}
        self._idle_since: dict[ClientConnection, float] = {}

    def sweep(self) -> None:
        """Close timed-out and long-idle connections, now and at each SWEEP_INTERVAL_S."""
        self._close_timed_out()
        self._close_idle()
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def add(self, connection: ClientConnection) -> None:
        """Add a new connection; above the connection limit, one connection is evicted.

        The connection idle for longest is evicted, as it is the least likely to have a request on its way. If
        too many connections are pending, the oldest pending one to which nothing is owed is evicted instead,
        so that silent clients cannot displace active ones.
        """
        self.open.add(connection)
        self.start_timeout(connection)
        if len(self.open) <= self._max_connections:
            return
        too_many_pending = len(self._pending_since) > max(1, self._max_connections * MAX_PENDING_FRACTION)
        evicted = None if too_many_pending else self._first_quiet(self._idle_since)
        evicted = evicted or self._first_quiet(self._pending_since) or connection
        self.remove(evicted)
        evicted.abort()

    @staticmethod
    def _first_quiet(connections: dict[ClientConnection, float]) -> ClientConnection | None:
        candidates = (connection for connection in connections if not connection.unanswered)
        examined = islice(candidates, MAX_EVICTION_CANDIDATES)
        return next((connection for connection in examined if connection.is_quiet()), None)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.open.discard(connection)
        self._pending_since.pop(connection, None)
        self._idle_since.pop(connection, None)
        self.disconnect_poller.unwatch(connection)

    def start_timeout(self, connection: ClientConnection) -> None:
        """Start the timeout within which the client has to act, unless it is running."""
        self._pending_since.setdefault(connection, self.loop.time())

    def restart_timeout(self, connection: ClientConnection) -> None:
        """Start the timeout within which the client has to act; if it is running, start it anew."""
        self._pending_since.pop(connection, None)
        self._pending_since[connection] = self.loop.time()

    def stop_timeout(self, connection: ClientConnection) -> None:
        """Stop the timeout: the client has acted, or the connection is closing."""
        self._pending_since.pop(connection, None)

    def commands_processed(self, connection: ClientConnection, count: int, is_partial: bool) -> None:
        """Update the timeout after commands were processed; is_partial: the rest of another is missing."""
        if is_partial and count:
            self.restart_timeout(connection)
        elif is_partial:
            self.start_timeout(connection)
        elif count:
            self.stop_timeout(connection)
            if not connection.unanswered:
                self.mark_idle(connection)

    def mark_idle(self, connection: ClientConnection) -> None:
        """Mark a connection without unanswered commands as idle, unless its timeout is running."""
        self._idle_since.pop(connection, None)
        if connection in self.open and connection not in self._pending_since:
            self._idle_since[connection] = self.loop.time()

    def mark_busy(self, connection: ClientConnection) -> None:
        """Mark a connection as not idle."""
        self._idle_since.pop(connection, None)

    def may_leave_unread(self, connection: ClientConnection) -> bool:
        """Return whether a client may leave its answers unread after its timeout.

        This is allowed until the longest deadline, as long as all unread answers are within their limits.
        """
        unread_bytes = sum(pending.transport.get_write_buffer_size() for pending in self._pending_since)
        unread_bytes += connection.transport.get_write_buffer_size()
        waited = self.loop.time() - connection.unread_since
        max_unread_bytes = min(MAX_UNREAD_BYTES, self.buffers.limit_bytes * MAX_UNREAD_FRACTION)
        return waited < self.schema.longest_deadline_s and unread_bytes <= max_unread_bytes

    def _close_timed_out(self) -> None:
        if self.buffers.is_exceeded():
            self._close_stalled()
        pending_before = self.loop.time() - CLIENT_TIMEOUT_S
        for connection, since in list(self._pending_since.items()):
            if since > pending_before:
                break
            del self._pending_since[connection]
            connection.time_out()

    def _close_stalled(self) -> None:
        """Close connections that use much memory for a command whose rest does not come: others need it."""
        pending_before = self.loop.time() - STALLED_TIMEOUT_S
        for connection, since in list(self._pending_since.items()):
            if since <= pending_before and connection.is_stalled():
                connection.time_out()

    def _close_idle(self) -> None:
        """Close the connections idle for longest, if there are too many.

        Some clients send one request and keep their connection open indefinitely; without this they would use
        up the connection limit.
        """
        idle_before = self.loop.time() - MIN_IDLE_TIME_S
        excess = len(self._idle_since) - int(self._max_connections * MAX_IDLE_FRACTION)
        for connection, since in list(islice(self._idle_since.items(), max(0, excess))):
            if since > idle_before:
                break
            del self._idle_since[connection]
            connection.close()
