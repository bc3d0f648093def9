"""The endpoint side: starts attempts, times them out and ends them, within the limit on connections."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Iterable

from rushroad.policy.events import Endpoint, EndpointState, Result
from rushroad.policy.settings import Idempotency, Settings
from rushroad.proxy.connection_limit import ConnectionLimit
from rushroad.proxy.endpoint_addresses import EndpointAddresses, unpack_address
from rushroad.proxy.endpoint_pool import EndpointPool
from rushroad.proxy.engine import Engine
from rushroad.proxy.idle_resets import IdleResetRates
from rushroad.proxy.in_flight import Attempt
from rushroad.proxy.transient_errors import RESOURCE_ERRORS
from rushroad.proxy.upstream_connection import UpstreamConnection
from rushroad.proxy.upstream_response import ResponseDecoder

IDLE_SWEEP_INTERVAL = 1.0  # seconds
# Fraction of the endpoints' idle timeout after which idle connections are closed here: a request that crosses
# an endpoint's close on the way is lost, and one that is not idempotent can't be tried again.
IDLE_FRACTION = 0.5
LOCAL_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL}  # of a connect; they say nothing of the endpoint


class AttemptInFlight:
    """What an attempt in flight waits for."""

    __slots__ = ("connection", "timer")

    def __init__(self, timer: asyncio.TimerHandle) -> None:
        self.timer = timer  # ends it as TIMEOUT
        self.connection: UpstreamConnection | None = None  # None until its command is written


class Upstream:
    """All endpoints that may be sent requests, and the attempts in flight."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        idle_timeout: int,
        max_connections: int,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Start the idle sweep. idle_timeout: microseconds after which endpoints close idle connections."""
        self.loop = loop
        self.limit = ConnectionLimit(max_connections)
        self.decoder = ResponseDecoder(settings)
        self.idle_resets = IdleResetRates()
        self.maybe_unused: set[EndpointPool] = set()  # pools that the next idle sweep looks at
        self._engine = engine
        self._connect_timeout = settings.limits.connect_timeout / 1e6  # seconds
        self._max_idle_time = idle_timeout / 1e6 * IDLE_FRACTION  # seconds
        self._idempotent = [cls.idempotency is Idempotency.IDEMPOTENT for cls in settings.request_classes]
        self._addresses = EndpointAddresses()
        self._pools: dict[str, EndpointPool] = {}
        self._in_flight: dict[Attempt, AttemptInFlight] = {}
        self._connecting: dict[Attempt, asyncio.Task[None]] = {}
        self._sweep_idle()

    def update_endpoints(
        self,
        entries: Iterable[tuple[Endpoint, tuple[str, int]]],
        is_snapshot: bool,
        first: bool = True,
        last: bool = True,
    ) -> None:
        """Take a delta or a part of a snapshot of the endpoint list, each entry with its host and port.

        A snapshot may come in parts, from a first to a last one; endpoints that none of them names are
        removed after the last.
        """
        if is_snapshot and first:
            self._addresses.begin_snapshot()
        for endpoint, host_port in entries:
            address = self._addresses.update(endpoint, host_port)
            if (pool := self._pools.get(endpoint.name)) is not None:
                pool.update(address, endpoint.state is EndpointState.READY)
        if is_snapshot and last:
            for name in self._addresses.finish_snapshot():
                if (pool := self._pools.get(name)) is not None:
                    pool.stop()

    def start(self, attempt: Attempt, timeout: int) -> None:
        """Start an attempt, on an idle connection or a new one; exactly one `attempt_finished` follows.

        timeout: microseconds.
        """
        timer = self.loop.call_later(max(0, timeout) / 1e6, self._timed_out, attempt)
        self._in_flight[attempt] = AttemptInFlight(timer)
        pool = self._pools.get(attempt.endpoint) or self._new_pool(attempt.endpoint)
        if pool is None:
            self.end(attempt, Result.CONNECT_FAILED)
        elif (connection := pool.acquire(self._idempotent[attempt.call.class_index])) is not None:
            self._write(attempt, connection, timeout)
        elif not self.limit.make_room(len(self._connecting)):
            self.end(attempt, Result.NOT_FORWARDED)  # the limit is this gateway's own
        else:
            pool.connecting += 1
            task = self.loop.create_task(self._connect(attempt, pool, self._engine.clock.now_us() + timeout))
            task.add_done_callback(pool.connect_ended)
            self._connecting[attempt] = task

    def _new_pool(self, name: str) -> EndpointPool | None:
        address = self._addresses.get(name)
        if address is None:
            return None
        pool = self._pools[name] = EndpointPool(self, name, address)
        return pool

    async def _connect(self, attempt: Attempt, pool: EndpointPool, deadline: int) -> None:
        """Connect for an attempt and write its command; deadline: microseconds of the engine's clock."""
        connection = UpstreamConnection(pool)
        try:
            failure = await self._open(connection)
        finally:
            self._connecting.pop(attempt, None)
        if not connection.is_open() or pool.stopped:
            # A draining endpoint still takes requests for a grace time, but since when it drains is not known
            # here, so nothing is sent within the grace either.
            connection.close()
            self.end(attempt, failure)
        elif connection.address != pool.address:
            connection.close()
            self.end(attempt, Result.NOT_FORWARDED)  # it says nothing of where the endpoint is now
        elif attempt.call.poll_disconnect():  # the engine, told of it, withdraws the attempt
            pool.add(connection)
            pool.release(connection)
        else:
            pool.add(connection)
            self._write(attempt, connection, deadline - self._engine.clock.now_us())

    async def _open(self, connection: UpstreamConnection) -> Result:
        """Open a connection; returns the result of its attempt where the connection is of no use."""
        try:
            async with asyncio.timeout(self._connect_timeout):
                address = unpack_address(connection.address)
                await self.loop.create_connection(lambda: connection, address.host, address.port)
        except (OSError, ValueError) as error:  # a TimeoutError is an OSError, too
            connection.close()
            is_local = isinstance(error, OSError) and error.errno in LOCAL_ERRORS
            return Result.NOT_FORWARDED if is_local else Result.CONNECT_FAILED
        except asyncio.CancelledError:
            connection.close()
            raise
        return Result.NOT_FORWARDED if connection.failed_locally else Result.CONNECT_FAILED

    def _write(self, attempt: Attempt, connection: UpstreamConnection, timeout: int) -> None:
        self._in_flight[attempt].connection = connection
        connection.send(attempt, attempt.call.forwarded_command(timeout))

    def cancel(self, attempt: Attempt) -> None:
        """Abandon an attempt, which ends as CANCELLED, or as CONNECT_FAILED where nothing was written."""
        self._abandon(attempt, Result.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt of a request that is over as NOT_FORWARDED, unless all of it has been written."""
        in_flight = self._in_flight.get(attempt)
        if in_flight is None:
            return
        connection = in_flight.connection
        if connection is None:
            self._cancel_connect(attempt)
        elif connection.unwritten:
            connection.attempt = None
            connection.close()
        else:
            return
        self.end(attempt, Result.NOT_FORWARDED)

    def _timed_out(self, attempt: Attempt) -> None:
        self._abandon(attempt, Result.TIMEOUT)

    def _abandon(self, attempt: Attempt, result: Result) -> None:
        """Stop waiting. Where no connection has come up, nothing was written and nothing will be."""
        connection = self._in_flight[attempt].connection
        if connection is None:
            self._cancel_connect(attempt)
            self.end(attempt, Result.CONNECT_FAILED)
        else:
            connection.attempt = None
            connection.close()
            connection.pool.attempt_abandoned()
            self.end(attempt, result)

    def _cancel_connect(self, attempt: Attempt) -> None:
        if (task := self._connecting.pop(attempt, None)) is not None:
            task.cancel()

    def end(
        self,
        attempt: Attempt,
        result: Result,
        value: bytes = b"",
        load_report: tuple[float, ...] = (),
        actual_units: float | None = None,
    ) -> None:
        """Report an attempt's outcome to the engine; later ones of the same attempt are dropped."""
        in_flight = self._in_flight.pop(attempt, None)
        if in_flight is not None:
            in_flight.timer.cancel()
            self._engine.attempt_finished(attempt, result, value, load_report, actual_units)

    def close_idle(self, now: float) -> None:
        """Close the connections that have been idle for too long; now: seconds of the loop's clock."""
        self.limit.close_idle(now - self._max_idle_time)

    def _sweep_idle(self) -> None:
        """Close what has been idle for too long, and remove pools that are not needed any more."""
        self.close_idle(self.loop.time())
        for pool in self.maybe_unused:
            if not pool.is_needed() and self._pools.get(pool.name) is pool:
                del self._pools[pool.name]
        self.maybe_unused.clear()
        self.loop.call_later(IDLE_SWEEP_INTERVAL, self._sweep_idle)

    def close(self) -> None:
        """Close all connections, at the end of the process."""
        for task in list(self._connecting.values()):
            task.cancel()
        for pool in self._pools.values():
            for connection in list(pool.connections):
                connection.close()
