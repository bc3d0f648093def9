"""A gateway's connection to discovery: a watch, or a request for a snapshot."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast
from urllib.parse import SplitResult, parse_qs, urlsplit

import h11

if TYPE_CHECKING:
    from rushroad.bench.stand_ins.discovery import Discovery

CHUNK_BYTES = 1 << 16  # of a response body
UNKNOWN_GENERATION = -1  # before the gateway has asked for a watch


class Watch(asyncio.Protocol):
    """One connection. If its request asks for a watch, it is registered with discovery until it is closed."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport
        self._generation = UNKNOWN_GENERATION  # of the list that the gateway has

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Unregister the watch."""
        self._discovery.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        """Handle a request; close the connection on a protocol error."""
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError:
            self._transport.abort()
            return
        if isinstance(event, h11.Request):
            self._handle_request(urlsplit(event.target.decode()))

    def _handle_request(self, url: SplitResult) -> None:
        query = parse_qs(url.query)
        if url.path != "/v1/servers":
            self._respond(404)
            self._transport.close()
        elif "watch" in query:
            self._generation = int(query.get("from", ["0"])[0])
            self._discovery.start_watch(self)
        elif not self._discovery.silent:
            self._respond(200)
            self._write(self._discovery.snapshot())
            self._transport.write(self._http.send(h11.EndOfMessage()) or b"")

    def _respond(self, status: int) -> None:
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        self._transport.write(self._http.send(h11.Response(status_code=status, headers=headers)) or b"")

    def _write(self, text: bytes) -> None:
        self._discovery.stats.bytes_out += len(text)
        for offset in range(0, len(text), CHUNK_BYTES):
            self._transport.write(self._http.send(h11.Data(data=text[offset : offset + CHUNK_BYTES])) or b"")

    def start(self) -> None:
        """Send the changes since the gateway's generation, or a snapshot if the history is too short."""
        self._respond(200)
        if self._discovery.can_resume_from(self._generation):
            self.send_changes()
        else:
            self._write(self._discovery.snapshot())
            self._generation = self._discovery.generation

    def send_changes(self) -> None:
        """Send the changes since the last message, or a heartbeat if there are none."""
        if self._generation == self._discovery.generation:
            self.send_heartbeat()
        for change in self._discovery.changes_since(self._generation):
            self._write(change.message)
            self._generation = change.generation

    def send_heartbeat(self) -> None:
        """Send an empty line, which is the heartbeat."""
        self._write(b"\n")
