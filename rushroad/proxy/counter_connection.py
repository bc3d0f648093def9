"""A connection to the counter service: pipelined calls, with replies in the same order.

Only this module knows the counter's wire protocol. Times in seconds of the event loop's clock end in `_s`,
those in microseconds in `_us`.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING, cast

from rushroad.policy.events import Result

if TYPE_CHECKING:
    from rushroad.proxy.counter_client import CounterClient

IDLE_PING_AFTER_S = 2.0  # without received data; the counter closes connections that are idle for 10 s
UNRESPONSIVE_AFTER_S = (
    1.0  # without a reply to the oldest call, unless earlier connections got no reply either
)
MAX_REPLY_BYTES = 256

PING, PING_REPLY = b"ping\r\n", b"pong"
TOTAL_WORD, REJECTION_WORDS = b"ok", (b"busy", b"error")


class InvalidReplyError(ValueError):
    """The counter sent an invalid reply, so later lines can't be matched to calls."""


def encode_add(total_name: int, amount: float, lifetime_us: int) -> bytes:
    """Encode a call that adds to a total; the lifetime is rounded up to whole milliseconds."""
    return b"bump %x %.6f %d\r\n" % (total_name, amount, max(1, math.ceil(lifetime_us / 1_000)))


def decode_total(line: bytes) -> float | None:
    """Return the total in a reply, or None if the counter rejected the call.

    Raises InvalidReplyError for any other line.
    """
    word, _, rest = line.partition(b" ")
    if word == TOTAL_WORD:
        try:
            total = float(rest)
        except ValueError:
            total = math.nan
        if math.isfinite(total):
            return total
    elif word in REJECTION_WORDS:
        return None
    raise InvalidReplyError(f"expected a finite total or a rejection, got {line[:80]!r}")


class PipelinedCall:
    """A call to the counter. It stays queued after a timeout, as replies are matched to calls by order."""

    __slots__ = ("amount", "command", "finished", "started_at_s", "timer", "total_name")

    def __init__(self, total_name: int | None, amount: float, command: bytes, started_at_s: float) -> None:
        self.total_name = total_name  # None for a ping
        self.amount, self.command = amount, command
        self.started_at_s = started_at_s
        self.finished = total_name is None  # the outcome has been reported; a ping has none
        self.timer: asyncio.TimerHandle | None = None  # ends the call as TIMEOUT; None if it was not sent


class CounterConnection(asyncio.Protocol):
    """A connection to the counter, with its calls that have no reply yet."""

    def __init__(self, client: CounterClient, reply_timeout_s: float) -> None:
        """Create a connection that is unresponsive if a call has no reply after `reply_timeout_s`."""
        self.calls: deque[PipelinedCall] = deque()  # without a reply, oldest first
        self.has_replied = False
        self.is_retired = False  # replaced by another connection; takes no new calls
        self.lost = asyncio.Event()
        self._client, self._reply_timeout_s = client, reply_timeout_s
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._has_unwritten_data = False  # part of the last call is still in the transport's write buffer
        self._last_received_at_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; with a buffer limit of 0 it calls pause_writing whenever data is unwritten."""
        transport = cast(asyncio.Transport, transport)
        transport.set_write_buffer_limits(high=0)
        self._transport = transport
        self._last_received_at_s = self._client.loop.time()

    def pause_writing(self) -> None:
        """Record that the transport's write buffer is not empty."""
        self._has_unwritten_data = True

    def resume_writing(self) -> None:
        """Record that the transport's write buffer is empty."""
        self._has_unwritten_data = False

    def is_usable(self) -> bool:
        """Return whether the connection takes new calls.

        After the peer has closed the connection, the transport drops all writes even before it calls
        connection_lost.
        """
        return self._transport is not None and not self._transport.is_closing() and not self.is_retired

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether the oldest call has waited too long for its reply."""
        return bool(self.calls) and now_s - self.calls[0].started_at_s > self._reply_timeout_s

    def needs_ping(self, now_s: float) -> bool:
        """Return whether a ping is due to keep the counter from closing the connection as idle."""
        return not self.calls and now_s - self._last_received_at_s > IDLE_PING_AFTER_S and self.is_usable()

    def retire(self) -> None:
        """Take no new calls; close when all calls have their replies, or after UNRESPONSIVE_AFTER_S."""
        self.is_retired = True
        self._client.loop.call_later(UNRESPONSIVE_AFTER_S if self.calls else 0, self.close)

    def send(self, call: PipelinedCall) -> None:
        """Send a call."""
        assert self._transport is not None
        self.calls.append(call)
        self._transport.write(call.command)

    def ping(self, now_s: float) -> None:
        """Send a ping."""
        self.send(PipelinedCall(None, 0.0, PING, now_s))

    def data_received(self, data: bytes) -> None:
        """Match replies to calls, in order; an invalid reply closes the connection."""
        self._last_received_at_s = self._client.loop.time()
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        for line in lines:
            if not self.calls:
                self.close()
                return
            try:
                self._client.handle_reply(self.calls.popleft(), line, self.is_retired)
            except InvalidReplyError:
                self.close()
                return
            self.has_replied = True
        if len(self._buffer) > MAX_REPLY_BYTES or (self.is_retired and not self.calls):
            self.close()

    def close(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """End the calls; each may have been counted, except the last if part of it was still unwritten."""
        self._transport = None
        self.lost.set()
        if self._has_unwritten_data and self.calls:
            self._client.finish(self.calls.pop(), Result.CONNECT_FAILED)
        for call in self.calls:
            self._client.finish(call, Result.RESET)
