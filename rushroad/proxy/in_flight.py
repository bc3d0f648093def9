"""Requests in flight and their attempts, which the engine shares with the client side and `upstream`."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol


class Call(Protocol):
    """A client's request, as seen by the engine and the attempts."""

    id: bytes  # given by the client; not the engine's request ID
    arrived_at_s: float  # earliest time at which its last byte may have arrived, on the monotonic clock
    class_index: int
    plan_index: int
    tenant: int
    units: float
    time_remaining_ms: int  # when the client sent the call, until it gives up
    entry_point_count: int  # number of gateways that receive requests of this tenant
    first_entry_point: int  # index of the first of them; the others follow in order
    is_retry: bool  # marked as a retry by the client

    def poll_disconnect(self) -> bool:
        """Return whether the client has disconnected.

        If so, the engine has been notified for all requests on the connection.
        """

    def may_have_left(self) -> bool:
        """Return whether the client may have disconnected a while ago, unseen behind input not read yet.

        No attempt may start then.
        """

    def forwarded_command(self, time_remaining_us: int) -> bytes:
        """Return the command for a rate server with the time remaining in place of the client's."""

    def succeed(self, value: bytes) -> None:
        """Answer with a rate server's value."""

    def reject(self, retry_after_us: int) -> None:
        """Answer that the request is rejected; 0 means that no Retry-After is given."""

    def fail(self) -> None:
        """Answer that the request failed."""


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is unanswered, or whose end the policy has not processed yet."""

    call: Call
    deadline_us: int  # on the gateway's clock, as the policy uses it
    deadline_timer: asyncio.TimerHandle
    attempts_started: int = 0
    attempts_in_flight: int = 0
    may_have_run: bool = False  # an attempt has ended without proof that it was not executed
    finished: bool = False  # answered, or its client has disconnected


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt to forward a request to an endpoint."""

    request_id: int
    number: int  # counts the attempts of the request from 0
    endpoint: str
    in_flight_request: InFlightRequest
    started_at_us: int  # on the gateway's clock
    finished: bool = False

    @property
    def call(self) -> Call:
        """The client's request."""
        return self.in_flight_request.call
