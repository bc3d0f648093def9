"""The adapter process: plays batches of events to the instances of the policy and replies with their actions.

An instance is one simulated gateway. The adapter decides nothing.
"""

from __future__ import annotations

import json
import sys
from typing import Any, BinaryIO

from rushroad.policy.events import Endpoint, EndpointUpdate, Event, UpdateKind
from rushroad.policy.gateway import Gateway
from rushroad.policy.settings import SettingsError
from rushroad.policy.settings_reader import read_settings
from rushroad.simulator.action_records import pack_action, pack_fault
from rushroad.simulator.event_records import (
    Boot,
    Discovery,
    EndpointList,
    InstanceEvent,
    Record,
    Teardown,
    read_record,
)
from rushroad.simulator.wire import BATCH_HEADER_LAYOUT, BatchHeader, Reader, WireError, pack_reply


class Adapter:
    """All instances of one adapter process."""

    def __init__(self) -> None:
        self._gateways: dict[int, Gateway] = {}
        self._endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}

    def play(self, header: BatchHeader, body: bytes) -> bytes:
        """Play a batch, all of it at its clock time, and return the reply frame.

        Raises WireError where the batch is malformed or names an instance or list that does not exist.
        """
        reader, reply = Reader(body), list[bytes]()
        for _ in range(header.record_count):
            start = reader.position
            try:
                self._apply(header.now, read_record(reader), reply)
            except WireError as error:
                code = int.from_bytes(body[start : start + 2], "little")
                raise WireError(f"event code {code} at byte {start}: {error}") from None
        if reader.position != len(body):
            left = len(body) - reader.position
            raise WireError(f"{left} bytes left after the last record, at byte {reader.position}")
        return pack_reply(reply)

    def _apply(self, now: int, record: Record, reply: list[bytes]) -> None:
        match record:
            case InstanceEvent():
                self._handle(now, record.instance, record.event, reply)
            case Discovery():
                self._handle(now, record.instance, self._endpoint_update(record), reply)
            case EndpointList():
                self._endpoint_lists[record.number] = record.endpoints
            case Boot():
                self._gateways[record.instance] = _boot(record, now)
            case Teardown():
                if self._gateways.pop(record.instance, None) is None:
                    raise WireError(f"instance {record.instance} was never started")

    def _handle(self, now: int, instance: int, event: Event, reply: list[bytes]) -> None:
        """Append the records of an instance's actions to the reply, or of a fault after those before it."""
        gateway = self._gateways.get(instance)
        if gateway is None:
            raise WireError(f"instance {instance} was never started")
        try:
            for action in gateway.handle(now, event):
                reply.append(pack_action(instance, action))  # noqa: PERF401  # a fault follows what was packed
        except Exception as error:  # noqa: BLE001  # the simulator expects any failure as a fault
            reply.append(pack_fault(instance, f"{type(error).__name__}: {error}"))

    def _endpoint_update(self, record: Discovery) -> EndpointUpdate:
        if record.kind is UpdateKind.FAILED:
            return EndpointUpdate(record.kind, record.version, ())
        if record.list_number not in self._endpoint_lists:
            raise WireError(f"roster {record.list_number} was never sent")
        return EndpointUpdate(record.kind, record.version, self._endpoint_lists[record.list_number])


def _boot(record: Boot, now: int) -> Gateway:
    try:
        document: Any = json.loads(record.settings)
    except ValueError:
        raise WireError("settings are not JSON") from None
    try:
        return Gateway(read_settings(document), record.seed, now)
    except SettingsError as error:
        raise WireError(str(error)) from None


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends; raises WireError with the number of a malformed one."""
    adapter = Adapter()
    number = 0
    while data := _read_up_to(source, BATCH_HEADER_LAYOUT.size):
        number += 1
        try:
            reply = _reply_to(adapter, data, source)
        except WireError as error:
            raise WireError(f"batch {number}: {error}") from None
        sink.write(reply)
        sink.flush()


def _reply_to(adapter: Adapter, header_data: bytes, source: BinaryIO) -> bytes:
    if len(header_data) < BATCH_HEADER_LAYOUT.size:
        raise WireError("input ends inside a header")
    header = BatchHeader._make(BATCH_HEADER_LAYOUT.unpack(header_data))
    body = _read_up_to(source, header.length)
    if len(body) < header.length:
        raise WireError(f"input ends {header.length - len(body)} bytes before the end of the frame")
    return adapter.play(header, body)


def _read_up_to(source: BinaryIO, count: int) -> bytes:
    """That many bytes, or fewer where the input ends."""
    parts: list[bytes] = []
    while count:
        part = source.read(count)
        if not part:
            break
        parts.append(part)
        count -= len(part)
    return b"".join(parts)


def main() -> int:
    """Run on standard input and output.

    Returns 0 at the end of the input, 1 after a line on standard error if the input is malformed.
    """
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"rushroad.simulator: {error}", file=sys.stderr)
        return 1
    return 0
