"""Event records, as the simulator sends them: codes, layouts, and their reading into the policy's terms.

Spans are in microseconds. Codes and layouts bear the names that the wire gives the records.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

from rushroad.policy.events import (
    AttemptOutcome,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointState,
    Event,
    HealthCheckReply,
    PeerMessage,
    Request,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from rushroad.simulator.wire import Reader, WireError, endpoint_name, result_of

CLIENT_RETRY = 2  # bit of a request's options


class EventCode(IntEnum):
    """Codes of the records that the simulator sends."""

    BOOT = 1
    ESTABLISHED = 2
    DISCOVERY = 3
    HEALTH = 4
    BELL = 5
    NEIGHBOUR_SAYS = 6
    ROSTER = 7
    SUBMIT = 8
    TEARDOWN = 9
    COUNTER_REPLY = 10
    EXPIRED = 11
    COMPLETED = 12


@dataclass(slots=True)
class Boot:
    """Start an instance."""

    instance: int
    seed: int
    settings: bytes  # JSON


@dataclass(slots=True)
class Teardown:
    """Forget an instance."""

    instance: int


@dataclass(slots=True)
class EndpointList:
    """Entries that later Discovery records refer to by this number, until it is used again."""

    number: int
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class Discovery:
    """An endpoint update for an instance, with the number of the list that holds its entries."""

    instance: int
    kind: UpdateKind
    version: int
    list_number: int


@dataclass(slots=True)
class InstanceEvent:
    """An event that an instance takes as it stands."""

    instance: int
    event: Event


Record: TypeAlias = InstanceEvent | Discovery | EndpointList | Boot | Teardown

_BOOT = struct.Struct("<IQI")


def _read_boot(reader: Reader) -> Boot:
    instance, seed, length = reader.take(_BOOT)
    return Boot(instance, seed, reader.take_bytes(length))


_TEARDOWN = struct.Struct("<I")


def _read_teardown(reader: Reader) -> Teardown:
    (instance,) = reader.take(_TEARDOWN)
    return Teardown(instance)


_ROSTER = struct.Struct("<HI")


def _read_roster(reader: Reader) -> EndpointList:
    number, count = reader.take(_ROSTER)
    return EndpointList(number, tuple([_read_roster_entry(reader) for _ in range(count)]))


_ROSTER_ENTRY = struct.Struct("<HBHB6sQf")


def _read_roster_entry(reader: Reader) -> Endpoint:
    endpoint_class, zone, cell, state, address, started_at, weight = reader.take(_ROSTER_ENTRY)
    if state not in (EndpointState.REMOVED, EndpointState.READY, EndpointState.DRAINING):
        raise WireError(f"unknown endpoint state {state}, expected 1, 2 or 3")
    name = endpoint_name(address)
    return Endpoint(name, EndpointState(state), endpoint_class, zone, cell, started_at, weight)


_DISCOVERY = struct.Struct("<IHBQ")


def _read_discovery(reader: Reader) -> Discovery:
    instance, list_number, kind, version = reader.take(_DISCOVERY)
    if kind > UpdateKind.FAILED:
        raise WireError(f"unknown kind of endpoint update {kind}, expected 0 to 3")
    return Discovery(instance, UpdateKind(kind), version, list_number)


_SUBMIT = struct.Struct("<IIfffIIBBQ")


def _read_submit(reader: Reader) -> InstanceEvent:
    (
        instance,
        request_id,
        first_entry,
        entry_points,
        units,
        plan_index,
        time_remaining,
        options,
        class_index,
        tenant,
    ) = reader.take(_SUBMIT)
    return InstanceEvent(
        instance,
        Request(
            request_id,
            class_index,
            plan_index,
            tenant,
            units,
            time_remaining,
            int(entry_points),
            int(first_entry),
            bool(options & CLIENT_RETRY),
        ),
    )


_ESTABLISHED = struct.Struct("<III6sH")


def _read_established(reader: Reader) -> InstanceEvent:
    instance, request_id, elapsed, address, attempt = reader.take(_ESTABLISHED)
    return InstanceEvent(instance, ResponseStarted(request_id, attempt, endpoint_name(address), elapsed))


_COMPLETED = struct.Struct("<IIH6sHIBHH")


def _read_completed(reader: Reader) -> InstanceEvent:
    (
        instance,
        request_id,
        attempt,
        address,
        status,
        elapsed,
        final,
        use,  # 0 for none, or 1 + percent
        actual_units,  # 0 for none
    ) = reader.take(_COMPLETED)
    return InstanceEvent(
        instance,
        AttemptOutcome(
            request_id,
            attempt,
            endpoint_name(address),
            result_of(status),
            elapsed,
            bool(final),
            use - 1 if use else None,
            float(actual_units) if actual_units else None,
            _read_load_report(reader),
        ),
    )


_EXPIRED = struct.Struct("<II")


def _read_expired(reader: Reader) -> InstanceEvent:
    instance, request_id = reader.take(_EXPIRED)
    return InstanceEvent(instance, ClientDisconnected(request_id))


_BELL = struct.Struct("<II")


def _read_bell(reader: Reader) -> InstanceEvent:
    instance, token = reader.take(_BELL)
    return InstanceEvent(instance, TimerFired(token))


_HEALTH = struct.Struct("<II6sH")


def _read_health(reader: Reader) -> InstanceEvent:
    instance, elapsed, address, status = reader.take(_HEALTH)
    name, result = endpoint_name(address), result_of(status)
    return InstanceEvent(instance, HealthCheckReply(name, result, elapsed, _read_load_report(reader)))


_NEIGHBOUR_SAYS = struct.Struct("<IHH")


def _read_neighbour_says(reader: Reader) -> InstanceEvent:
    instance, sender, length = reader.take(_NEIGHBOUR_SAYS)
    return InstanceEvent(instance, PeerMessage(sender, reader.take_bytes(length)))


_COUNTER_REPLY = struct.Struct("<IHIfQ")


def _read_counter_reply(reader: Reader) -> InstanceEvent:
    instance, status, elapsed, total, name = reader.take(_COUNTER_REPLY)
    return InstanceEvent(instance, CounterReply(name, result_of(status), elapsed, total))


_COUNT = struct.Struct("<B")
_LOAD_REPORTS = tuple(struct.Struct(f"<{count}f") for count in range(5))


def _read_load_report(reader: Reader) -> tuple[float, ...]:
    (count,) = reader.take(_COUNT)
    if not count:
        return ()
    return reader.take(_LOAD_REPORTS[count] if count < len(_LOAD_REPORTS) else struct.Struct(f"<{count}f"))


_READERS: dict[int, Callable[[Reader], Record]] = {
    EventCode.BOOT: _read_boot,
    EventCode.ESTABLISHED: _read_established,
    EventCode.DISCOVERY: _read_discovery,
    EventCode.HEALTH: _read_health,
    EventCode.BELL: _read_bell,
    EventCode.NEIGHBOUR_SAYS: _read_neighbour_says,
    EventCode.ROSTER: _read_roster,
    EventCode.SUBMIT: _read_submit,
    EventCode.TEARDOWN: _read_teardown,
    EventCode.COUNTER_REPLY: _read_counter_reply,
    EventCode.EXPIRED: _read_expired,
    EventCode.COMPLETED: _read_completed,
}

_CODE = struct.Struct("<H")


def read_record(reader: Reader) -> Record:
    """The next event record; raises WireError where it is malformed."""
    (code,) = reader.take(_CODE)
    read = _READERS.get(code)
    if read is None:
        raise WireError(f"unknown event code {code}")
    return read(reader)
