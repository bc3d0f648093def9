"""Detects endpoints that fail or are silent, and ejects them for a time. Times are whole microseconds."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from rushroad.policy.concurrency_limit import ConcurrencyLimiter
from rushroad.policy.events import Result
from rushroad.policy.latency import LatencyTracker
from rushroad.policy.time_units import SECOND

if TYPE_CHECKING:
    from rushroad.policy.active_endpoints import ActiveEndpoint

ERROR_RATE_SMOOTHING = 0.2  # weight of a new result in an endpoint's error rate
MAX_ERROR_RATE = 0.3  # above it an endpoint is ejected; healthy ones are far below
MAX_EJECTED_FRACTION = 0.5  # of the endpoints; if more look unhealthy, the cause is likely shared
PROBE_INTERVAL_RESPONSE_TIMES = 6.0  # typical response times between the probes of an ejected endpoint
MAX_PROBE_INTERVAL = 5 * SECOND
DEFAULT_LATENCY = SECOND / 10  # assumed before the first response
SUSPECT_SILENCE_RESPONSE_TIMES = 5.0  # typical response times of silence that make an endpoint suspect
MIN_MISSED_RESPONSES = 3.0  # expected, and none received; the probability of that by chance is 1 in 20


class OutlierState:
    """The error rate, last response and ejection of one endpoint."""

    __slots__ = ("ejected", "error_rate", "next_probe_at", "responded_at")

    def __init__(self, now: int) -> None:
        self.error_rate = 0.0
        self.responded_at = now  # time of the last response of any kind
        self.ejected = False
        self.next_probe_at = 0  # earliest time of the next probe, while ejected

    def reset(self) -> None:
        """Clear the errors and the ejection, as after a restart of the endpoint."""
        self.ejected, self.error_rate = False, 0.0


class OutlierDetector:
    """Ejects endpoints; an ejected endpoint gets one request per probe interval."""

    def __init__(self, latency: LatencyTracker, limiter: ConcurrencyLimiter) -> None:
        self._latency = latency
        self._limiter = limiter

    def _typical_latency(self) -> float:
        return self._latency.highest() or DEFAULT_LATENCY

    def suspects(self, endpoints: Sequence[ActiveEndpoint], now: int) -> list[ActiveEndpoint]:
        """Return the endpoints that are ejected, or have been silent for so long that they may soon be."""
        max_silence = SUSPECT_SILENCE_RESPONSE_TIMES * self._typical_latency()
        suspects = []
        for endpoint in endpoints:
            state, in_flight = endpoint.outlier, endpoint.concurrency.in_flight
            if state.ejected:
                suspects.append(endpoint)
            elif in_flight:
                # Silent since the last response, or since the start of the oldest attempt if that is later.
                oldest_started_at = next(iter(in_flight.values()))
                if now - max(oldest_started_at, state.responded_at) > max_silence:
                    suspects.append(endpoint)
        return suspects

    def select_ejected(self, suspects: list[ActiveEndpoint], endpoint_count: int) -> set[str]:
        """Return the names of the suspects to avoid: the worst ones, if there are too many."""
        suspects.sort(key=lambda each: (-each.outlier.error_rate, each.outlier.responded_at))
        # A refused connection sets the error rate to 1 and proves that the endpoint is down, so all of these
        # may be ejected.
        down_count = sum(each.outlier.error_rate >= 1.0 for each in suspects)
        limit = max(down_count, int(MAX_EJECTED_FRACTION * endpoint_count))
        return {each.entry.name for each in suspects[:limit]}

    def is_silent(self, endpoint: ActiveEndpoint, response_rate: float, since: int, now: int) -> bool:
        """Return whether no response of any kind has come since a given time, although several were expected.

        One slow request is not enough where a gateway sends few requests to an endpoint: cancelling it would
        discard work that is nearly done, and repeat it.
        """
        expected = response_rate * (now - since) / SECOND
        return endpoint.outlier.responded_at <= since < now and expected >= MIN_MISSED_RESPONSES

    def eject(self, endpoint: ActiveEndpoint, now: int) -> None:
        """Eject an endpoint, and schedule its first probe."""
        endpoint.outlier.ejected = True
        self.schedule_probe(endpoint, now)

    def schedule_probe(self, endpoint: ActiveEndpoint, now: int) -> None:
        """Allow the next probe of an ejected endpoint one probe interval from now."""
        # With a pooled limit, the gateways that share the endpoint keep the interval together.
        replicas = 1.0 if self._limiter.pooled is None else self._limiter.mean_replicas
        interval = int(
            min(MAX_PROBE_INTERVAL, PROBE_INTERVAL_RESPONSE_TIMES * replicas * self._typical_latency())
        )
        endpoint.outlier.next_probe_at = now + interval

    def record_response(self, endpoint: ActiveEndpoint, result: Result, now: int) -> None:
        """Record the time of a response, if the result is one."""
        if result in (Result.OK, Result.ERROR, Result.OVERLOADED):
            endpoint.outlier.responded_at = now

    def record_success(self, endpoint: ActiveEndpoint) -> None:
        """Lower the error rate after a successful response, which may end the ejection."""
        state = endpoint.outlier
        state.error_rate *= 1 - ERROR_RATE_SMOOTHING
        state.ejected = state.ejected and state.error_rate > MAX_ERROR_RATE

    def record_error(self, endpoint: ActiveEndpoint, result: Result, now: int) -> None:
        """Raise the error rate after an error, reset or failed connection, which may eject the endpoint."""
        state = endpoint.outlier
        weight = 1.0 if result is Result.CONNECT_FAILED else ERROR_RATE_SMOOTHING
        state.error_rate += (1 - state.error_rate) * weight
        if state.error_rate > MAX_ERROR_RATE:
            self.eject(endpoint, now)
