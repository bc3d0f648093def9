"""The gateway's clock."""

from __future__ import annotations

import time
from dataclasses import dataclass, field


@dataclass(slots=True)
class Clock:
    """Microseconds: Unix time at the start, and from there monotonic.

    The policy numbers the windows of the shared counter by it, so all gateways have to agree on the time, and
    a system clock that is set anew must not move it.
    """

    offset_ns: int = field(default_factory=lambda: time.time_ns() - time.monotonic_ns())  # nanoseconds

    def now_us(self) -> int:
        """Return the time now."""
        return (self.offset_ns + time.monotonic_ns()) // 1_000
