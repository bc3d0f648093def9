"""The actions that the decision policy asks for. All spans are whole microseconds."""

from __future__ import annotations

from typing import TypeAlias

import msgspec


class StartAttempt(msgspec.Struct, frozen=True, gc=False):
    """Forward a request to an endpoint; its attempts are numbered 0, 1, 2... in their order."""

    request_id: int
    endpoint: str
    timeout: int


class CancelAttempt(msgspec.Struct, frozen=True, gc=False):
    """Stop waiting for an attempt."""

    request_id: int
    attempt: int


class Reject(msgspec.Struct, frozen=True, gc=False):
    """Final answer: rejected, and a retry does no harm."""

    request_id: int
    retry_after: int = 0


class Fail(msgspec.Struct, frozen=True, gc=False):
    """Final answer: failed; says nothing of whether the request was executed."""

    request_id: int


class CounterAdd(msgspec.Struct, frozen=True, gc=False):
    """Add to a named number on the counter service; `lifetime` holds from the first add on."""

    name: int
    amount: float
    lifetime: int


class SetTimer(msgspec.Struct, frozen=True, gc=False):
    """Ask for a TimerFired event after this span."""

    delay: int
    token: int


class CheckHealth(msgspec.Struct, frozen=True, gc=False):
    """Send a health check to an endpoint."""

    endpoint: str


class SendPeerMessage(msgspec.Struct, frozen=True, gc=False):
    """Send a message to another gateway, or to all."""

    recipient: int | None
    data: bytes


class WatchEndpoints(msgspec.Struct, frozen=True, gc=False):
    """Ask the discovery service for updates from now on, or stop them."""

    enabled: bool


class FetchEndpoints(msgspec.Struct, frozen=True, gc=False):
    """Ask the discovery service for one snapshot of the endpoint list."""


class CloseIdleConnections(msgspec.Struct, frozen=True, gc=False):
    """Close this gateway's idle connections to an endpoint."""

    endpoint: str


class WriteLog(msgspec.Struct, frozen=True, gc=False):
    """Write a line to the operators' log."""

    text: str


Action: TypeAlias = (
    StartAttempt
    | CancelAttempt
    | Reject
    | Fail
    | CounterAdd
    | SetTimer
    | CheckHealth
    | SendPeerMessage
    | WatchEndpoints
    | FetchEndpoints
    | CloseIdleConnections
    | WriteLog
)
