"""The events that the policy handles.

Times are whole microseconds. Timestamps are on the gateway's monotonic clock, which should agree with those
of the other gateways; the policy tolerates a wrong clock (see `clock_skew` and `counter_window`).
Identifiers of requests, endpoints and tenants are opaque.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import TypeAlias

import msgspec


class Result(Enum):
    """How an attempt, a health check or a counter call ended."""

    OK = "ok"
    ERROR = "error"  # an error response; the request may have been executed
    OVERLOADED = "overloaded"  # rejected before execution
    TIMEOUT = "timeout"  # no response in time; the request may have been executed, or be executing still
    CONNECT_FAILED = "connect failed"  # the request never reached the endpoint
    RESET = "reset"  # the connection broke; the request may have been executed
    CANCELLED = "cancelled"  # cancelled by this gateway; the request may have been executed
    NOT_FORWARDED = "not forwarded"  # the request had finished before, or had no attempts left

    @property
    def proven_not_executed(self) -> bool:
        """Whether the result proves that the request was not executed."""
        return self in (Result.OVERLOADED, Result.CONNECT_FAILED, Result.NOT_FORWARDED)


class EndpointState(IntEnum):
    """The state of an endpoint in the endpoint list."""

    REMOVED = 1
    READY = 2
    DRAINING = 3


class UpdateKind(IntEnum):
    """What an endpoint update contains."""

    DELTA = 0
    SNAPSHOT = 1
    CACHED_SNAPSHOT = 2  # the last list that this gateway received, possibly stale
    FAILED = 3  # a call to the discovery service failed; the update has no endpoints


class Request(msgspec.Struct, frozen=True, gc=False):
    """A client's request has arrived; it must get exactly one final answer."""

    id: int
    class_index: int  # into Settings.request_classes
    plan_index: int  # into Settings.plans
    tenant: int
    units: float
    time_remaining: int  # until the client stops waiting for this request
    entry_point_count: int = 1  # number of gateways that receive requests of this tenant
    first_entry_point: int = 0  # index of the first of them; the others follow in order
    is_retry: bool = False  # marked as a retry by the client


class AttemptFinished(msgspec.Struct, frozen=True, gc=False):
    """An attempt has finished; exactly one follows each StartAttempt."""

    request_id: int
    attempt: int
    endpoint: str
    result: Result
    elapsed: int
    is_final: bool  # the request has finished, by this attempt or before it
    used_percent: int | None = None  # the tenant's use across all gateways; None if not metered
    actual_units: float | None = None
    load_report: tuple[float, ...] = ()  # in the order of Settings.load_report_fields


class ResponseStarted(msgspec.Struct, frozen=True, gc=False):
    """A streamed response has started, so the client's answer must come from this attempt."""

    request_id: int
    attempt: int
    endpoint: str
    elapsed: int


class CounterReply(msgspec.Struct, frozen=True, gc=False):
    """The reply to a CounterAdd."""

    total_name: int
    result: Result
    elapsed: int
    total: float  # after the add; has no meaning unless the result is OK


class LateCounterReply(msgspec.Struct, frozen=True, gc=False):
    """The total for a CounterAdd already reported as TIMEOUT; it may never arrive."""

    total_name: int
    amount: float
    total: float


class ClientDisconnected(msgspec.Struct, frozen=True, gc=False):
    """The client has closed its connection; the request needs no answer any more."""

    request_id: int


class Endpoint(msgspec.Struct, frozen=True, gc=False):
    """An entry of the endpoint list."""

    name: str
    state: EndpointState
    endpoint_class_index: int = 0
    zone: int = 0
    cell: int = 0
    started_at: int = 0  # 0: started long ago
    weight: float = 1.0


class EndpointUpdate(msgspec.Struct, frozen=True, gc=False):
    """An update of the endpoint list; a long snapshot arrives in several parts.

    Each part takes effect on arrival. Endpoints that no part of a snapshot contains are removed after its
    last part. A first part starts a new snapshot, even if the last part of the previous one never arrived.
    """

    kind: UpdateKind
    version: int
    endpoints: tuple[Endpoint, ...]
    is_first_part: bool = True
    is_last_part: bool = True


class HealthCheckReply(msgspec.Struct, frozen=True, gc=False):
    """The reply to a CheckHealth."""

    endpoint: str
    result: Result
    elapsed: int
    load_report: tuple[float, ...] = ()


class PeerMessage(msgspec.Struct, frozen=True, gc=False):
    """A message from another gateway."""

    sender: int
    data: bytes


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """The timer of a SetTimer has fired."""

    token: int


Event: TypeAlias = (
    Request
    | AttemptFinished
    | ResponseStarted
    | CounterReply
    | LateCounterReply
    | ClientDisconnected
    | EndpointUpdate
    | HealthCheckReply
    | PeerMessage
    | TimerFired
)
