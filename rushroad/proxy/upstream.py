"""Starts attempts on connections to endpoints, within the connection limit, and times out or cancels them.

Times in seconds of the event loop's clock end in `_s`, those in microseconds in `_us`.
"""

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
from rushroad.proxy.idle_reset_rates import IdleResetRates
from rushroad.proxy.in_flight import Attempt
from rushroad.proxy.transient_errors import RESOURCE_ERRORS
from rushroad.proxy.upstream_connection import UpstreamConnection
from rushroad.proxy.upstream_response import ResponseDecoder

IDLE_SWEEP_INTERVAL_S = 1.0
# Fraction of the endpoints' idle timeout after which the gateway closes idle connections itself. A request
# that is sent while the endpoint closes the connection is lost, and can't be retried if it is not idempotent.
IDLE_TIMEOUT_FRACTION = 0.5
# Connect errors that are caused by this host and so don't count against the endpoint.
LOCAL_CONNECT_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL}


class UpstreamAttempt:
    """The timeout timer and the connection of an attempt in flight."""

    __slots__ = ("connection", "timer")

    def __init__(self, timer: asyncio.TimerHandle) -> None:
        self.timer = timer  # ends the attempt as TIMEOUT
        self.connection: UpstreamConnection | None = None  # None until the command is written


class Upstream:
    """The connection pools of all endpoints, and the attempts in flight."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        idle_timeout_us: int,
        max_connections: int,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Start the idle sweep. idle_timeout_us: time after which endpoints close idle connections."""
        self.loop = loop
        self.connection_limit = ConnectionLimit(max_connections)
        self.decoder = ResponseDecoder(settings)
        self.idle_reset_rates = IdleResetRates()
        self.pools_to_check: set[EndpointPool] = set()  # the next idle sweep removes unneeded ones
        self._engine = engine
        self._connect_timeout_s = settings.limits.connect_timeout / 1e6
        self._max_idle_s = idle_timeout_us / 1e6 * IDLE_TIMEOUT_FRACTION
        self._idempotent = [cls.idempotency is Idempotency.IDEMPOTENT for cls in settings.request_classes]
        self._addresses = EndpointAddresses()
        self._pools: dict[str, EndpointPool] = {}
        self._in_flight: dict[Attempt, UpstreamAttempt] = {}
        self._connecting: dict[Attempt, asyncio.Task[None]] = {}
        self._sweep_idle()

    def update_endpoints(
        self,
        listed: Iterable[tuple[Endpoint, tuple[str, int]]],
        is_snapshot: bool,
        is_first_part: bool = True,
        is_last_part: bool = True,
    ) -> None:
        """Apply a delta, or one part of a snapshot, of the endpoint list.

        listed: each endpoint with its host and port. Endpoints that no part of a snapshot names are removed
        after its last part.
        """
        if is_snapshot and is_first_part:
            self._addresses.begin_snapshot()
        for endpoint, host_port in listed:
            address = self._addresses.apply_entry(endpoint, host_port)
            if (pool := self._pools.get(endpoint.name)) is not None:
                pool.apply_entry(address, endpoint.state is EndpointState.READY)
        if is_snapshot and is_last_part:
            for name in self._addresses.finish_snapshot():
                if (pool := self._pools.get(name)) is not None:
                    pool.stop()

    def start(self, attempt: Attempt, timeout_us: int) -> None:
        """Start an attempt on an idle or a new connection; exactly one `attempt_finished` follows."""
        timer = self.loop.call_later(max(0, timeout_us) / 1e6, self._on_timeout, attempt)
        self._in_flight[attempt] = UpstreamAttempt(timer)
        pool = self._pools.get(attempt.endpoint) or self._new_pool(attempt.endpoint)
        if pool is None:
            self.finish(attempt, Result.CONNECT_FAILED)
        elif (connection := pool.acquire(self._idempotent[attempt.call.class_index])) is not None:
            self._write(attempt, connection, timeout_us)
        elif not self.connection_limit.make_room(len(self._connecting)):
            self.finish(attempt, Result.NOT_FORWARDED)  # a limit of this gateway, not of the endpoint
        else:
            pool.connecting_count += 1
            task = self.loop.create_task(
                self._connect(attempt, pool, self._engine.clock.now_us() + timeout_us)
            )
            task.add_done_callback(pool.on_connect_done)
            self._connecting[attempt] = task

    def _new_pool(self, name: str) -> EndpointPool | None:
        address = self._addresses.get(name)
        if address is None:
            return None
        pool = self._pools[name] = EndpointPool(self, name, address)
        return pool

    async def _connect(self, attempt: Attempt, pool: EndpointPool, deadline_us: int) -> None:
        """Connect for an attempt and write its command; deadline_us: on the engine's clock."""
        connection = UpstreamConnection(pool)
        try:
            failure = await self._open(connection)
        finally:
            self._connecting.pop(attempt, None)
        if not connection.is_open() or pool.stopped:
            # A draining endpoint accepts requests until its drain grace ends, but the gateway does not know
            # when the drain began, so it sends none from the moment it learns of the drain.
            connection.close()
            self.finish(attempt, failure)
        elif connection.address != pool.address:
            connection.close()
            self.finish(attempt, Result.NOT_FORWARDED)  # the endpoint has moved or restarted meanwhile
        elif attempt.call.poll_disconnect():  # the engine has been notified and withdraws the attempt
            pool.add(connection)
            pool.release(connection)
        elif attempt.call.may_have_left():
            pool.add(connection)
            pool.release(connection)
            self.finish(attempt, Result.NOT_FORWARDED)
        else:
            pool.add(connection)
            self._write(attempt, connection, deadline_us - self._engine.clock.now_us())

    async def _open(self, connection: UpstreamConnection) -> Result:
        """Open a connection; returns the result with which the attempt ends if the connection is unusable."""
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                address = unpack_address(connection.address)
                await self.loop.create_connection(lambda: connection, address.host, address.port)
        except (OSError, ValueError) as error:  # OSError includes TimeoutError
            connection.close()
            is_local = isinstance(error, OSError) and error.errno in LOCAL_CONNECT_ERRORS
            return Result.NOT_FORWARDED if is_local else Result.CONNECT_FAILED
        except asyncio.CancelledError:
            connection.close()
            raise
        return Result.NOT_FORWARDED if connection.failed_locally else Result.CONNECT_FAILED

    def _write(self, attempt: Attempt, connection: UpstreamConnection, timeout_us: int) -> None:
        self._in_flight[attempt].connection = connection
        connection.send(attempt, attempt.call.forwarded_command(timeout_us))

    def cancel(self, attempt: Attempt) -> None:
        """Abandon an attempt; it ends as CANCELLED, or as CONNECT_FAILED if nothing was written."""
        self._abandon(attempt, Result.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt as NOT_FORWARDED, unless all of its command has been written.

        Called when the request has finished.
        """
        in_flight = self._in_flight.get(attempt)
        if in_flight is None:
            return
        connection = in_flight.connection
        if connection is None:
            self._cancel_connect(attempt)
        elif connection.has_unwritten_data:
            connection.attempt = None
            connection.close()
        else:
            return
        self.finish(attempt, Result.NOT_FORWARDED)

    def _on_timeout(self, attempt: Attempt) -> None:
        self._abandon(attempt, Result.TIMEOUT)

    def _abandon(self, attempt: Attempt, result: Result) -> None:
        """End an attempt before its response, as CONNECT_FAILED if its command has no connection yet."""
        connection = self._in_flight[attempt].connection
        if connection is None:
            self._cancel_connect(attempt)
            self.finish(attempt, Result.CONNECT_FAILED)
        else:
            connection.attempt = None
            connection.close()
            connection.pool.record_abandoned()
            self.finish(attempt, result)

    def _cancel_connect(self, attempt: Attempt) -> None:
        if (task := self._connecting.pop(attempt, None)) is not None:
            task.cancel()

    def finish(
        self,
        attempt: Attempt,
        result: Result,
        value: bytes = b"",
        load_report: tuple[float, ...] = (),
        actual_units: float | None = None,
    ) -> None:
        """Report the end of an attempt to the engine; later calls for the same attempt are ignored."""
        in_flight = self._in_flight.pop(attempt, None)
        if in_flight is not None:
            in_flight.timer.cancel()
            self._engine.attempt_finished(attempt, result, value, load_report, actual_units)

    def close_idle(self, now_s: float) -> None:
        """Close the connections that have exceeded the maximum idle time."""
        self.connection_limit.close_idle(now_s - self._max_idle_s)

    def _sweep_idle(self) -> None:
        """Close connections that have been idle for too long, and remove pools that are no longer needed."""
        self.close_idle(self.loop.time())
        for pool in self.pools_to_check:
            if not pool.is_needed() and self._pools.get(pool.name) is pool:
                del self._pools[pool.name]
        self.pools_to_check.clear()
        self.loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep_idle)

    def close(self) -> None:
        """Close all connections at process shutdown."""
        for task in list(self._connecting.values()):
            task.cancel()
        for pool in self._pools.values():
            for connection in list(pool.connections):
                connection.close()
