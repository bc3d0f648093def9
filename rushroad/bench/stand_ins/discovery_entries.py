"""The messages of discovery's watch, by the published names of their fields."""

from __future__ import annotations

import json
from typing import Any

MACHINE_TYPES = ("full", "slow")
ZONES = ("room-a", "room-b", "room-c")
CELLS = 7
Entry = dict[str, Any]  # an object of the published protocol


def list_entry(number: int, address: str, started_at_ms: int = 0) -> Entry:
    """The list's entry for a rate server that serves."""
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": address,
        "zone": ZONES[number % len(ZONES)],
        "machineType": MACHINE_TYPES[number % len(MACHINE_TYPES)],
        "cell": number % CELLS,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": started_at_ms,
    }


def encode_message(generation: int, entries: list[Entry], indent: int | None, reset: bool = True) -> bytes:
    """A message of the watch, on one line, or over many where indented; `reset`: it is the whole list."""
    message = {"generation": generation, "reset": reset, "instances": entries}
    return json.dumps(message, indent=indent, separators=(",", ": " if indent else ":")).encode() + b"\n"
