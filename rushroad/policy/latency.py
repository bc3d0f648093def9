"""Moving averages of response times by request class, endpoint and endpoint class, in microseconds."""

from __future__ import annotations

from rushroad.policy.events import AttemptFinished, Result
from rushroad.policy.settings import Settings

# Weight of a new response time in a moving average. The work per request varies by as much as its mean, so
# that about 30 responses must count.
RESPONSE_TIME_SMOOTHING = 0.03


class RelativeLatency:
    """Moving average of response times, as multiples of the typical one of the request class."""

    __slots__ = ("mean", "samples")

    def __init__(self) -> None:
        self.mean, self.samples = 1.0, 0

    def reset(self) -> None:
        """Discard all samples, as after a restart of the endpoint."""
        self.mean, self.samples = 1.0, 0

    def record(self, relative: float) -> None:
        """Add a sample."""
        self.samples += 1
        self.mean += max(RESPONSE_TIME_SMOOTHING, 1.0 / self.samples) * (relative - self.mean)


class LatencyTracker:
    """The typical response time of each request class; 0 before the first response."""

    def __init__(self, settings: Settings) -> None:
        self._typical = [0.0 for _ in settings.request_classes]

    def typical(self, class_index: int) -> float:
        """Return the typical response time of a request class."""
        return self._typical[class_index]

    def highest(self) -> float:
        """Return the highest typical response time of all request classes."""
        return max(self._typical)

    def relative(self, event: AttemptFinished, class_index: int) -> float | None:
        """Return an attempt's time relative to the typical one; None if the result shows no latency.

        An attempt that timed out or was cancelled would have taken longer, so its elapsed time counts.
        """
        typical = self._typical[class_index] or float(event.elapsed)
        if not typical or event.result not in (Result.OK, Result.TIMEOUT, Result.CANCELLED):
            return None
        return event.elapsed / typical

    def record_response(self, elapsed: int, class_index: int) -> None:
        """Add the response time of a successful attempt."""
        typical = self._typical[class_index] or float(elapsed)
        self._typical[class_index] = typical + RESPONSE_TIME_SMOOTHING * (elapsed - typical)
