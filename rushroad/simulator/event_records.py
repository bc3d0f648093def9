"""Codes and layouts of the event records that the simulator sends, and their decoding to policy events.

Durations are in microseconds. Codes and layouts are named after the records of the protocol.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

from rushroad.policy.events import (
    AttemptFinished,
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
from rushroad.simulator.wire import FrameReader, ProtocolError, endpoint_name, result_from_status

CLIENT_RETRY_FLAG = 2  # bit in the options of a SUBMIT record


class EventCode(IntEnum):
    """Event codes."""

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
    """Starts an instance."""

    instance: int
    seed: int
    settings: bytes  # JSON


@dataclass(slots=True)
class Teardown:
    """Removes an instance."""

    instance: int


@dataclass(slots=True)
class EndpointList:
    """Endpoints that Discovery records refer to by list number; a later list may replace them."""

    list_number: int
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class Discovery:
    """An endpoint update for an instance; its endpoints are in the list with this number."""

    instance: int
    kind: UpdateKind
    version: int
    list_number: int


@dataclass(slots=True)
class InstanceEvent:
    """An event that is passed to the instance unchanged."""

    instance: int
    event: Event


Record: TypeAlias = InstanceEvent | Discovery | EndpointList | Boot | Teardown

_BOOT_LAYOUT = struct.Struct("<IQI")


def _read_boot(reader: FrameReader) -> Boot:
    instance, seed, length = reader.read_fields(_BOOT_LAYOUT)
    return Boot(instance, seed, reader.read_bytes(length))


_TEARDOWN_LAYOUT = struct.Struct("<I")


def _read_teardown(reader: FrameReader) -> Teardown:
    (instance,) = reader.read_fields(_TEARDOWN_LAYOUT)
    return Teardown(instance)


_ROSTER_LAYOUT = struct.Struct("<HI")


def _read_roster(reader: FrameReader) -> EndpointList:
    list_number, count = reader.read_fields(_ROSTER_LAYOUT)
    return EndpointList(list_number, tuple([_read_roster_entry(reader) for _ in range(count)]))


_ROSTER_ENTRY_LAYOUT = struct.Struct("<HBHB6sQf")


def _read_roster_entry(reader: FrameReader) -> Endpoint:
    endpoint_class_index, zone, cell, state, address, started_at, weight = reader.read_fields(
        _ROSTER_ENTRY_LAYOUT
    )
    if state not in (EndpointState.REMOVED, EndpointState.READY, EndpointState.DRAINING):
        raise ProtocolError(f"unknown endpoint state {state}, expected 1, 2 or 3")
    name = endpoint_name(address)
    return Endpoint(name, EndpointState(state), endpoint_class_index, zone, cell, started_at, weight)


_DISCOVERY_LAYOUT = struct.Struct("<IHBQ")


def _read_discovery(reader: FrameReader) -> Discovery:
    instance, list_number, kind, version = reader.read_fields(_DISCOVERY_LAYOUT)
    if kind > UpdateKind.FAILED:
        raise ProtocolError(f"unknown endpoint update kind {kind}, expected 0 to 3")
    return Discovery(instance, UpdateKind(kind), version, list_number)


_SUBMIT_LAYOUT = struct.Struct("<IIfffIIBBQ")


def _read_submit(reader: FrameReader) -> InstanceEvent:
    (
        instance,
        request_id,
        first_entry_point,
        entry_point_count,
        units,
        plan_index,
        time_remaining,
        options,
        class_index,
        tenant,
    ) = reader.read_fields(_SUBMIT_LAYOUT)
    return InstanceEvent(
        instance,
        Request(
            request_id,
            class_index,
            plan_index,
            tenant,
            units,
            time_remaining,
            int(entry_point_count),
            int(first_entry_point),
            bool(options & CLIENT_RETRY_FLAG),
        ),
    )


_ESTABLISHED_LAYOUT = struct.Struct("<III6sH")


def _read_established(reader: FrameReader) -> InstanceEvent:
    instance, request_id, elapsed, address, attempt = reader.read_fields(_ESTABLISHED_LAYOUT)
    return InstanceEvent(instance, ResponseStarted(request_id, attempt, endpoint_name(address), elapsed))


_COMPLETED_LAYOUT = struct.Struct("<IIH6sHIBHH")


def _read_completed(reader: FrameReader) -> InstanceEvent:
    (
        instance,
        request_id,
        attempt,
        address,
        status,
        elapsed,
        is_final,
        encoded_used_percent,  # 0: absent; otherwise 1 + percent
        actual_units,  # 0: absent
    ) = reader.read_fields(_COMPLETED_LAYOUT)
    return InstanceEvent(
        instance,
        AttemptFinished(
            request_id,
            attempt,
            endpoint_name(address),
            result_from_status(status),
            elapsed,
            bool(is_final),
            encoded_used_percent - 1 if encoded_used_percent else None,
            float(actual_units) if actual_units else None,
            _read_load_report(reader),
        ),
    )


_EXPIRED_LAYOUT = struct.Struct("<II")


def _read_expired(reader: FrameReader) -> InstanceEvent:
    instance, request_id = reader.read_fields(_EXPIRED_LAYOUT)
    return InstanceEvent(instance, ClientDisconnected(request_id))


_BELL_LAYOUT = struct.Struct("<II")


def _read_bell(reader: FrameReader) -> InstanceEvent:
    instance, token = reader.read_fields(_BELL_LAYOUT)
    return InstanceEvent(instance, TimerFired(token))


_HEALTH_LAYOUT = struct.Struct("<II6sH")


def _read_health(reader: FrameReader) -> InstanceEvent:
    instance, elapsed, address, status = reader.read_fields(_HEALTH_LAYOUT)
    name, result = endpoint_name(address), result_from_status(status)
    return InstanceEvent(instance, HealthCheckReply(name, result, elapsed, _read_load_report(reader)))


_NEIGHBOUR_SAYS_LAYOUT = struct.Struct("<IHH")


def _read_neighbour_says(reader: FrameReader) -> InstanceEvent:
    instance, sender, length = reader.read_fields(_NEIGHBOUR_SAYS_LAYOUT)
    return InstanceEvent(instance, PeerMessage(sender, reader.read_bytes(length)))


_COUNTER_REPLY_LAYOUT = struct.Struct("<IHIfQ")


def _read_counter_reply(reader: FrameReader) -> InstanceEvent:
    instance, status, elapsed, total, total_name = reader.read_fields(_COUNTER_REPLY_LAYOUT)
    return InstanceEvent(instance, CounterReply(total_name, result_from_status(status), elapsed, total))


_LOAD_REPORT_LENGTH_LAYOUT = struct.Struct("<B")
# Compiled in advance for load reports of up to 4 values.
_LOAD_REPORT_LAYOUTS = tuple(struct.Struct(f"<{count}f") for count in range(5))


def _read_load_report(reader: FrameReader) -> tuple[float, ...]:
    (count,) = reader.read_fields(_LOAD_REPORT_LENGTH_LAYOUT)
    if not count:
        return ()
    return reader.read_fields(
        _LOAD_REPORT_LAYOUTS[count] if count < len(_LOAD_REPORT_LAYOUTS) else struct.Struct(f"<{count}f")
    )


_READERS: dict[int, Callable[[FrameReader], Record]] = {
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

_CODE_LAYOUT = struct.Struct("<H")


def read_record(reader: FrameReader) -> Record:
    """Read the next event record; raises ProtocolError if it is malformed."""
    (code,) = reader.read_fields(_CODE_LAYOUT)
    read = _READERS.get(code)
    if read is None:
        raise ProtocolError(f"unknown event code {code}")
    return read(reader)
