"""Network addresses as the configuration and discovery write them: `host:port`."""

from __future__ import annotations

Address = tuple[str, int]  # host and port
NO_ADDRESS: Address = ("", 0)  # of an endpoint to which nothing is sent
MAX_PORT = 65_535


def parse_address(text: str) -> Address:
    """Host and port of `host:port`. Raises ValueError where the text is none."""
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"expected host:port with a port from 1 to {MAX_PORT}, got {text!r}")
    return host, int(port)
