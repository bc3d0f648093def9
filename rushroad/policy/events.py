"""The events that the decision policy takes.

All times and spans are whole microseconds on one monotonic clock that the gateways of a deployment share.
Requests, endpoints and tenants are identified by values that carry no meaning.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import TypeAlias

import msgspec


class Result(Enum):
    """How an attempt, a health check or a counter call ended."""

    OK = "ok"
    ERROR = "error"  # an error response; it may have been executed
    OVERLOADED = "overloaded"  # rejected before execution
    TIMEOUT = "timeout"  # no response in time; it may have been executed, or still be
    CONNECT_FAILED = "connect failed"  # never reached the endpoint
    RESET = "reset"  # the connection broke; it may have been executed
    CANCELLED = "cancelled"  # by this gateway; it may have been executed
    NOT_FORWARDED = "not forwarded"  # the request was over, or had no attempts left

    @property
    def proven_not_executed(self) -> bool:
        """True where the result proves that nothing was executed."""
        return self in (Result.OVERLOADED, Result.CONNECT_FAILED, Result.NOT_FORWARDED)


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list."""

    REMOVED = 1
    READY = 2
    DRAINING = 3


class UpdateKind(IntEnum):
    """What an update of the endpoint list holds."""

    DELTA = 0
    SNAPSHOT = 1
    CACHED_SNAPSHOT = 2  # the list as this gateway last had it, perhaps stale
    FAILED = 3  # a call to the discovery service failed; no endpoints


class Request(msgspec.Struct, frozen=True, gc=False):
    """A client's request has arrived and is owed one final answer."""

    id: int
    class_index: int  # into Settings.request_classes
    plan_index: int  # into Settings.plans
    tenant: int
    units: float
    time_remaining: int  # until the client gives this request up
    entry_points: int = 1  # gateways that this tenant's requests can come through
    first_entry: int = 0  # the first of them; the rest follow in order
    is_retry: bool = False  # marked by the client as a repeat


class AttemptOutcome(msgspec.Struct, frozen=True, gc=False):
    """How an attempt ended; each StartAttempt gets exactly one."""

    request_id: int
    attempt: int
    endpoint: str
    result: Result
    elapsed: int
    final: bool  # the request is over, by this outcome or before it
    used_percent: int | None = None  # the tenant's use over all gateways, where endpoints meter it
    actual_units: float | None = None
    load_report: tuple[float, ...] = ()  # in the order of Settings.load_report_fields


class ResponseStarted(msgspec.Struct, frozen=True, gc=False):
    """A streamed response has begun: the attempt is bound to the client from now on."""

    request_id: int
    attempt: int
    endpoint: str
    elapsed: int


class CounterReply(msgspec.Struct, frozen=True, gc=False):
    """The reply to one CounterAdd."""

    name: int
    result: Result
    elapsed: int
    total: float


class LateCounterReply(msgspec.Struct, frozen=True, gc=False):
    """The total of a CounterAdd that was reported as TIMEOUT before. It may never come."""

    name: int
    amount: float
    total: float


class ClientDisconnected(msgspec.Struct, frozen=True, gc=False):
    """The client has closed its connection; no answer is owed for this request any more."""

    request_id: int


class Endpoint(msgspec.Struct, frozen=True, gc=False):
    """An entry of the endpoint list."""

    name: str
    state: EndpointState
    endpoint_class: int = 0
    zone: int = 0
    cell: int = 0
    started_at: int = 0  # 0: long ago
    weight: float = 1.0


class EndpointUpdate(msgspec.Struct, frozen=True, gc=False):
    """An update of the endpoint list; a long snapshot is split into several parts.

    Each part takes effect on arrival. Endpoints that no part of a snapshot contains are removed after its
    last part. A first part starts a new snapshot, even if the last part of the previous one never arrived.
    """

    kind: UpdateKind
    version: int
    endpoints: tuple[Endpoint, ...]
    is_first_part: bool = True
    is_last_part: bool = True


class HealthCheckReply(msgspec.Struct, frozen=True, gc=False):
    """The reply to one CheckHealth."""

    endpoint: str
    result: Result
    elapsed: int
    load_report: tuple[float, ...] = ()


class PeerMessage(msgspec.Struct, frozen=True, gc=False):
    """A message from another gateway."""

    sender: int
    data: bytes


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """A SetTimer has run out."""

    token: int


Event: TypeAlias = (
    Request
    | AttemptOutcome
    | ResponseStarted
    | CounterReply
    | LateCounterReply
    | ClientDisconnected
    | EndpointUpdate
    | HealthCheckReply
    | PeerMessage
    | TimerFired
)
