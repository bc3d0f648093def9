"""Finds endpoints that fail or are silent, and ejects them for a time. Times are in microseconds."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from rushroad.policy.concurrency_limit import ConcurrencyLimiter
from rushroad.policy.durations import SECOND
from rushroad.policy.events import Result
from rushroad.policy.latency import LatencyTracker

if TYPE_CHECKING:
    from rushroad.policy.active_endpoints import ActiveEndpoint

SMOOTHING = 0.2  # weight of a new result in an endpoint's error rate
MAX_ERROR_RATE = 0.3  # an endpoint over it is ejected; healthy ones are far below
MAX_EJECTED = 0.5  # of the endpoints; if more look bad, the cause is likely shared
EJECTION_RESPONSES = 6.0  # typical response times between requests that probe an ejected endpoint
MAX_EJECTION = 5 * SECOND  # microseconds
DEFAULT_LATENCY = SECOND / 10  # microseconds, before the first response
SUSPECT_RESPONSES = 5.0  # typical response times without any response that make an endpoint suspect
MIN_MISSED_RESPONSES = 3.0  # expected responses that did not come: chance is one in twenty


class OutlierState:
    """What tells whether one endpoint is an outlier."""

    __slots__ = ("ejected", "error_rate", "next_probe_at", "responded_at")

    def __init__(self, now: int) -> None:
        self.error_rate = 0.0
        self.responded_at = now  # when the last response of any kind came
        self.ejected = False
        self.next_probe_at = 0  # when an ejected endpoint may get its next request

    def reset(self) -> None:
        """Forget the errors, as after a restart of the endpoint."""
        self.ejected, self.error_rate = False, 0.0


class OutlierDetector:
    """Ejects endpoints, which then get one request after each ejection interval."""

    def __init__(self, latency: LatencyTracker, limiter: ConcurrencyLimiter) -> None:
        self._latency = latency
        self._limiter = limiter

    def _typical_latency(self) -> float:
        return self._latency.highest() or DEFAULT_LATENCY

    def suspects(self, endpoints: Sequence[ActiveEndpoint], now: int) -> list[ActiveEndpoint]:
        """Return the endpoints that are ejected, or silent for so long that they are about to be."""
        max_silence = SUSPECT_RESPONSES * self._typical_latency()
        suspects = []
        for endpoint in endpoints:
            state, in_flight = endpoint.outlier, endpoint.concurrency.in_flight
            if state.ejected:
                suspects.append(endpoint)
            elif in_flight:  # it owes a response since its last one, or since the oldest attempt
                oldest_started_at = next(iter(in_flight.values()))
                if now - max(oldest_started_at, state.responded_at) > max_silence:
                    suspects.append(endpoint)
        return suspects

    def select_ejected(self, suspects: list[ActiveEndpoint], endpoint_count: int) -> set[str]:
        """Return the names of the suspects that are to be avoided, the worst first if there are many."""
        suspects.sort(key=lambda each: (-each.outlier.error_rate, each.outlier.responded_at))
        # A refused connection proves an endpoint down, so all of these may be ejected.
        down = sum(each.outlier.error_rate >= 1.0 for each in suspects)
        limit = max(down, int(MAX_EJECTED * endpoint_count))
        return {each.entry.name for each in suspects[:limit]}

    def is_silent(self, endpoint: ActiveEndpoint, response_rate: float, since: int, now: int) -> bool:
        """Whether no response of any kind has come since then, though some were to be expected.

        Slowness of one request is not enough where a gateway sees few requests at an endpoint: cancelling
        it would throw away work that is nearly done, and ask for it again.
        """
        expected = response_rate * (now - since) / SECOND
        return endpoint.outlier.responded_at <= since < now and expected >= MIN_MISSED_RESPONSES

    def eject(self, endpoint: ActiveEndpoint, now: int) -> None:
        """Eject an endpoint."""
        endpoint.outlier.ejected = True
        self.schedule_probe(endpoint, now)

    def schedule_probe(self, endpoint: ActiveEndpoint, now: int) -> None:
        """Let the next request probe the endpoint one ejection interval from now."""
        replicas = 1.0 if self._limiter.pooled is None else self._limiter.replicas
        interval = int(min(MAX_EJECTION, EJECTION_RESPONSES * replicas * self._typical_latency()))
        endpoint.outlier.next_probe_at = now + interval

    def record_response(self, endpoint: ActiveEndpoint, result: Result, now: int) -> None:
        """Note that an endpoint has responded, if the result shows it."""
        if result in (Result.OK, Result.ERROR, Result.OVERLOADED):
            endpoint.outlier.responded_at = now

    def record_success(self, endpoint: ActiveEndpoint) -> None:
        """Take in a good response, which may end the ejection."""
        state = endpoint.outlier
        state.error_rate *= 1 - SMOOTHING
        state.ejected = state.ejected and state.error_rate > MAX_ERROR_RATE

    def record_error(self, endpoint: ActiveEndpoint, result: Result, now: int) -> None:
        """Take in an error, a reset or a failed connection, which may eject the endpoint."""
        state = endpoint.outlier
        weight = 1.0 if result is Result.CONNECT_FAILED else SMOOTHING
        state.error_rate += (1 - state.error_rate) * weight
        if state.error_rate > MAX_ERROR_RATE:
            self.eject(endpoint, now)
