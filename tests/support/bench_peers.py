"""Blocking sockets to the bench's stand-ins."""

import json
import socket
from typing import Any


def connect(address: str) -> socket.socket:
    host, _, port = address.partition(":")
    return socket.create_connection((host, int(port)), timeout=30)


def read_until(peer: socket.socket, end: bytes) -> bytes:
    data = b""
    while end not in data:
        part = peer.recv(1 << 16)
        assert part, data
        data += part
    return data


def open_watch(address: str, generation: int) -> socket.socket:
    peer = connect(address)
    request = f"GET /v1/servers?watch=1&from={generation} HTTP/1.1\r\nHost: {address}\r\n\r\n"
    peer.sendall(request.encode())
    return peer


def next_message(peer: socket.socket) -> Any:
    """The next message of a watch; heartbeats are skipped."""
    data = read_until(peer, b"}\n\r\n")
    return json.loads(data[data.index(b"{") : data.rindex(b"}") + 1])
