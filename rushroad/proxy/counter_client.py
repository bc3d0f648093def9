"""Calls to the counter service, pipelined on a few connections that are kept up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from rushroad.policy.events import CounterReply, LateCounterReply, Result
from rushroad.proxy.counter_connection import (
    PING_REPLY,
    CounterCall,
    CounterConnection,
    InvalidReplyError,
    decode_total,
    encode_add,
)

CONNECTION_COUNT = 2
CONNECT_TIMEOUT_S = 1.0  # seconds
INITIAL_RECONNECT_DELAY_S = 0.05  # seconds before the second connect in a row; doubled with each further one
MAX_RECONNECT_DELAY_S = 0.4  # seconds
MONITOR_INTERVAL_S = 0.5  # seconds between checks of a connection


class CallsInFlight:
    """The calls for one name that have not ended. They keep to one connection, and so to their order."""

    __slots__ = ("connection", "count")

    def __init__(self, connection: CounterConnection) -> None:
        self.connection = connection  # that the last of them was sent on
        self.count = 1


class CounterClient:
    """The counter service, as the engine calls it."""

    def __init__(
        self,
        address: tuple[str, int],
        timeout: int,
        post: Callable[[CounterReply | LateCounterReply], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Begin to connect. timeout: microseconds after which a call without a reply ends as TIMEOUT.

        `post` takes the events.
        """
        self.loop = loop
        self._address, self._timeout, self._post = address, timeout / 1e6, post
        self._connections: list[CounterConnection | None] = [None] * CONNECTION_COUNT
        self._in_flight: dict[int, CallsInFlight] = {}  # by name
        self._tasks = self._start_tasks()

    def _start_tasks(self) -> list[asyncio.Task[None]]:
        return [self.loop.create_task(self._maintain_connection(index)) for index in range(CONNECTION_COUNT)]

    def add(self, name: int, amount: float, lifetime: int) -> None:
        """Add to the total of a name; lifetime: microseconds that the counter keeps it.

        One CounterReply follows, and a LateCounterReply where the total comes after a TIMEOUT.
        """
        call = CounterCall(name, amount, encode_add(name, amount, lifetime), self.loop.time())
        connection = self.connection_for(name)
        if connection is None:
            self.end(call, Result.CONNECT_FAILED)
            return
        call.timer = self.loop.call_later(self._timeout, self.end, call, Result.TIMEOUT)
        calls = self._in_flight.get(name)
        if calls is None:
            self._in_flight[name] = CallsInFlight(connection)
        else:
            calls.connection = connection
            calls.count += 1
        connection.send(call)

    def connection_for(self, name: int) -> CounterConnection | None:
        """Return the connection for calls of a name: its own, or another one while that is not usable."""
        calls = self._in_flight.get(name)
        connection = self._connections[name % CONNECTION_COUNT] if calls is None else calls.connection
        if connection is not None and connection.is_usable():
            return connection
        return next((other for other in self._connections if other is not None and other.is_usable()), None)

    def set_address(self, address: tuple[str, int]) -> None:
        """Connect to another address.

        Calls in flight end on their connections; new ones go there until those of the new address are up.
        """
        if address == self._address:
            return
        self._address = address
        for task in self._tasks:
            task.cancel()
        self._tasks = self._start_tasks()

    def reply_received(self, call: CounterCall, line: bytes, is_retired: bool) -> None:
        """Take the reply to a call; raises InvalidReplyError where the line is none.

        Late totals on a retired connection are dropped: its counter may be another than the one in use.
        """
        if call.name is None:
            if line != PING_REPLY:
                raise InvalidReplyError(f"expected {PING_REPLY!r}, got {line[:80]!r}")
            return
        try:
            total = decode_total(line)
        except InvalidReplyError:
            self.end(call, Result.RESET)  # it may have been added
            raise
        if total is None:
            self.end(call, Result.OVERLOADED)
            return
        if call.ended and not is_retired:
            self._post(LateCounterReply(call.name, call.amount, total))
        self.end(call, Result.OK, total)

    def end(self, call: CounterCall, result: Result, total: float = 0.0) -> None:
        """Report a call's outcome; later ones of the same call are dropped."""
        if call.ended or call.name is None:
            return
        call.ended = True
        if call.timer is not None:
            call.timer.cancel()
            calls = self._in_flight[call.name]
            calls.count -= 1
            if not calls.count:
                del self._in_flight[call.name]
        self._post(CounterReply(call.name, result, int((self.loop.time() - call.started_at) * 1e6), total))

    async def _maintain_connection(self, index: int) -> None:
        """Keep one connection up: connect again when it ends, at once if it had replied.

        Meanwhile its names may go uncounted. After a connection without a reply the delay grows, so that one
        that is reset each time does not make the loop spin.
        """
        delay = 0.0
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, connection = await self.loop.create_connection(
                        lambda: CounterConnection(self), *self._address
                    )
                previous, self._connections[index] = self._connections[index], connection
                if previous is not None:
                    previous.retire()
                await self._monitor(connection)
                if connection.has_replied:
                    delay = 0.0
            except OSError:  # a TimeoutError is one, too
                pass
            await asyncio.sleep(delay)
            delay = min(MAX_RECONNECT_DELAY_S, delay * 2 or INITIAL_RECONNECT_DELAY_S)

    async def _monitor(self, connection: CounterConnection) -> None:
        """Close a connection that is dead, and ping one that is idle, until it is lost."""
        while not connection.lost.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(MONITOR_INTERVAL_S):
                    await connection.lost.wait()
            now = self.loop.time()
            if connection.is_dead(now):
                connection.close()
            elif connection.needs_ping(now):
                connection.ping(now)

    def close(self) -> None:
        """Close all connections, at the end of the process."""
        for task in self._tasks:
            task.cancel()
        for connection in self._connections:
            if connection is not None:
                connection.close()
