"""The listener for clients: accepts their connections, and closes them at the stop."""

from __future__ import annotations

import asyncio
import select
import socket

from rushroad.proxy.client_command import CommandSchema
from rushroad.proxy.client_connection import ClientConnection
from rushroad.proxy.connection_table import ConnectionTable
from rushroad.proxy.engine import Engine
from rushroad.proxy.transient_errors import RESOURCE_ERRORS, RETRY_INTERVAL_S, poll_now

BACKLOG = 1_024  # connections that the system keeps until they are accepted
MAX_ACCEPTS_PER_CALLBACK = (
    16  # each takes a descriptor before the connection that makes room for it is closed
)
MAX_SETUP_ATTEMPTS = 3  # to make a connection of an accepted socket
MAX_ACCEPT_FAILURES_AT_STOP = 50  # before connections that still wait at the stop are given up
PARTIAL_COMMAND_TIMEOUT_S = 1.0  # seconds that a stop waits for commands that are on their way
CLOSE_INTERVAL_S = 0.01  # seconds between rounds over the connections that a stop has left
LINGER_TIMEOUT_S = 0.3  # seconds that a stop leaves clients to close, by which they have read all answers


class ClientListener:
    """Listens for client connections until it is stopped."""

    def __init__(
        self, engine: Engine, schema: CommandSchema, max_connections: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.connections = ConnectionTable(engine, schema, max_connections, loop)
        self.port = 0  # known once it listens
        self._engine, self._loop = engine, loop
        self._listener: socket.socket
        self._setup_tasks: set[asyncio.Task[None]] = set()  # of sockets that become connections
        self._deferred_since: float | None = None  # since when accepting waits for the system's resources

    async def listen(self, host: str, port: int) -> None:
        """Accept connections from now on; raises OSError where the address can't be used.

        The loop's own server is not used: without a free descriptor it closes connections unread.
        """
        self._listener = socket.create_server((host, port), backlog=BACKLOG)
        try:
            self._listener.setblocking(False)
            self.port = self._listener.getsockname()[1]
            self._loop.add_reader(self._listener, self._accept)
        except OSError:
            self._listener.close()  # a further try takes the same address
            raise
        self.connections.loop_lag.probe()
        self.connections.sweep()

    def _accept(self) -> None:
        """Accept waiting connections. Those that the system has no resources for wait until it has."""
        for _ in range(MAX_ACCEPTS_PER_CALLBACK):
            try:
                self._set_up(self._listener.accept()[0])
            except BlockingIOError:
                self._deferred_since = None
                return
            except OSError as error:
                if error.errno in RESOURCE_ERRORS:
                    self._defer_accepting()
                    return
                # Only this connection has failed, before it was accepted.

    def _defer_accepting(self) -> None:
        if self._deferred_since is None:
            self._deferred_since = self._loop.time()
        self._loop.remove_reader(self._listener)
        self._loop.call_later(RETRY_INTERVAL_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._listener.fileno() < 0:
            return
        try:
            self._loop.add_reader(self._listener, self._accept)
        except OSError:
            self._loop.call_later(RETRY_INTERVAL_S, self._resume_accepting)

    def _set_up(self, accepted: socket.socket) -> None:
        waiting_since = self._deferred_since
        lag_since = self.connections.loop_lag.waiting_since()
        if waiting_since is None and lag_since < self._loop.time():
            waiting_since = lag_since
        task = self._loop.create_task(self._connect(accepted, waiting_since))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)

    async def _connect(self, accepted: socket.socket, waiting_since: float | None) -> None:
        """Make a connection of a socket. Nothing is read before that, so a failed try loses nothing."""
        descriptor = accepted.fileno()

        def new_connection() -> ClientConnection:
            return ClientConnection(self.connections, descriptor, waiting_since)

        for _ in range(MAX_SETUP_ATTEMPTS):
            try:
                await self._loop.connect_accepted_socket(new_connection, accepted)
            except OSError:
                if accepted.fileno() < 0:
                    return
            else:
                return
        accepted.close()

    async def stop(self, accept_time: float, time_limit: float) -> None:
        """Go on for `accept_time`, then close the listener and each connection once nothing is unanswered.

        From then on, further requests on open connections are rejected. `time_limit` after the beginning all
        requests in flight are answered and the connections aborted: the process may be killed soon. Both are
        seconds.
        """
        deadline = self._loop.time() + time_limit
        await asyncio.sleep(accept_time)
        self.connections.shutting_down = True
        await self._close_listener()
        input_deadline = self._loop.time() + PARTIAL_COMMAND_TIMEOUT_S
        await self._close_connections(input_deadline, deadline)
        self._engine.answer_all()
        await self._close_connections(0.0, self._loop.time() + LINGER_TIMEOUT_S)
        for connection in list(self.connections.open):
            connection.abort()  # its client may never read

    async def _close_listener(self) -> None:
        """Close it, after accepting the connections that wait."""
        self._loop.remove_reader(self._listener)
        failures = 0
        while failures < MAX_ACCEPT_FAILURES_AT_STOP:
            try:
                self._set_up(self._listener.accept()[0])
            except BlockingIOError:
                break
            except OSError as error:
                failures += 1
                if error.errno in RESOURCE_ERRORS:
                    await asyncio.sleep(RETRY_INTERVAL_S / 10)
        self._listener.close()
        if self._setup_tasks:
            await asyncio.wait(self._setup_tasks)

    async def _close_connections(self, input_deadline: float, deadline: float) -> None:
        """Close connections gracefully until there are none, or until `deadline`.

        Until `input_deadline` one with unread input, or part of a command, stays open.
        """
        while self.connections.open and (now := self._loop.time()) < deadline:
            readable = self._readable_descriptors()
            for connection in list(self.connections.open):
                if connection.ended_at is not None and now - connection.ended_at > LINGER_TIMEOUT_S:
                    connection.abort()
                elif connection.descriptor not in readable or now >= input_deadline:
                    connection.close(await_command=now < input_deadline)
            await asyncio.sleep(CLOSE_INTERVAL_S)

    def _readable_descriptors(self) -> set[int]:
        """Return those of the connections that have unread input; all where the system can't tell."""
        unread = select.poll()
        for connection in self.connections.open:
            unread.register(connection.descriptor, select.POLLIN)
        ready = poll_now(unread)
        if ready is None:
            return {connection.descriptor for connection in self.connections.open}
        return {descriptor for descriptor, _ in ready}
