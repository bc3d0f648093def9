"""The connections of one endpoint: idle ones, those in use, and those that are connecting."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushroad.proxy.endpoint_addresses import PackedAddress
    from rushroad.proxy.upstream import Upstream
    from rushroad.proxy.upstream_connection import UpstreamConnection

SETTLE_TIME_S = (
    0.03  # seconds that a connection is not reused after a response: a surplus one follows by then
)
SUSPECT_AFTER = 2  # attempts abandoned in a row after which idle connections are suspect


class EndpointPool:
    """Assigns the connections of one endpoint to attempts. Endpoints without attempts have no pool."""

    def __init__(self, upstream: Upstream, name: str, address: PackedAddress) -> None:
        self.upstream, self.name, self.address = upstream, name, address
        self.idle: list[UpstreamConnection] = []  # the last used at the end, so that the others time out
        self.connections: set[UpstreamConnection] = set()  # all that are up
        self.connecting = 0
        self.abandoned_in_row = 0  # attempts abandoned since the last byte from the endpoint
        self.stopped = False  # the endpoint is draining or removed: it may be sent nothing new

    def acquire(self, idempotent: bool) -> UpstreamConnection | None:
        """Take an idle connection for an attempt: the last used of those that have settled, or None."""
        now = self.upstream.loop.time()
        for connection in reversed(self.idle):
            idle_time = now - connection.idle_since
            if idle_time < SETTLE_TIME_S:
                continue
            if not self.upstream.idle_resets.may_reuse(idle_time, idempotent):
                break  # those before it have been idle for longer
            self._remove_idle(connection)
            if connection.is_clean():
                connection.idle_time = idle_time
                return connection
            connection.close()
        return None

    def release(self, connection: UpstreamConnection) -> None:
        """Take a connection back that has no attempt any more; it is idle then, or closed."""
        if self.stopped or connection.address != self.address:
            connection.close()
        elif connection in self.connections:
            connection.idle_since = self.upstream.loop.time()
            self.idle.append(connection)
            self.upstream.limit.idle[connection] = None

    def _remove_idle(self, connection: UpstreamConnection) -> None:
        self.idle.remove(connection)
        del self.upstream.limit.idle[connection]

    def add(self, connection: UpstreamConnection) -> None:
        """Add a connection that has come up."""
        self.connections.add(connection)
        self.upstream.limit.open_count += 1

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has ended."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.upstream.limit.open_count -= 1
        if connection in self.upstream.limit.idle:
            self._remove_idle(connection)
        self.upstream.maybe_unused.add(self)

    def is_needed(self) -> bool:
        """Return whether it has connections, or knows of attempts abandoned at an endpoint that is ready."""
        return bool(self.connections or self.connecting or (self.abandoned_in_row and not self.stopped))

    def connect_ended(self, _task: object) -> None:
        """Note that a connection has come up, or has been abandoned before."""
        self.connecting -= 1
        self.upstream.maybe_unused.add(self)

    def update(self, address: PackedAddress, ready: bool) -> None:
        """Take an entry of the endpoint list: where the endpoint is, and whether it is ready."""
        if address != self.address:
            self.address = address
            self.close_idle(self.upstream.loop.time())
        if ready:
            self.stopped = False
        else:
            self.stop()

    def stop(self) -> None:
        """Send the endpoint nothing new; attempts in flight may finish."""
        if not self.stopped:
            self.stopped = True
            self.close_idle(self.upstream.loop.time())
            self.upstream.maybe_unused.add(self)

    def attempt_abandoned(self) -> None:
        """Note an attempt abandoned after it was written; after two in a row close the idle connections.

        The connections of a machine that vanished stay open and silent, or end as resets later. Where nothing
        at all has come between abandoned attempts, a new connection shows soon, and without harm, whether the
        machine is there. A single one is more often mere slowness.
        """
        self.abandoned_in_row += 1
        if self.abandoned_in_row >= SUSPECT_AFTER:
            self.close_idle(self.upstream.loop.time())

    def close_idle(self, before: float) -> None:
        """Close the connections that have been idle since this time or longer."""
        for connection in [idle for idle in self.idle if idle.idle_since <= before]:
            connection.close()
