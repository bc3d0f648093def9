"""Recognizes retries of clients by the time that they have left."""

from __future__ import annotations

from rushroad.policy.events import Request
from rushroad.policy.settings import RequestClass, Settings

MATCH_TOLERANCE = 0.01  # of a class's deadline
MAX_LATE_WEIGHT = 0.5  # classes that earn so much after their objective are worth serving late


class ClientTimeout:
    """The typical time that clients give the first try of a class, by majority vote."""

    __slots__ = ("typical", "votes")

    def __init__(self) -> None:
        self.typical, self.votes = 0, 0

    def vote(self, time_remaining: int, matches: bool) -> None:
        """Count one request, which matches the typical time or not."""
        if matches:
            self.votes += 1
        elif self.votes <= 0:
            self.typical, self.votes = time_remaining, 0
        else:
            self.votes -= 1


class ClientRetries:
    """Estimates how long ago a client first sent a request.

    Most requests of a class arrive with the same time left. Another one is a retry with the rest of its
    time: once its latency objective has passed, it would take units and capacity for nothing.
    """

    def __init__(self, settings: Settings) -> None:
        self._timeouts = [ClientTimeout() for _ in settings.request_classes]

    def elapsed(self, request: Request, request_class: RequestClass, is_overloaded: bool) -> int:
        """Return the microseconds since the first try; 0 unless there is overload.

        Clients that are merely impatient would be harmed, so only while others would go without.
        """
        timeout = self._timeouts[request.class_index]
        distance = abs(request.time_remaining - timeout.typical)
        matches = distance <= MATCH_TOLERANCE * request_class.deadline
        timeout.vote(request.time_remaining, matches)
        if matches or not is_overloaded or request_class.late_weight >= MAX_LATE_WEIGHT:
            return 0
        return request_class.deadline - request.time_remaining
