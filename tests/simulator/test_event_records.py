"""Decoding of event records."""

import struct

import pytest

from rushroad.policy.events import (
    AttemptFinished,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointState,
    HealthCheckReply,
    PeerMessage,
    Request,
    ResponseStarted,
    Result,
    TimerFired,
    UpdateKind,
)
from rushroad.simulator.event_records import (
    Boot,
    Discovery,
    EndpointList,
    InstanceEvent,
    Record,
    Teardown,
    read_record,
)
from rushroad.simulator.wire import FrameReader, ProtocolError

ADDRESS, NAME = bytes([10, 18, 74, 7]) + struct.pack("<H", 5003), "10.18.74.7:5003"


@pytest.mark.parametrize(
    ("data", "record"),
    [
        (struct.pack("<HIQI", 1, 3, 99, 2) + b"{}", Boot(3, 99, b"{}")),
        (struct.pack("<HI", 9, 3), Teardown(3)),
        (struct.pack("<HHI", 7, 4, 0), EndpointList(4, ())),
        (
            struct.pack("<HHI", 7, 4, 2)
            + struct.pack("<HBHB6sQf", 1, 2, 300, 2, ADDRESS, 5_000_000, 1.5)
            + struct.pack("<HBHB6sQf", 0, 0, 0, 3, ADDRESS, 0, 1.0),
            EndpointList(
                4,
                (
                    Endpoint(NAME, EndpointState.READY, 1, 2, 300, 5_000_000, 1.5),
                    Endpoint(NAME, EndpointState.DRAINING),
                ),
            ),
        ),
        (struct.pack("<HIHBQ", 3, 3, 4, 2, 41), Discovery(3, UpdateKind.CACHED_SNAPSHOT, 41, 4)),
        (
            struct.pack("<HIIfffIIBBQ", 8, 3, 7, 1.0, 2.0, 1.5, 2, 400_000, 2, 1, 555),
            InstanceEvent(3, Request(7, 1, 2, 555, 1.5, 400_000, 2, 1, True)),
        ),
        (
            struct.pack("<HIIfffIIBBQ", 8, 3, 7, 0.0, 1.0, 1.0, 0, 400_000, 4, 0, 555),
            InstanceEvent(3, Request(7, 0, 0, 555, 1.0, 400_000)),
        ),
        (
            struct.pack("<HIII6sH", 2, 3, 7, 900, ADDRESS, 1),
            InstanceEvent(3, ResponseStarted(7, 1, NAME, 900)),
        ),
        (
            struct.pack("<HIIH6sHIBHHB", 12, 3, 7, 1, ADDRESS, 408, 900, 0, 0, 0, 0),
            InstanceEvent(3, AttemptFinished(7, 1, NAME, Result.TIMEOUT, 900, False)),
        ),
        (struct.pack("<HII", 11, 3, 7), InstanceEvent(3, ClientDisconnected(7))),
        (struct.pack("<HII", 5, 3, 77), InstanceEvent(3, TimerFired(77))),
        (
            struct.pack("<HII6sHB6f", 4, 3, 900, ADDRESS, 200, 6, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0),
            InstanceEvent(3, HealthCheckReply(NAME, Result.OK, 900, (1.0, 2.0, 3.0, 4.0, 5.0, 6.0))),
        ),
        (struct.pack("<HIHH", 6, 3, 2, 2) + b"hi", InstanceEvent(3, PeerMessage(2, b"hi"))),
        (
            struct.pack("<HIHIfQ", 10, 3, 429, 900, 0.5, 1 << 63),
            InstanceEvent(3, CounterReply(1 << 63, Result.OVERLOADED, 900, 0.5)),
        ),
    ],
)
def test_record_is_decoded_to_its_last_byte(data: bytes, record: Record) -> None:
    reader = FrameReader(data)
    assert read_record(reader) == record
    assert reader.position == len(data)


def test_example_of_a_completed_record_in_the_protocol_is_decoded() -> None:
    data = bytes.fromhex("0c0003000000c4913a5d00000a124a078b13c80044480000015600030002000040400000e040")
    record = read_record(FrameReader(data))
    assert isinstance(record, InstanceEvent)
    assert record.instance == 3
    assert repr(record.event) == (
        "AttemptFinished(request_id=1564119492, attempt=0, endpoint='10.18.74.7:5003', "
        "result=<Result.OK: 'ok'>, elapsed=18500, is_final=True, used_percent=85, actual_units=3.0, "
        "load_report=(3.0, 7.0))"
    )


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"\x01", "frame ends inside a record, at byte 0"),
        (struct.pack("<HI", 77, 3), "unknown event code 77"),
        (struct.pack("<HIQI", 1, 3, 99, 3) + b"{}", "frame ends inside a record, at byte 18"),
        (
            struct.pack("<HHI", 7, 0, 1) + struct.pack("<HBHB6sQf", 0, 0, 0, 4, ADDRESS, 0, 1.0),
            "unknown endpoint state 4, expected 1, 2 or 3",
        ),
        (struct.pack("<HIHBQ", 3, 3, 0, 4, 41), "unknown endpoint update kind 4, expected 0 to 3"),
        (struct.pack("<HIHIfQ", 10, 3, 404, 900, 0.5, 1), "unknown status 404"),
    ],
)
def test_malformed_record_is_rejected_with_the_reason(data: bytes, text: str) -> None:
    with pytest.raises(ProtocolError, match=text):
        read_record(FrameReader(data))
