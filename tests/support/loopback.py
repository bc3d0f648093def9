"""Test doubles and helpers shared by tests that use loopback sockets."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from rushroad.policy.events import Result
from rushroad.policy.settings_reader import ProxySettings
from rushroad.proxy.client_command import CommandSchema
from rushroad.proxy.clock import Clock
from rushroad.proxy.in_flight import Attempt
from rushroad.proxy.resp import encode_array

LOOPBACK = "127.0.0.1"
# Indexes by name: of request classes, plans, endpoint classes and zones.
PROXY_SETTINGS = ProxySettings(
    {"lookup": 0, "order": 1}, {"basic": 0}, {"box": 1}, {"room": 0}, idle_timeout=15_000_000
)
# `lookup` is called with CALL.GET, `order` with CALL.POST.
SCHEMA = CommandSchema({b"lookup": 0, b"order": 1}, (False, True), {b"basic": 0}, max_units=4.0, fleet_size=3)
MEMORY_LIMIT = 192_000_000  # bytes that a gateway may use
TENANT = b"00000000000000ab"


def run(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario on the event loop of the gateway, uvloop; a scenario that hangs fails after 10 s."""
    run_with_timeout(10, scenario)


def run_with_timeout(timeout_s: float, scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario, which fails if it takes longer than the timeout."""
    uvloop.run(asyncio.wait_for(scenario(), timeout_s))


def resp(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return encode_array(list(words))


def call(request_id: int, options: bytes = b"c=lookup,t=basic,d=900,units=2,spread=2,first=1") -> bytes:
    """Encode a client's command for a request without a body."""
    return resp(b"CALL.GET", TENANT, b"%016x" % request_id, options)


class Peer:
    """A server controlled by the test.

    `received_chunks` holds the data of all connections in order, with b"" for the end of a connection.
    """

    def __init__(self) -> None:
        self.received_chunks: asyncio.Queue[tuple[asyncio.StreamWriter, bytes]] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def __aenter__(self) -> "Peer":
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        data = b"?"
        while data:
            try:
                data = await reader.read(1 << 20)
            except ConnectionError:
                data = b""
            self.received_chunks.put_nowait((writer, data))

    async def receive(self, end: bytes = b"\r\n") -> tuple[asyncio.StreamWriter, bytes]:
        """Receive until the data ends with `end` or the connection ends; return its writer and the data."""
        writer, data = await self.received_chunks.get()
        while data and not data.endswith(end):
            data += (await self.received_chunks.get())[1]
        return writer, data

    async def respond(self, response: bytes) -> bytes:
        """Receive a command, send a response and return the command."""
        writer, data = await self.receive()
        writer.write(response)
        return data

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()


class RecordingEngine:
    """Replaces the engine: records what the client side and the upstream side report to it."""

    def __init__(self) -> None:
        self.clock = Clock()
        # Of each finished attempt: its request ID, its result, the value and the load report in the response.
        self.outcomes: asyncio.Queue[tuple[int, Result, bytes, tuple[float, ...]]] = asyncio.Queue()
        self.calls: asyncio.Queue[Any] = asyncio.Queue()  # submitted by client connections
        self.disconnected: asyncio.Queue[int] = asyncio.Queue()  # request IDs
        self.ids_in_flight: set[bytes] = set()
        self.actual_units: list[float | None] = []
        self.unanswered: list[Any] = []  # failed by `answer_all`
        self._request_count = 0

    def attempt_finished(
        self,
        attempt: Attempt,
        result: Result,
        value: bytes = b"",
        load_report: tuple[float, ...] = (),
        actual_units: float | None = None,
    ) -> None:
        self.actual_units.append(actual_units)
        self.outcomes.put_nowait((attempt.request_id, result, value, load_report))

    def submit(self, call: Any) -> int:
        if call.id in self.ids_in_flight:
            return 0
        self.calls.put_nowait(call)
        self._request_count += 1
        return self._request_count

    def client_disconnected(self, request_id: int) -> None:
        self.disconnected.put_nowait(request_id)

    def answer_all(self) -> None:
        for call in self.unanswered:
            call.fail()


class DelayedConnectLoop:
    """An event loop that delays connects until `connect_allowed` is set.

    A connect that is cancelled while it is delayed is still established, which sets `cancelled_connect_done`.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.connect_requested, self.connect_allowed, self.cancelled_connect_done = (
            asyncio.Event(),
            asyncio.Event(),
            asyncio.Event(),
        )

    async def create_connection(self, *args: Any) -> Any:
        self.connect_requested.set()
        try:
            await self.connect_allowed.wait()
        except asyncio.CancelledError:
            self._loop.create_task(self._loop.create_connection(*args)).add_done_callback(self._finish)
            raise
        return await self._loop.create_connection(*args)

    def _finish(self, _: object) -> None:
        self.cancelled_connect_done.set()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)
