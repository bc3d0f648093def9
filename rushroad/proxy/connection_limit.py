"""The limit on connections to all endpoints together: each takes one of the process's descriptors."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rushroad.proxy.upstream_connection import UpstreamConnection


class ConnectionLimit:
    """Counts the connections to endpoints, and knows which of the idle ones has been idle for longest."""

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self.open_count = 0  # connections that are up
        self.idle: OrderedDict[UpstreamConnection, None] = OrderedDict()  # of all pools, longest idle first

    def make_room(self, connecting: int) -> bool:
        """Return whether one more may connect; at the limit the longest idle connection is closed for it.

        `connecting` counts those that are not up yet.
        """
        if self.open_count + connecting < self._maximum:
            return True
        longest_idle = next(iter(self.idle), None)
        if longest_idle is not None:
            longest_idle.close()
        return longest_idle is not None

    def close_idle(self, before: float) -> None:
        """Close the connections of all pools that have been idle since this time or longer."""
        while self.idle and (longest_idle := next(iter(self.idle))).idle_since <= before:
            longest_idle.close()
