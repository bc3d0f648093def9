"""Running means of response times: by class of requests, by endpoint and by class of endpoints."""

from __future__ import annotations

from rushroad.policy.events import AttemptOutcome, Result
from rushroad.policy.settings import Settings

SMOOTHING = 0.03  # weight of a new response time: work varies as much as its mean, so some thirty must count


class RelativeLatency:
    """Response time as a multiple of the typical one of the request class."""

    __slots__ = ("mean", "samples")

    def __init__(self) -> None:
        self.mean, self.samples = 1.0, 0

    def reset(self) -> None:
        """Forget all samples, as after a restart of the endpoint."""
        self.mean, self.samples = 1.0, 0

    def record(self, relative: float) -> None:
        """Take in one more sample."""
        self.samples += 1
        self.mean += max(SMOOTHING, 1.0 / self.samples) * (relative - self.mean)


class LatencyTracker:
    """The typical response time of each request class, in microseconds; 0 before the first response."""

    def __init__(self, settings: Settings) -> None:
        self._typical = [0.0 for _ in settings.request_classes]

    def typical(self, class_index: int) -> float:
        """Return the typical response time of a class."""
        return self._typical[class_index]

    def highest(self) -> float:
        """Return the highest typical response time of all classes."""
        return max(self._typical)

    def relative(self, outcome: AttemptOutcome, class_index: int) -> float | None:
        """Return an attempt's time relative to the typical one; None where it tells nothing of latency.

        What was given up would have taken longer still, so it counts with the time that it took.
        """
        typical = self._typical[class_index] or float(outcome.elapsed)
        if not typical or outcome.result not in (Result.OK, Result.TIMEOUT, Result.CANCELLED):
            return None
        return outcome.elapsed / typical

    def record_response(self, elapsed: int, class_index: int) -> None:
        """Take in the time of a good response."""
        typical = self._typical[class_index] or float(elapsed)
        self._typical[class_index] = typical + SMOOTHING * (elapsed - typical)
