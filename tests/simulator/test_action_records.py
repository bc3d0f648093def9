"""Encoding of actions and faults."""

import struct

import pytest

from rushroad.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    CounterAdd,
    Fail,
    FetchEndpoints,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from rushroad.simulator.action_records import pack_action, pack_fault

ADDRESS, NAME = bytes([10, 18, 74, 7]) + struct.pack("<H", 5003), "10.18.74.7:5003"
U32_MAX = 0xFFFFFFFF


@pytest.mark.parametrize(
    ("action", "record"),
    [
        (SetTimer(500_000, 77), struct.pack("<HIII", 1, 3, 500_000, 77)),
        (SetTimer(U32_MAX + 1, 77), struct.pack("<HIII", 1, 3, U32_MAX, 77)),
        (CounterAdd(1 << 63, -0.5, 9_000), struct.pack("<HIQfI", 4, 3, 1 << 63, -0.5, 9_000)),
        (StartAttempt(7, NAME, 80_000), struct.pack("<HII6sI", 10, 3, 7, ADDRESS, 80_000)),
        (StartAttempt(7, NAME, U32_MAX + 1), struct.pack("<HII6sI", 10, 3, 7, ADDRESS, U32_MAX)),
        (Reject(7, 250_000), struct.pack("<HIII", 5, 3, 7, 250_000)),
        (Fail(7), struct.pack("<HII", 3, 3, 7)),
        (CancelAttempt(7, 1), struct.pack("<HIIH", 6, 3, 7, 1)),
        (CheckHealth(NAME), struct.pack("<HI6s", 7, 3, ADDRESS)),
        (CloseIdleConnections(NAME), struct.pack("<HI6s", 2, 3, ADDRESS)),
        (SendPeerMessage(2, b"hi"), struct.pack("<HIHH", 12, 3, 2, 2) + b"hi"),
        (SendPeerMessage(None, b"hi"), struct.pack("<HIHH", 12, 3, 0xFFFF, 2) + b"hi"),
        (WatchEndpoints(True), struct.pack("<HIB", 9, 3, 1)),
        (WatchEndpoints(False), struct.pack("<HIB", 9, 3, 0)),
        (FetchEndpoints(), struct.pack("<HI", 11, 3)),
        (WriteLog("two"), struct.pack("<HIH", 13, 3, 3) + b"two"),
        (WriteLog("x" * 70_000), struct.pack("<HIH", 13, 3, 0xFFFF) + b"x" * 0xFFFF),
    ],
)
def test_action_is_encoded_in_its_layout(action: Action, record: bytes) -> None:
    assert pack_action(3, action) == record


def test_fault_is_encoded_with_its_text() -> None:
    assert pack_fault(3, "ValueError: ä") == struct.pack("<HIH", 8, 3, 14) + "ValueError: ä".encode()
