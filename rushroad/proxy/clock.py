"""The gateway's clock."""

from __future__ import annotations

import time
from dataclasses import dataclass, field


@dataclass(slots=True)
class Clock:
    """A monotonic clock that starts from Unix time.

    The policy derives from it when the windows of a tenant's total on the counter begin, so the clocks of all
    gateways should agree, and changes of the system clock must not affect it.
    """

    offset_ns: int = field(default_factory=lambda: time.time_ns() - time.monotonic_ns())

    def now_us(self) -> int:
        """Return the current time in microseconds."""
        return (self.offset_ns + time.monotonic_ns()) // 1_000
