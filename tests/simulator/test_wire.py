"""Addresses, status codes and frames of the simulator's protocol."""

import struct

import pytest

from rushroad.policy.events import Result
from rushroad.simulator.wire import (
    FrameReader,
    ProtocolError,
    endpoint_address,
    endpoint_name,
    pack_reply,
    result_from_status,
)


@pytest.mark.parametrize(
    ("address", "name"),
    [
        (bytes([10, 18, 74, 7]) + struct.pack("<H", 5003), "10.18.74.7:5003"),
        (bytes(6), "0.0.0.0:0"),
        (b"\xff" * 6, "255.255.255.255:65535"),
    ],
)
def test_endpoint_address_and_name_convert_both_ways(address: bytes, name: str) -> None:
    assert endpoint_name(address) == name
    assert endpoint_address(name) == address


def test_every_result_has_a_status_and_an_unknown_status_is_an_error() -> None:
    statuses = (200, 408, 409, 429, 444, 502, 520, 521)
    assert {result_from_status(status) for status in statuses} == set(Result)
    with pytest.raises(ProtocolError, match="unknown status 404"):
        result_from_status(404)


def test_frame_reader_reads_in_order_and_reports_where_the_frame_ends() -> None:
    reader = FrameReader(b"\x01\x00\x02abc")
    assert reader.read_fields(struct.Struct("<HB")) == (1, 2)
    assert reader.read_bytes(2) == b"ab"
    with pytest.raises(ProtocolError, match="frame ends inside a record, at byte 5"):
        reader.read_fields(struct.Struct("<H"))
    with pytest.raises(ProtocolError, match="frame ends inside a record, at byte 5"):
        reader.read_bytes(2)
    assert reader.read_bytes(1) == b"c"


def test_reply_frame_starts_with_the_count_and_length_of_its_records() -> None:
    assert pack_reply([]) == bytes(8)
    assert pack_reply([b"abc", b"de"]) == struct.pack("<II", 2, 5) + b"abcde"
