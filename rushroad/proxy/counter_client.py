"""The counter service client: calls are pipelined on a few persistent connections.

The counter keeps a total under each name. A call adds to the total of a name; the reply is the new total.
Times in seconds of the event loop's clock end in `_s`, those in microseconds in `_us`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from functools import partial

from rushroad.policy.events import CounterReply, LateCounterReply, Result
from rushroad.proxy import counter_connection
from rushroad.proxy.counter_connection import (
    PING_REPLY,
    CounterConnection,
    InvalidReplyError,
    PipelinedCall,
    decode_total,
    encode_add,
)

CONNECTION_COUNT = 2
CONNECT_TIMEOUT_S = 1.0
INITIAL_RECONNECT_DELAY_S = 0.05  # before the second reconnect in a row; doubled for each further one
MAX_RECONNECT_DELAY_S = 0.4
MAX_REPLY_TIMEOUT_S = 60.0  # the counter keeps no total for longer, so a later reply is of no use
MONITOR_INTERVAL_S = 0.5


class InFlightCalls:
    """The calls for one name that are in flight. They share a connection, which keeps them in order."""

    __slots__ = ("connection", "count")

    def __init__(self, connection: CounterConnection) -> None:
        self.connection = connection  # on which the last of them was sent
        self.count = 1


class CounterClient:
    """The engine's client of the counter service."""

    def __init__(
        self,
        address: tuple[str, int],
        timeout_us: int,
        on_event: Callable[[CounterReply | LateCounterReply], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Start connecting.

        timeout_us: a call without a reply ends as TIMEOUT after this time. on_event: called with each
        CounterReply and LateCounterReply.
        """
        self.loop = loop
        self._address, self._timeout_s, self._on_event = address, timeout_us / 1e6, on_event
        self._connections: list[CounterConnection | None] = [None] * CONNECTION_COUNT
        self._in_flight: dict[int, InFlightCalls] = {}  # by name
        self._tasks = self._start_tasks()

    def _start_tasks(self) -> list[asyncio.Task[None]]:
        return [self.loop.create_task(self._maintain_connection(index)) for index in range(CONNECTION_COUNT)]

    def add(self, total_name: int, amount: float, lifetime_us: int) -> None:
        """Add to the total of a name; lifetime_us: how long the counter keeps the total.

        Exactly one CounterReply follows, and a LateCounterReply if the total arrives after a TIMEOUT.
        """
        call = PipelinedCall(
            total_name, amount, encode_add(total_name, amount, lifetime_us), self.loop.time()
        )
        connection = self.connection_for(total_name)
        if connection is None:
            self.finish(call, Result.CONNECT_FAILED)
            return
        call.timer = self.loop.call_later(self._timeout_s, self.finish, call, Result.TIMEOUT)
        calls = self._in_flight.get(total_name)
        if calls is None:
            self._in_flight[total_name] = InFlightCalls(connection)
        else:
            calls.connection = connection
            calls.count += 1
        connection.send(call)

    def connection_for(self, total_name: int) -> CounterConnection | None:
        """Return the connection for calls of a name: its assigned one if usable, otherwise any usable one."""
        calls = self._in_flight.get(total_name)
        connection = self._connections[total_name % CONNECTION_COUNT] if calls is None else calls.connection
        if connection is not None and connection.is_usable():
            return connection
        return next((other for other in self._connections if other is not None and other.is_usable()), None)

    def set_address(self, address: tuple[str, int]) -> None:
        """Connect to another address.

        Calls in flight finish on the old connections, which also take new calls until they are replaced.
        """
        if address == self._address:
            return
        self._address = address
        for task in self._tasks:
            task.cancel()
        self._tasks = self._start_tasks()

    def handle_reply(self, call: PipelinedCall, line: bytes, is_retired: bool) -> None:
        """Process the reply to a call; raises InvalidReplyError if the line is not a valid reply.

        is_retired: whether the call's connection has been replaced. A late total is then dropped, as it may
        come from a different counter than the one now in use.
        """
        if call.total_name is None:
            if line != PING_REPLY:
                raise InvalidReplyError(f"expected {PING_REPLY!r}, got {line[:80]!r}")
            return
        try:
            total = decode_total(line)
        except InvalidReplyError:
            self.finish(call, Result.RESET)  # the amount may have been added
            raise
        if total is None:
            self.finish(call, Result.OVERLOADED)
            return
        if call.finished and not is_retired:
            self._on_event(LateCounterReply(call.total_name, call.amount, total))
        self.finish(call, Result.OK, total)

    def finish(self, call: PipelinedCall, result: Result, total: float = 0.0) -> None:
        """Report a call's outcome; further outcomes of the same call are dropped."""
        if call.finished or call.total_name is None:
            return
        call.finished = True
        if call.timer is not None:
            call.timer.cancel()
            calls = self._in_flight[call.total_name]
            calls.count -= 1
            if not calls.count:
                del self._in_flight[call.total_name]
        self._on_event(
            CounterReply(call.total_name, result, int((self.loop.time() - call.started_at_s) * 1e6), total)
        )

    async def _maintain_connection(self, index: int) -> None:
        """Keep one connection open: reconnect when it is lost, at once if it had replied.

        While no connection is usable, calls fail and their amounts go uncounted. After a connection without a
        reply the delay grows, so that repeated resets don't make the event loop spin. The time for which the
        next one may be without a reply grows too: the counter answers a call however late its turn is.
        """
        delay_s, reply_timeout_s = 0.0, counter_connection.UNRESPONSIVE_AFTER_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, connection = await self.loop.create_connection(
                        partial(CounterConnection, self, reply_timeout_s), *self._address
                    )
                previous, self._connections[index] = self._connections[index], connection
                if previous is not None:
                    previous.retire()
                was_unresponsive = await self._monitor(connection)
                if connection.has_replied:
                    delay_s, reply_timeout_s = 0.0, counter_connection.UNRESPONSIVE_AFTER_S
                elif was_unresponsive:
                    reply_timeout_s = min(MAX_REPLY_TIMEOUT_S, 2 * reply_timeout_s)
            except OSError:  # includes TimeoutError
                pass
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RECONNECT_DELAY_S, delay_s * 2 or INITIAL_RECONNECT_DELAY_S)

    async def _monitor(self, connection: CounterConnection) -> bool:
        """Until the connection is lost, close it if it is unresponsive and ping it if it is idle.

        Returns whether it was unresponsive.
        """
        was_unresponsive = False
        while not connection.lost.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(MONITOR_INTERVAL_S):
                    await connection.lost.wait()
            now_s = self.loop.time()
            if connection.is_unresponsive(now_s):
                was_unresponsive = True
                connection.close()
            elif connection.needs_ping(now_s):
                connection.ping(now_s)
        return was_unresponsive

    def close(self) -> None:
        """Close all connections at process shutdown."""
        for task in self._tasks:
            task.cancel()
        for connection in self._connections:
            if connection is not None:
                connection.close()
