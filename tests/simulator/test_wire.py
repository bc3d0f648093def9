"""Values of the simulator's wire: addresses, status codes, frames."""

import struct

import pytest

from rushroad.policy.events import Result
from rushroad.simulator.wire import (
    Reader,
    WireError,
    endpoint_address,
    endpoint_name,
    pack_reply,
    result_of,
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
    assert {result_of(status) for status in statuses} == set(Result)
    with pytest.raises(WireError, match="unknown status 404"):
        result_of(404)


def test_reader_takes_fields_in_order_and_names_the_place_where_the_frame_ends() -> None:
    reader = Reader(b"\x01\x00\x02abc")
    assert reader.take(struct.Struct("<HB")) == (1, 2)
    assert reader.take_bytes(2) == b"ab"
    with pytest.raises(WireError, match="frame ends inside a record, at byte 5"):
        reader.take(struct.Struct("<H"))
    with pytest.raises(WireError, match="frame ends inside a record, at byte 5"):
        reader.take_bytes(2)
    assert reader.take_bytes(1) == b"c"


def test_reply_frame_holds_the_count_and_the_length_of_its_records() -> None:
    assert pack_reply([]) == bytes(8)
    assert pack_reply([b"abc", b"de"]) == struct.pack("<II", 2, 5) + b"abcde"
