"""The connection pool of one endpoint; `upstream` has one for each endpoint in use. Times are in seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushroad.proxy.endpoint_addresses import PackedAddress
    from rushroad.proxy.upstream import Upstream
    from rushroad.proxy.upstream_connection import UpstreamConnection

# A connection is not reused for this time after a response. A duplicate response, which would be served to
# the next attempt, arrives within it.
SETTLE_TIME_S = 0.03
CONSECUTIVE_ABANDONED_THRESHOLD = 2  # abandoned attempts after which idle connections are presumed broken


class EndpointPool:
    """Assigns connections of one endpoint to attempts. Endpoints without attempts have no pool."""

    def __init__(self, upstream: Upstream, name: str, address: PackedAddress) -> None:
        self.upstream, self.name, self.address = upstream, name, address
        self.idle: list[UpstreamConnection] = []  # in order of last use; the last is reused first
        self.connections: set[UpstreamConnection] = set()  # all established connections
        self.connecting_count = 0
        self.consecutive_abandoned = 0  # attempts abandoned since data last arrived from the endpoint
        self.stopped = False  # the endpoint is draining or removed and gets no new attempts

    def acquire(self, idempotent: bool) -> UpstreamConnection | None:
        """Return the most recently used idle connection that may be reused, or None.

        It may be once its settle time has passed, and as long as idle_reset_rates allows its idle time.
        idempotent: whether the request that is to be sent on it is idempotent.
        """
        now = self.upstream.loop.time()
        for connection in reversed(self.idle):
            idle_time = now - connection.idle_since
            if idle_time < SETTLE_TIME_S:
                continue
            if not self.upstream.idle_reset_rates.may_reuse(idle_time, idempotent):
                break  # the remaining ones have been idle for longer
            self._remove_idle(connection)
            if connection.is_clean():
                connection.idle_time = idle_time
                return connection
            connection.close()
        return None

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after its attempt, or close it if it can't be reused."""
        if self.stopped or connection.address != self.address:
            connection.close()
        elif connection in self.connections:
            connection.idle_since = self.upstream.loop.time()
            self.idle.append(connection)
            self.upstream.connection_limit.idle[connection] = None

    def _remove_idle(self, connection: UpstreamConnection) -> None:
        self.idle.remove(connection)
        del self.upstream.connection_limit.idle[connection]

    def add(self, connection: UpstreamConnection) -> None:
        """Add an established connection."""
        self.connections.add(connection)
        self.upstream.connection_limit.open_count += 1

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.upstream.connection_limit.open_count -= 1
        if connection in self.upstream.connection_limit.idle:
            self._remove_idle(connection)
        self.upstream.pools_to_check.add(self)

    def is_needed(self) -> bool:
        """Return whether it has or opens connections, or has abandoned attempts of a ready endpoint."""
        return bool(
            self.connections or self.connecting_count or (self.consecutive_abandoned and not self.stopped)
        )

    def on_connect_done(self, _task: object) -> None:
        """Count a connect that has succeeded, failed or been cancelled."""
        self.connecting_count -= 1
        self.upstream.pools_to_check.add(self)

    def apply_entry(self, address: PackedAddress, ready: bool) -> None:
        """Apply an entry of the endpoint list: the endpoint's address and whether it is ready."""
        if address != self.address:
            self.address = address
            self.close_idle(self.upstream.loop.time())
        if ready:
            self.stopped = False
        else:
            self.stop()

    def stop(self) -> None:
        """Stop assigning connections to new attempts; attempts in flight may finish."""
        if not self.stopped:
            self.stopped = True
            self.close_idle(self.upstream.loop.time())
            self.upstream.pools_to_check.add(self)

    def record_abandoned(self) -> None:
        """Count an attempt abandoned after it was written; after two in a row close the idle connections.

        When a host fails, its connections stay open without traffic, or are reset only later. If no data
        arrived between abandoned attempts, a new connection shows quickly and at no risk to a request whether
        the host is reachable. A single abandoned attempt is more often just a slow response.
        """
        self.consecutive_abandoned += 1
        if self.consecutive_abandoned >= CONSECUTIVE_ABANDONED_THRESHOLD:
            self.close_idle(self.upstream.loop.time())

    def close_idle(self, before: float) -> None:
        """Close the connections that became idle at or before the given time of the loop's clock."""
        for connection in [idle for idle in self.idle if idle.idle_since <= before]:
            connection.close()
