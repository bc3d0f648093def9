"""One connection to an endpoint. It carries one attempt at a time."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, cast

from rushroad.policy.events import Result
from rushroad.proxy import resp
from rushroad.proxy.transient_errors import poll_now
from rushroad.proxy.upstream_response import RESPONSE_ITEMS

if TYPE_CHECKING:
    from rushroad.proxy.endpoint_pool import EndpointPool
    from rushroad.proxy.in_flight import Attempt

MALFORMED = b"malformed"  # stands for bytes that are no RESP message: no response of the protocol, too


class UpstreamConnection(asyncio.Protocol):
    """A connection to an endpoint, from its connect to its end.

    With one attempt at a time, an attempt that is abandoned takes no other with it.
    """

    def __init__(self, pool: EndpointPool) -> None:
        self.pool = pool
        self.address = pool.address  # where it connects to; the endpoint may have moved or restarted since
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0  # seconds of the loop's clock
        self.idle_time: float | None = None  # seconds before the current attempt, until a byte comes
        self.unwritten = False  # part of the request has not left this process
        self.failed_locally = False  # it came up, but this system could not use it
        self._closed = False
        self._reader = resp.Reader(RESPONSE_ITEMS, responses=True)
        self._poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport. With a limit of 0, it calls pause_writing for any byte that is not written."""
        transport = cast(asyncio.Transport, transport)
        transport.set_write_buffer_limits(high=0)
        self.transport = transport
        try:
            self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        except OSError:  # the loop asks for the socket's address, which the system fails to tell for a moment
            self.failed_locally = True
            self.close()
        if self._closed:  # abandoned while it connected
            self.close()

    def is_open(self) -> bool:
        """Return whether it can be written to.

        A transport that is closing, as the other end has closed it, would drop what is written, although
        connection_lost has not been called yet.
        """
        return self.transport is not None and not self.transport.is_closing()

    def is_clean(self) -> bool:
        """Return whether it is open with nothing unread on it, also no close.

        Unread bytes belong to the last response: the next attempt would be served them.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and poll_now(self._poll) == []

    def send(self, attempt: Attempt, command: bytes) -> None:
        """Send an attempt's command."""
        assert self.transport is not None
        self.attempt = attempt
        self.transport.write(command)

    def pause_writing(self) -> None:
        """Note that bytes wait in this process."""
        self.unwritten = True

    def resume_writing(self) -> None:
        """Note that all bytes have left this process."""
        self.unwritten = False

    def data_received(self, data: bytes) -> None:
        """Take a response or a part of one; anything else closes the connection."""
        attempt, pool = self.attempt, self.pool
        pool.abandoned_in_row = 0
        if self.idle_time is not None:
            pool.upstream.idle_resets.record(self.idle_time, False)
            self.idle_time = None
        message: list[bytes | None] | bytes | None
        try:
            self._reader.feed(data)
            message = self._reader.next()
        except resp.ProtocolError:
            message = MALFORMED
        if message is None and attempt is not None:
            return
        # It is reused only after a response that the protocol knows, with nothing behind it.
        reusable = attempt is not None and self._reader.at_message_boundary() and not self.unwritten
        self.attempt = None
        if attempt is not None and message is not None:
            response = pool.upstream.decoder.decode(message)
            reusable &= response.known
            pool.upstream.end(
                attempt, response.result, response.value, response.load_report, response.actual_units
            )
        if reusable and self.transport is not None:
            pool.release(self)
        else:
            self.close()

    def close(self) -> None:
        """Close at once; what was not written yet is dropped."""
        self._closed = True
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        self.pool.remove(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """End the attempt. Nothing was executed only if the last byte of its command was still here."""
        self.transport = None
        self.pool.remove(self)
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        if self.idle_time is not None:
            self.pool.upstream.idle_resets.record(self.idle_time, True)
            self.idle_time = None
        self.pool.upstream.end(attempt, Result.CONNECT_FAILED if self.unwritten else Result.RESET)
