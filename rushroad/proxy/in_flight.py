"""Requests that are owed an answer, and their attempts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol


class Call(Protocol):
    """A client's request, as the engine and its attempts see it."""

    id: bytes
    arrived_at_s: float  # when its last byte arrived; seconds of the monotonic clock, which the loop's is
    class_index: int
    plan_index: int
    tenant: int
    units: float
    time_remaining_ms: int  # until its client gives up, from when it sent the call
    entry_points: int
    first_entry: int
    is_retry: bool

    def poll_disconnect(self) -> bool:
        """Return whether its client has closed; the engine is then told of all requests on the connection."""

    def forwarded_command(self, time_remaining_us: int) -> bytes:
        """Return the command for a rate server with the time remaining in place of the client's."""

    def succeed(self, value: bytes) -> None:
        """Answer with a rate server's value."""

    def reject(self, retry_after_us: int) -> None:
        """Answer that it is rejected; a client may retry after so many microseconds, where this is not 0."""

    def fail(self) -> None:
        """Answer that it failed."""


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is owed its answer, or whose end the policy has not been told yet."""

    call: Call
    expires_at_us: int  # microseconds of the gateway's clock; the deadline that the policy knows
    deadline_timer: asyncio.TimerHandle
    attempts_started: int = 0
    attempts_in_flight: int = 0
    finished: bool = False  # answered, or its client disconnected


@dataclass(slots=True, eq=False)
class Attempt:
    """One forwarding of a request to an endpoint."""

    request_id: int
    number: int  # 0, 1, 2... among the attempts of the request
    endpoint: str
    in_flight_request: InFlightRequest
    started_at_us: int  # microseconds of the gateway's clock
    finished: bool = False

    @property
    def call(self) -> Call:
        """The client's request."""
        return self.in_flight_request.call
