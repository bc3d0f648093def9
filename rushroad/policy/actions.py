"""The actions that the policy requests. Times are whole microseconds."""

from __future__ import annotations

from typing import TypeAlias

import msgspec


class StartAttempt(msgspec.Struct, frozen=True, gc=False):
    """Forward a request to an endpoint; the attempts of a request are numbered from 0."""

    request_id: int
    endpoint: str
    timeout: int


class CancelAttempt(msgspec.Struct, frozen=True, gc=False):
    """Stop waiting for an attempt."""

    request_id: int
    attempt: int


class Reject(msgspec.Struct, frozen=True, gc=False):
    """Final answer: the request is rejected, and the client may safely retry it."""

    request_id: int
    retry_after: int = 0


class Fail(msgspec.Struct, frozen=True, gc=False):
    """Final answer: the request has failed, and may or may not have been executed."""

    request_id: int


class CounterAdd(msgspec.Struct, frozen=True, gc=False):
    """Add to a named total on the shared counter; the total expires `lifetime` after its first add."""

    total_name: int
    amount: float
    lifetime: int


class SetTimer(msgspec.Struct, frozen=True, gc=False):
    """Request a TimerFired event after this delay."""

    delay: int
    token: int


class CheckHealth(msgspec.Struct, frozen=True, gc=False):
    """Send a health check to an endpoint."""

    endpoint: str


class SendPeerMessage(msgspec.Struct, frozen=True, gc=False):
    """Send a message to another gateway, or to all others if `recipient` is None."""

    recipient: int | None
    data: bytes


class WatchEndpoints(msgspec.Struct, frozen=True, gc=False):
    """Start or stop a watch of the endpoint list at the discovery service."""

    enabled: bool


class FetchEndpoints(msgspec.Struct, frozen=True, gc=False):
    """Request one snapshot of the endpoint list from the discovery service."""


class CloseIdleConnections(msgspec.Struct, frozen=True, gc=False):
    """Close this gateway's idle connections to an endpoint."""

    endpoint: str


class WriteLog(msgspec.Struct, frozen=True, gc=False):
    """Write a line to the operator's log."""

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
