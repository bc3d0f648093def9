"""The size of a flood of clients."""

from __future__ import annotations

import re
from dataclasses import dataclass

FORM = re.compile(r"(\d{1,4})x([1-9]\d{0,5})")


@dataclass(frozen=True, slots=True)
class FloodSize:
    """How many connections flood a gateway, and how many commands each sends at once."""

    connections: int
    pipeline: int

    def __str__(self) -> str:
        """The form that `parse_flood_size` reads."""
        return f"{self.connections}x{self.pipeline}"


def parse_flood_size(text: str) -> FloodSize:
    """Parse "CONNECTIONSxCOMMANDS"; raises ValueError if it is malformed."""
    match = FORM.fullmatch(text)
    if match is None:
        raise ValueError(f"expected CONNECTIONSxCOMMANDS, got {text!r}")
    return FloodSize(int(match[1]), int(match[2]))
