"""The client listener: accepts connections and closes them at shutdown."""

from __future__ import annotations

import asyncio
import socket
import time

from rushroad.proxy.client_command import CommandSchema
from rushroad.proxy.client_connection import ClientConnection
from rushroad.proxy.connection_table import ConnectionTable
from rushroad.proxy.engine import Engine
from rushroad.proxy.transient_errors import RESOURCE_ERRORS, RETRY_INTERVAL_S

BACKLOG = 1_024  # connections that the kernel queues until they are accepted
MAX_ACCEPTS_PER_CALLBACK = 16  # each uses a descriptor before an evicted connection releases one
MAX_SETUP_ATTEMPTS = 3  # per accepted socket
MAX_ACCEPT_FAILURES_AT_STOP = 50  # after which connections still in the backlog are dropped
PARTIAL_COMMAND_TIMEOUT_S = 1.0  # time for which a stop waits for commands that are on their way
CLOSE_INTERVAL_S = 0.01  # between attempts of a stop to close the remaining connections
LAST_INPUT_TIME_S = 0.1  # after its time limit, for which a stop still reads and rejects commands
LINGER_TIMEOUT_S = 0.3  # time that a stop gives clients to read all answers and close


class ClientListener:
    """Accepts client connections until it is stopped."""

    def __init__(
        self,
        engine: Engine,
        schema: CommandSchema,
        max_connections: int,
        memory_limit: int,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a listener; memory_limit: bytes that the gateway may use."""
        self.connections = ConnectionTable(engine, schema, max_connections, memory_limit, loop)
        self.port = 0  # 0 until it listens
        self._engine, self._loop = engine, loop
        self._listener: socket.socket
        self._setup_tasks: set[asyncio.Task[None]] = set()  # of accepted sockets
        self._deferred_since: float | None = None  # when accepting began to fail for lack of system resources

    async def listen(self, host: str, port: int) -> None:
        """Start accepting connections; raises OSError if the address cannot be used.

        The event loop's own server is not used, as it closes connections unread if no descriptor is free.
        """
        self._listener = socket.create_server((host, port), backlog=BACKLOG)
        try:
            self._listener.setblocking(False)
            self.port = self._listener.getsockname()[1]
            self._loop.add_reader(self._listener, self._accept)
        except OSError:
            self._listener.close()  # allows the caller to retry with the same address
            raise
        self.connections.loop_lag.probe()
        self.connections.sweep()

    def _accept(self) -> None:
        """Accept the connections in the backlog; if the system lacks resources, retry later."""
        for _ in range(MAX_ACCEPTS_PER_CALLBACK):
            try:
                self._start_setup(self._listener.accept()[0])
            except BlockingIOError:
                self._deferred_since = None
                return
            except OSError as error:
                if error.errno in RESOURCE_ERRORS:
                    self._defer_accepting()
                    return
                # Any other error concerns only this connection, which failed before it was accepted.

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

    def _start_setup(self, accepted: socket.socket) -> None:
        """Set up the connection of an accepted socket in a task.

        If accepting was deferred or the event loop stalled, its input may have waited since then.
        """
        waiting_since = self._deferred_since
        earliest_arrival = self.connections.loop_lag.earliest_arrival()
        if waiting_since is None and earliest_arrival < self._loop.time():
            waiting_since = earliest_arrival
        task = self._loop.create_task(self._set_up(accepted, waiting_since))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)

    async def _set_up(self, accepted: socket.socket, waiting_since: float | None) -> None:
        """Set up the connection of an accepted socket.

        Nothing is read from the socket before, so no input is lost if this fails and is retried.
        """
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
        """Accept connections for `accept_time`, then close the listener and all connections gracefully.

        After `accept_time`, new requests are rejected and each connection closes once all commands that have
        arrived are answered. After `time_limit`, counted from the start, all requests in flight are answered,
        the other commands rejected and the connections aborted, as the process may be killed soon. Both times
        are in seconds.
        """
        deadline = self._loop.time() + time_limit
        await asyncio.sleep(accept_time)
        self.connections.shutting_down = True
        await self._close_listener()
        input_deadline = self._loop.time() + PARTIAL_COMMAND_TIMEOUT_S
        await self._close_connections(input_deadline, deadline)
        self._engine.answer_all()
        await self._close_connections(0.0, self._loop.time() + LAST_INPUT_TIME_S)
        last_answers_until = time.monotonic() + LINGER_TIMEOUT_S
        for connection in list(self.connections.open):
            if time.monotonic() < last_answers_until:
                connection.finish_input()
        await self._close_connections(0.0, self._loop.time() + LINGER_TIMEOUT_S)
        for connection in list(self.connections.open):
            connection.abort()  # the client may never read its answers

    async def _close_listener(self) -> None:
        """Accept the connections in the backlog, then close the listener."""
        self._loop.remove_reader(self._listener)
        failures = 0
        while failures < MAX_ACCEPT_FAILURES_AT_STOP:
            try:
                self._start_setup(self._listener.accept()[0])
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
        """Close connections gracefully until none is left or `deadline` is reached.

        Until `input_deadline`, connections without a command or with an incomplete one stay open.
        """
        while self.connections.open and (now := self._loop.time()) < deadline:
            for connection in list(self.connections.open):
                if connection.ended_at is not None and now - connection.ended_at > LINGER_TIMEOUT_S:
                    connection.abort()
                else:
                    connection.close(await_command=now < input_deadline)
            await asyncio.sleep(CLOSE_INTERVAL_S)
