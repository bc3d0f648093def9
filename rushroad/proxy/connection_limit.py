"""The limit on the connections to endpoints, over all pools: each connection uses a file descriptor."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushroad.proxy.upstream_connection import UpstreamConnection


class ConnectionLimit:
    """Counts the connections to all endpoints and orders the idle ones by idle time."""

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self.open_count = 0  # established connections
        self.idle: OrderedDict[UpstreamConnection, None] = OrderedDict()  # of all pools, longest idle first

    def make_room(self, connecting: int) -> bool:
        """Return whether another connection can be opened; at the limit, close the longest idle one.

        `connecting` is the number of connections that are not established yet.
        """
        if self.open_count + connecting < self._maximum:
            return True
        longest_idle = next(iter(self.idle), None)
        if longest_idle is not None:
            longest_idle.close()
        return longest_idle is not None

    def close_idle(self, before: float) -> None:
        """Close the connections of all pools that became idle at or before this time."""
        while self.idle and (longest_idle := next(iter(self.idle))).idle_since <= before:
            longest_idle.close()
