"""The actions that the decision policy asks for. All spans are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Forward a request to an endpoint; its attempts are numbered 0, 1, 2... in their order."""

    request_id: int
    endpoint: str
    timeout: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, and a retry does no harm."""

    request_id: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; says nothing of whether the request was executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CounterAdd:
    """Add to a named number on the counter service; `lifetime` holds from the first add on."""

    name: int
    amount: float
    lifetime: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired event after this span."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another gateway, or to all."""

    recipient: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask the discovery service for updates from now on, or stop them."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask the discovery service for one snapshot of the endpoint list."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this gateway's idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WriteLog:
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
