"""Network addresses in the form `host:port`, as in the configuration and in endpoint lists."""

from __future__ import annotations

Address = tuple[str, int]  # host and port
NO_ADDRESS: Address = ("", 0)  # of an endpoint that gets no requests
MAX_PORT = 65_535


def parse_address(text: str) -> Address:
    """Parse `host:port`. Raises ValueError if the text does not have this form."""
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"expected host:port with a port from 1 to {MAX_PORT}, got {text!r}")
    return host, int(port)
