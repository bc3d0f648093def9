"""The simulator's binary protocol: frames, addresses and status codes.

All fields are little-endian without padding. The records inside the frames are defined in `event_records`
and `action_records`.
"""

from __future__ import annotations

import struct
from typing import Any, NamedTuple

from rushroad.policy.events import Result


class ProtocolError(Exception):
    """The input violates the protocol; the message says how and where."""


RESULT_BY_STATUS = {
    200: Result.OK,
    408: Result.TIMEOUT,
    409: Result.NOT_FORWARDED,
    429: Result.OVERLOADED,
    444: Result.CANCELLED,
    502: Result.ERROR,
    520: Result.RESET,
    521: Result.CONNECT_FAILED,
}


def result_from_status(status: int) -> Result:
    """Return the result for a status code; raises ProtocolError if it is unknown."""
    try:
        return RESULT_BY_STATUS[status]
    except KeyError:
        raise ProtocolError(f"unknown status {status}") from None


_ADDRESS_LAYOUT = struct.Struct("<4BH")  # IPv4 address in network byte order, and port


def endpoint_name(address: bytes) -> str:
    """Convert a 6-byte address to the endpoint name that the policy uses, `a.b.c.d:port`."""
    byte0, byte1, byte2, byte3, port = _ADDRESS_LAYOUT.unpack(address)
    return f"{byte0}.{byte1}.{byte2}.{byte3}:{port}"


def endpoint_address(name: str) -> bytes:
    """Convert an endpoint name to its 6-byte address; the inverse of `endpoint_name`."""
    host, _, port = name.partition(":")
    byte0, byte1, byte2, byte3 = host.split(".")
    return _ADDRESS_LAYOUT.pack(int(byte0), int(byte1), int(byte2), int(byte3), int(port))


class BatchHeader(NamedTuple):
    """The header of a batch of events."""

    length: int  # bytes after the header
    record_count: int
    now: int  # simulator time in microseconds


BATCH_HEADER_LAYOUT = struct.Struct("<IIQ")
_REPLY_HEADER_LAYOUT = struct.Struct("<II")  # number of records, bytes after the header


def pack_reply(records: list[bytes]) -> bytes:
    """Build the reply frame of a batch from its action records."""
    payload = b"".join(records)
    return _REPLY_HEADER_LAYOUT.pack(len(records), len(payload)) + payload


class FrameReader:
    """Reads the fields of a frame in order; raises ProtocolError if the frame ends too early."""

    __slots__ = ("_data", "position")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.position = 0

    def read_fields(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read the next fields, which have this layout."""
        try:
            values = layout.unpack_from(self._data, self.position)
        except struct.error:
            raise ProtocolError(f"frame ends inside a record, at byte {self.position}") from None
        self.position += layout.size
        return values

    def read_bytes(self, count: int) -> bytes:
        """Read the next `count` bytes."""
        end = self.position + count
        if end > len(self._data):
            raise ProtocolError(f"frame ends inside a record, at byte {self.position}")
        data = self._data[self.position : end]
        self.position = end
        return data
