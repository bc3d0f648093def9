"""Detects client retries by their time remaining. Times are whole microseconds."""

from __future__ import annotations

from rushroad.policy.events import Request
from rushroad.policy.settings import RequestClass, Settings

MATCH_TOLERANCE = 0.01  # fraction of the class's deadline
WORTHWHILE_LATE_WEIGHT = 0.5  # from which a class's requests are worth serving after their objective


class TypicalTimeout:
    """The most common time remaining of a class's requests, by a Boyer-Moore style majority vote."""

    __slots__ = ("value", "votes")

    def __init__(self) -> None:
        self.value, self.votes = 0, 0

    def vote(self, time_remaining: int, matches: bool) -> None:
        """Count the vote of a request for or against the current value."""
        if matches:
            self.votes += 1
        elif self.votes <= 0:
            self.value, self.votes = time_remaining, 0
        else:
            self.votes -= 1


class ClientRetryDetector:
    """Estimates how long ago a client first sent a request.

    Most requests of a class arrive with the same time remaining. A request with a different one is assumed to
    be a retry with the rest of that time. Once its latency objective has passed, serving it would waste units
    and capacity.
    """

    def __init__(self, settings: Settings) -> None:
        self._typical_timeouts = [TypicalTimeout() for _ in settings.request_classes]

    def time_since_first_try(self, request: Request, request_class: RequestClass, is_overloaded: bool) -> int:
        """Return the estimated time since the first try; 0 if this is no retry.

        Also 0 without overload, and for classes that are worth serving after their objective. First tries
        with a short timeout look like retries as well, so detection is limited to overload, where serving
        such requests would deny service to others.
        """
        typical_timeout = self._typical_timeouts[request.class_index]
        distance = abs(request.time_remaining - typical_timeout.value)
        matches = distance <= MATCH_TOLERANCE * request_class.deadline
        typical_timeout.vote(request.time_remaining, matches)
        if matches or not is_overloaded or request_class.late_weight >= WORTHWHILE_LATE_WEIGHT:
            return 0
        return request_class.deadline - request.time_remaining
