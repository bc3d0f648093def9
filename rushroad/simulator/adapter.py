"""The adapter process: passes batches of events to policy instances and replies with their actions.

An instance is one simulated gateway. All decisions are made by its policy.
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
from rushroad.simulator.wire import BATCH_HEADER_LAYOUT, BatchHeader, FrameReader, ProtocolError, pack_reply


class Adapter:
    """Holds the policy instances and the endpoint lists that the simulator has sent."""

    def __init__(self) -> None:
        self._gateways: dict[int, Gateway] = {}
        self._endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}

    def process_batch(self, header: BatchHeader, body: bytes) -> bytes:
        """Process the records of a batch, all at the time in its header, and return the reply frame.

        Raises ProtocolError if the batch is malformed or refers to an unknown instance or endpoint list.
        """
        reader, reply = FrameReader(body), list[bytes]()
        for _ in range(header.record_count):
            start = reader.position
            try:
                self._process_record(header.now, read_record(reader), reply)
            except ProtocolError as error:
                code = int.from_bytes(body[start : start + 2], "little")
                raise ProtocolError(f"event code {code} at byte {start}: {error}") from None
        if reader.position != len(body):
            left = len(body) - reader.position
            raise ProtocolError(f"{left} bytes left after the last record, at byte {reader.position}")
        return pack_reply(reply)

    def _process_record(self, now: int, record: Record, reply: list[bytes]) -> None:
        match record:
            case InstanceEvent():
                self._handle_event(now, record.instance, record.event, reply)
            case Discovery():
                self._handle_event(now, record.instance, self._endpoint_update(record), reply)
            case EndpointList():
                self._endpoint_lists[record.list_number] = record.endpoints
            case Boot():
                self._gateways[record.instance] = _start_gateway(record, now)
            case Teardown():
                if self._gateways.pop(record.instance, None) is None:
                    raise ProtocolError(f"unknown instance {record.instance}")

    def _handle_event(self, now: int, instance: int, event: Event, reply: list[bytes]) -> None:
        """Append the instance's actions to the reply; after an exception, those before it and a fault."""
        gateway = self._gateways.get(instance)
        if gateway is None:
            raise ProtocolError(f"unknown instance {instance}")
        try:
            for action in gateway.handle(now, event):
                reply.append(pack_action(instance, action))  # noqa: PERF401  # actions before a fault are kept
        except Exception as error:  # noqa: BLE001  # any failure is reported as a fault
            reply.append(pack_fault(instance, f"{type(error).__name__}: {error}"))

    def _endpoint_update(self, record: Discovery) -> EndpointUpdate:
        if record.kind is UpdateKind.FAILED:
            return EndpointUpdate(record.kind, record.version, ())
        if record.list_number not in self._endpoint_lists:
            raise ProtocolError(f"unknown endpoint list {record.list_number}")
        return EndpointUpdate(record.kind, record.version, self._endpoint_lists[record.list_number])


def _start_gateway(record: Boot, now: int) -> Gateway:
    try:
        document: Any = json.loads(record.settings)
    except ValueError:
        raise ProtocolError("settings are not valid JSON") from None
    try:
        return Gateway(read_settings(document), record.seed, now)
    except SettingsError as error:
        raise ProtocolError(str(error)) from None


def run(input_stream: BinaryIO, output_stream: BinaryIO) -> None:
    """Reply to batches until the end of the input.

    Raises ProtocolError, with the number of the batch, if one is malformed.
    """
    adapter = Adapter()
    batch_number = 0
    while data := _read_up_to(input_stream, BATCH_HEADER_LAYOUT.size):
        batch_number += 1
        try:
            reply = _reply_to_batch(adapter, data, input_stream)
        except ProtocolError as error:
            raise ProtocolError(f"batch {batch_number}: {error}") from None
        output_stream.write(reply)
        output_stream.flush()


def _reply_to_batch(adapter: Adapter, header_data: bytes, input_stream: BinaryIO) -> bytes:
    if len(header_data) < BATCH_HEADER_LAYOUT.size:
        raise ProtocolError(
            f"input ends inside a batch header: got {len(header_data)} of {BATCH_HEADER_LAYOUT.size} bytes"
        )
    header = BatchHeader._make(BATCH_HEADER_LAYOUT.unpack(header_data))
    body = _read_up_to(input_stream, header.length)
    if len(body) < header.length:
        raise ProtocolError(f"input ends {header.length - len(body)} bytes before the end of the frame")
    return adapter.process_batch(header, body)


def _read_up_to(input_stream: BinaryIO, count: int) -> bytes:
    """Read `count` bytes, or fewer at the end of the input."""
    parts: list[bytes] = []
    while count:
        part = input_stream.read(count)
        if not part:
            break
        parts.append(part)
        count -= len(part)
    return b"".join(parts)


def main() -> int:
    """Run the adapter on standard input and output.

    Returns 0 at the end of the input. If the input is malformed, prints one line to standard error and
    returns 1.
    """
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except ProtocolError as error:
        print(f"rushroad.simulator: {error}", file=sys.stderr)
        return 1
    return 0
