"""Replies of the adapter to batches, and its exit status on malformed input."""

import io
import json
import struct
import subprocess
import sys

import pytest

from rushroad.policy.actions import Action, FetchEndpoints, WatchEndpoints
from rushroad.simulator import adapter
from tests.support.settings_document import SETTINGS_DOCUMENT

NOW = 8_412_250  # simulator time in microseconds
ADDRESS = bytes([10, 18, 74, 7]) + struct.pack("<H", 5003)
INSTANCE = 3
REPLY_HEADER_BYTES = struct.calcsize("<II")


def frame(*records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(body), len(records), NOW) + body


def boot(settings: bytes | None = None) -> bytes:
    data = json.dumps(SETTINGS_DOCUMENT).encode() if settings is None else settings
    return struct.pack("<HIQI", 1, INSTANCE, 99, len(data)) + data


def roster() -> bytes:
    return struct.pack("<HHI", 7, 0, 1) + struct.pack("<HBHB6sQf", 0, 0, 0, 2, ADDRESS, 0, 1.0)


def discovery() -> bytes:
    return struct.pack("<HIHBQ", 3, INSTANCE, 0, 2, 41)


def submit() -> bytes:
    return struct.pack("<HIIfffIIBBQ", 8, INSTANCE, 7, 0.0, 2.0, 1.0, 0, 400_000, 0, 0, 555)


def run_adapter(*frames: bytes) -> bytes:
    """Return all replies to these batches."""
    output = io.BytesIO()
    adapter.run(io.BytesIO(b"".join(frames)), output)
    return output.getvalue()


def test_empty_batch_gets_an_empty_reply() -> None:
    assert run_adapter(bytes.fromhex("00000000 00000000 5a5c800000000000")) == bytes(8)


def test_request_is_counted_and_forwarded_after_the_counter_reply() -> None:
    batches = [frame(boot(), roster(), discovery()), frame(submit())]
    replies = run_adapter(*batches)
    count, length = struct.unpack_from("<II", replies, REPLY_HEADER_BYTES)
    assert count == 1
    code, instance, total_name, amount, _ = struct.unpack_from("<HIQfI", replies, 2 * REPLY_HEADER_BYTES)
    assert (code, instance, amount) == (4, INSTANCE, 1.0)
    assert length == 22
    counter_reply = struct.pack("<HIHIfQ", 10, INSTANCE, 200, 900, 1.0, total_name)
    reply = run_adapter(*batches, frame(counter_reply))[len(replies) :]
    code, instance, request, address, _ = struct.unpack_from("<HII6sI", reply, len(reply) - 20)
    assert (code, instance, request, address) == (10, INSTANCE, 7, ADDRESS)


def test_teardown_and_boot_in_one_batch_restart_the_instance() -> None:
    teardown = struct.pack("<HI", 9, INSTANCE)
    batches = [frame(boot(), roster(), discovery()), frame(teardown, boot(), discovery())]
    assert run_adapter(*batches) == 2 * bytes(REPLY_HEADER_BYTES)


def test_exception_in_the_policy_is_reported_as_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(*_: object) -> None:
        raise ValueError("policy failed")

    monkeypatch.setattr("rushroad.policy.gateway.Gateway.handle", raise_error)
    reply = run_adapter(frame(boot(), roster(), discovery()))
    assert struct.unpack_from("<HI", reply, REPLY_HEADER_BYTES) == (8, INSTANCE)
    assert reply.endswith(b"ValueError: policy failed")


def test_actions_before_one_that_cannot_be_encoded_are_kept_in_the_reply(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def handle(*_: object) -> list[Action]:
        return [FetchEndpoints(), WatchEndpoints("not a bool")]  # type: ignore[arg-type]

    monkeypatch.setattr("rushroad.policy.gateway.Gateway.handle", handle)
    reply = run_adapter(frame(boot(), roster(), discovery()))
    assert struct.unpack_from("<I", reply) == (2,)
    assert struct.unpack_from("<HIH", reply, REPLY_HEADER_BYTES) == (11, INSTANCE, 8)
    assert b"error: " in reply


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (frame(boot())[:-5], "before the end of the frame"),
        (frame(boot())[:9], "inside a batch header: got 9 of 16 bytes"),
        (struct.pack("<IIQ", 3, 1, NOW) + b"\x08\x00\x01", "ends inside a record"),
        (frame(struct.pack("<HI", 77, INSTANCE)), "unknown event code 77"),
        (frame(submit() + b"\x00"), "event code 8 at byte 0: unknown instance 3"),
        (frame(boot(), discovery()), "unknown endpoint list 0"),
        (frame(boot() + b"\x00\x00"), "left after the last record"),
        (frame(boot(settings=b"{truncated")), "event code 1 at byte 0: settings are not valid JSON"),
        (frame(boot(settings=b"{}")), "limits"),
        (frame(boot(settings=b"[]")), "wrong type"),
    ],
)
def test_malformed_input_prints_one_line_and_exits_with_1(data: bytes, text: str) -> None:
    command = [sys.executable, "-m", "rushroad.simulator"]
    done = subprocess.run(command, input=data, capture_output=True, timeout=60)
    assert done.returncode == 1
    assert done.stdout == b""
    line = done.stderr.decode()
    assert text in line
    assert line.count("\n") == 1
    assert line.startswith("rushroad.simulator: batch 1: ")
