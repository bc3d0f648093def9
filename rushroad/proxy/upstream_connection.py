"""A connection to an endpoint. It carries one attempt at a time."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, cast

from rushroad.policy.events import Result
from rushroad.proxy import resp
from rushroad.proxy.transient_errors import poll_now
from rushroad.proxy.upstream_response import RESPONSE_ITEM_COUNT

if TYPE_CHECKING:
    from rushroad.proxy.endpoint_pool import EndpointPool
    from rushroad.proxy.in_flight import Attempt

MALFORMED_RESPONSE = b"malformed"  # stands for data that is not RESP; decoded as an invalid response


class UpstreamConnection(asyncio.Protocol):
    """A connection to an endpoint, from connecting until it is closed.

    It carries one attempt at a time, so closing it to abandon an attempt affects no other attempt.
    """

    def __init__(self, pool: EndpointPool) -> None:
        self.pool = pool
        self.address = pool.address  # at connect time; the endpoint may have moved or restarted since
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0  # seconds of the loop's clock
        self.idle_time: float | None = None  # seconds idle before the current attempt; None once data arrives
        self.has_unwritten_data = False  # part of the command is still in the transport's write buffer
        self.failed_locally = False  # connected, but unusable because of an error of this host
        self._closed = False
        self._reader = resp.Reader(RESPONSE_ITEM_COUNT, responses=True)
        self._poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; with a buffer limit of 0 it calls pause_writing whenever data is unwritten."""
        transport = cast(asyncio.Transport, transport)
        transport.set_write_buffer_limits(high=0)
        self.transport = transport
        try:
            self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        except OSError:  # get_extra_info queries the socket's address, which can fail temporarily
            self.failed_locally = True
            self.close()
        if self._closed:  # closed while connecting
            self.close()

    def is_open(self) -> bool:
        """Return whether the connection can be written to.

        After the peer has closed the connection, the transport drops all writes even before it calls
        connection_lost.
        """
        return self.transport is not None and not self.transport.is_closing()

    def is_clean(self) -> bool:
        """Return whether the connection is open, with no unread data and no unread end of stream.

        Unread bytes belong to the previous response and would be served to the next attempt.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and poll_now(self._poll) == []

    def send(self, attempt: Attempt, command: bytes) -> None:
        """Write an attempt's command."""
        assert self.transport is not None
        self.attempt = attempt
        self.transport.write(command)

    def pause_writing(self) -> None:
        """Record that the transport's write buffer is not empty."""
        self.has_unwritten_data = True

    def resume_writing(self) -> None:
        """Record that the transport's write buffer is empty."""
        self.has_unwritten_data = False

    def data_received(self, data: bytes) -> None:
        """Process a response or a part of one; any other data closes the connection."""
        attempt, pool = self.attempt, self.pool
        pool.consecutive_abandoned = 0
        if self.idle_time is not None:
            pool.upstream.idle_reset_rates.record(self.idle_time, False)
            self.idle_time = None
        message: list[bytes | None] | bytes | None
        try:
            self._reader.feed(data)
            message = self._reader.next()
        except resp.ProtocolError:
            message = MALFORMED_RESPONSE
        if message is None and attempt is not None:
            return
        # The connection is reused only after a valid response that no other data follows.
        reusable = attempt is not None and self._reader.at_message_boundary() and not self.has_unwritten_data
        self.attempt = None
        if attempt is not None and message is not None:
            response = pool.upstream.decoder.decode(message)
            reusable &= response.is_valid
            pool.upstream.finish(
                attempt, response.result, response.value, response.load_report, response.actual_units
            )
        if reusable and self.transport is not None:
            pool.release(self)
        else:
            self.close()

    def close(self) -> None:
        """Close at once, dropping unwritten data."""
        self._closed = True
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        self.pool.remove(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """End the attempt; it was certainly not executed only if part of its command was still unwritten."""
        self.transport = None
        self.pool.remove(self)
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        if self.idle_time is not None:
            self.pool.upstream.idle_reset_rates.record(self.idle_time, True)
            self.idle_time = None
        self.pool.upstream.finish(attempt, Result.CONNECT_FAILED if self.has_unwritten_data else Result.RESET)
