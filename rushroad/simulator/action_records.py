"""Codes and layouts of the action records that the adapter sends, and the encoding of policy actions.

Durations are in microseconds. Codes are named after the records of the protocol.
"""

from __future__ import annotations

import functools
import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any

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
from rushroad.simulator.wire import endpoint_address

U16_MAX, U32_MAX = 0xFFFF, 0xFFFFFFFF
ALL_PEERS = U16_MAX  # recipient that stands for every peer


class ActionCode(IntEnum):
    """Action codes."""

    DEFER = 1
    HANG_UP = 2
    DROP_REQUEST = 3
    ADD_TO = 4
    NOT_NOW = 5
    ABANDON = 6
    HEALTH_CHECK = 7
    FAULT = 8
    LISTEN = 9
    FORWARD = 10
    PULL = 11
    NOTIFY = 12
    JOURNAL_LINE = 13


def _packer(code: ActionCode, fields: str) -> Callable[..., bytes]:
    """Return a function that packs an instance and these fields into a record with this code."""
    return functools.partial(struct.Struct("<HI" + fields).pack, int(code))


_pack_defer = _packer(ActionCode.DEFER, "II")  # delay, token
_pack_add_to = _packer(ActionCode.ADD_TO, "QfI")  # name of the total, amount, lifetime
_pack_forward = _packer(ActionCode.FORWARD, "I6sI")  # request ID, endpoint, timeout
_pack_not_now = _packer(ActionCode.NOT_NOW, "II")  # request ID, retry after
_pack_drop_request = _packer(ActionCode.DROP_REQUEST, "I")  # request ID
_pack_abandon = _packer(ActionCode.ABANDON, "IH")  # request ID, attempt
_pack_health_check = _packer(ActionCode.HEALTH_CHECK, "6s")  # endpoint
_pack_hang_up = _packer(ActionCode.HANG_UP, "6s")  # endpoint
_pack_notify = _packer(ActionCode.NOTIFY, "HH")  # recipient, length of the data that follows
_pack_listen = _packer(ActionCode.LISTEN, "B")  # enabled
_pack_pull = _packer(ActionCode.PULL, "")
_pack_journal_line = _packer(ActionCode.JOURNAL_LINE, "H")  # length of the text that follows
_pack_fault = _packer(ActionCode.FAULT, "H")  # length of the text that follows


def _set_timer(instance: int, action: SetTimer) -> bytes:
    return _pack_defer(instance, min(action.delay, U32_MAX), action.token)


def _counter_add(instance: int, action: CounterAdd) -> bytes:
    return _pack_add_to(instance, action.total_name, action.amount, action.lifetime)


def _start_attempt(instance: int, action: StartAttempt) -> bytes:
    address = endpoint_address(action.endpoint)
    return _pack_forward(instance, action.request_id, address, min(action.timeout, U32_MAX))


def _reject(instance: int, action: Reject) -> bytes:
    return _pack_not_now(instance, action.request_id, action.retry_after)


def _fail(instance: int, action: Fail) -> bytes:
    return _pack_drop_request(instance, action.request_id)


def _cancel_attempt(instance: int, action: CancelAttempt) -> bytes:
    return _pack_abandon(instance, action.request_id, action.attempt)


def _check_health(instance: int, action: CheckHealth) -> bytes:
    return _pack_health_check(instance, endpoint_address(action.endpoint))


def _close_idle_connections(instance: int, action: CloseIdleConnections) -> bytes:
    return _pack_hang_up(instance, endpoint_address(action.endpoint))


def _send_peer_message(instance: int, action: SendPeerMessage) -> bytes:
    recipient = ALL_PEERS if action.recipient is None else action.recipient
    return _pack_notify(instance, recipient, len(action.data)) + action.data


def _watch_endpoints(instance: int, action: WatchEndpoints) -> bytes:
    return _pack_listen(instance, action.enabled)


def _fetch_endpoints(instance: int, _: FetchEndpoints) -> bytes:
    return _pack_pull(instance)


def _write_log(instance: int, action: WriteLog) -> bytes:
    return _pack_with_text(_pack_journal_line, instance, action.text)


def _pack_with_text(pack: Callable[..., bytes], instance: int, text: str) -> bytes:
    """Pack a record that ends with a text, cut to the longest that its 16-bit length field can state."""
    data = text.encode()[:U16_MAX]
    return pack(instance, len(data)) + data


_PACKERS: dict[type, Callable[[int, Any], bytes]] = {
    SetTimer: _set_timer,
    CounterAdd: _counter_add,
    StartAttempt: _start_attempt,
    Reject: _reject,
    Fail: _fail,
    CancelAttempt: _cancel_attempt,
    CheckHealth: _check_health,
    CloseIdleConnections: _close_idle_connections,
    SendPeerMessage: _send_peer_message,
    WatchEndpoints: _watch_endpoints,
    FetchEndpoints: _fetch_endpoints,
    WriteLog: _write_log,
}


def pack_action(instance: int, action: Action) -> bytes:
    """Encode an action of an instance as a record."""
    return _PACKERS[type(action)](instance, action)


def pack_fault(instance: int, text: str) -> bytes:
    """Encode the record that reports an exception in the policy of an instance."""
    return _pack_with_text(_pack_fault, instance, text)
