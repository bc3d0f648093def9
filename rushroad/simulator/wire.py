"""The simulator's binary wire: frames, the reader of their fields, addresses and status codes.

All fields are little-endian without padding. `event_records` and `action_records` hold the records in frames.
"""

from __future__ import annotations

import struct
from typing import Any, NamedTuple

from rushroad.policy.events import Result


class WireError(Exception):
    """The input breaks the wire's rules; the message says what was expected or wrong, and where."""


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


def result_of(status: int) -> Result:
    """The result for a status code; raises WireError where it is unknown."""
    try:
        return RESULT_BY_STATUS[status]
    except KeyError:
        raise WireError(f"unknown status {status}") from None


_ADDRESS = struct.Struct("<4BH")  # IPv4 address, its first byte first, and port


def endpoint_name(address: bytes) -> str:
    """The policy's name for an endpoint, `a.b.c.d:port`, by the 6 bytes of its address."""
    byte0, byte1, byte2, byte3, port = _ADDRESS.unpack(address)
    return f"{byte0}.{byte1}.{byte2}.{byte3}:{port}"


def endpoint_address(name: str) -> bytes:
    """The 6 bytes of the address that `endpoint_name` was given."""
    host, _, port = name.partition(":")
    byte0, byte1, byte2, byte3 = host.split(".")
    return _ADDRESS.pack(int(byte0), int(byte1), int(byte2), int(byte3), int(port))


class BatchHeader(NamedTuple):
    """The header of a batch of events."""

    length: int  # bytes of the records after the header
    record_count: int
    now: int  # the simulator's clock


BATCH_HEADER_LAYOUT = struct.Struct("<IIQ")
_REPLY_HEADER = struct.Struct("<II")  # number of records; bytes after the header


def pack_reply(records: list[bytes]) -> bytes:
    """The frame that answers a batch with these action records."""
    payload = b"".join(records)
    return _REPLY_HEADER.pack(len(records), len(payload)) + payload


class Reader:
    """Takes fields off a frame. Raises WireError where it ends too early."""

    __slots__ = ("_data", "position")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.position = 0

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        """The next fields, of this layout."""
        try:
            values = layout.unpack_from(self._data, self.position)
        except struct.error:
            raise WireError(f"frame ends inside a record, at byte {self.position}") from None
        self.position += layout.size
        return values

    def take_bytes(self, count: int) -> bytes:
        """The next `count` bytes."""
        end = self.position + count
        if end > len(self._data):
            raise WireError(f"frame ends inside a record, at byte {self.position}")
        data = self._data[self.position : end]
        self.position = end
        return data
