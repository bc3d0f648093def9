"""Messages of discovery's watch, with the field names of the published protocol."""

from __future__ import annotations

import json
from typing import Any

MACHINE_TYPES = ("full", "slow")
ZONES = ("room-a", "room-b", "room-c")
CELLS = 7
Entry = dict[str, Any]  # a JSON object of the published protocol


def endpoint_entry(index: int, address: str, started_at_ms: int = 0) -> Entry:
    """Return the list entry of a rate server that is serving."""
    return {
        "instanceId": f"s-{index:08x}",
        "hostPort": address,
        "zone": ZONES[index % len(ZONES)],
        "machineType": MACHINE_TYPES[index % len(MACHINE_TYPES)],
        "cell": index % CELLS,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": started_at_ms,
    }


def encode_message(generation: int, entries: list[Entry], indent: int | None, reset: bool = True) -> bytes:
    """Encode a message of the watch, on one line unless `indent` is given; `reset` marks a snapshot."""
    message = {"generation": generation, "reset": reset, "instances": entries}
    return json.dumps(message, indent=indent, separators=(",", ": " if indent else ":")).encode() + b"\n"
