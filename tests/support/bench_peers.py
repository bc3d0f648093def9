"""Blocking client sockets for tests of the bench's stand-ins."""

import json
import socket
from typing import Any


def connect(address: str) -> socket.socket:
    host, _, port = address.partition(":")
    return socket.create_connection((host, int(port)), timeout=30)


def read_until(client: socket.socket, end: bytes) -> bytes:
    data = b""
    while end not in data:
        chunk = client.recv(1 << 16)
        assert chunk, data
        data += chunk
    return data


def open_watch(address: str, generation: int) -> socket.socket:
    client = connect(address)
    request = f"GET /v1/servers?watch=1&from={generation} HTTP/1.1\r\nHost: {address}\r\n\r\n"
    client.sendall(request.encode())
    return client


def next_message(client: socket.socket) -> Any:
    """Return the next message of a watch, after any heartbeats."""
    data = read_until(client, b"}\n\r\n")
    return json.loads(data[data.index(b"{") : data.rindex(b"}") + 1])
