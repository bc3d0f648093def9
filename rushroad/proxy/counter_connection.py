"""One connection to the counter service: pipelined calls, and their replies in the same order.

The words of the counter's protocol stand only here.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING, cast

from rushroad.policy.events import Result

if TYPE_CHECKING:
    from rushroad.proxy.counter_client import CounterClient

IDLE_PING_AFTER_S = 2.0  # seconds without a byte; the counter closes connections that are idle for 10 s
UNRESPONSIVE_AFTER_S = 1.0  # seconds without a reply to the oldest call: longer than any queue of the counter
MAX_REPLY_BYTES = 256  # of a reply

PING, PING_REPLY = b"ping\r\n", b"pong"
TOTAL, REJECTIONS = b"ok", (b"busy", b"error")


class InvalidReplyError(ValueError):
    """The counter sent a line that is no reply to its call. What follows can't be matched to calls."""


def encode_add(name: int, amount: float, lifetime: int) -> bytes:
    """Encode a call that adds to a total; lifetime: microseconds, rounded up to whole milliseconds."""
    return b"bump %x %.6f %d\r\n" % (name, amount, max(1, math.ceil(lifetime / 1_000)))


def decode_total(line: bytes) -> float | None:
    """Return the total in a reply, or None where the counter rejected the call.

    Raises InvalidReplyError for any other line.
    """
    word, _, rest = line.partition(b" ")
    if word == TOTAL:
        try:
            total = float(rest)
        except ValueError:
            total = math.nan
        if math.isfinite(total):
            return total
    elif word in REJECTIONS:
        return None
    raise InvalidReplyError(f"expected a finite total or a rejection, got {line[:80]!r}")


class CounterCall:
    """A call to the counter. It waits for its reply also after it has timed out: replies come in order."""

    __slots__ = ("amount", "command", "ended", "name", "started_at", "timer")

    def __init__(self, name: int | None, amount: float, command: bytes, started_at: float) -> None:
        self.name = name  # of the total; None for a ping
        self.amount, self.command = amount, command
        self.started_at = started_at  # seconds of the loop's clock
        self.ended = name is None  # its outcome has been reported; a ping has none
        self.timer: asyncio.TimerHandle | None = None  # ends it as TIMEOUT; None before it is sent


class CounterConnection(asyncio.Protocol):
    """A connection to the counter, and the calls on it that have no reply yet."""

    def __init__(self, client: CounterClient) -> None:
        self.calls: deque[CounterCall] = deque()  # without a reply, the oldest first
        self.has_replied = False
        self.is_retired = False  # another connection replaces it: it takes no new calls
        self.lost = asyncio.Event()
        self._client = client
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._unwritten = False  # part of the last call has not left this process
        self._last_received_at = 0.0  # seconds of the loop's clock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport. With a limit of 0, it calls pause_writing for any byte that is not written."""
        transport = cast(asyncio.Transport, transport)
        transport.set_write_buffer_limits(high=0)
        self._transport = transport
        self._last_received_at = self._client.loop.time()

    def pause_writing(self) -> None:
        """Note that bytes wait in this process."""
        self._unwritten = True

    def resume_writing(self) -> None:
        """Note that all bytes have left this process."""
        self._unwritten = False

    def is_usable(self) -> bool:
        """Return whether it takes new calls.

        A transport that is closing, as the other end has closed it, would drop what is written, although
        connection_lost has not been called yet.
        """
        return self._transport is not None and not self._transport.is_closing() and not self.is_retired

    def is_dead(self, now: float) -> bool:
        """Return whether its oldest call has waited too long; now: seconds of the loop's clock."""
        return bool(self.calls) and now - self.calls[0].started_at > UNRESPONSIVE_AFTER_S

    def needs_ping(self, now: float) -> bool:
        """Return whether it must be kept from timing out as idle; now: seconds of the loop's clock."""
        return not self.calls and now - self._last_received_at > IDLE_PING_AFTER_S and self.is_usable()

    def retire(self) -> None:
        """Take no new calls, and close once the calls without a reply have one, or had the time for it."""
        self.is_retired = True
        self._client.loop.call_later(UNRESPONSIVE_AFTER_S if self.calls else 0, self.close)

    def send(self, call: CounterCall) -> None:
        """Send a call."""
        assert self._transport is not None
        self.calls.append(call)
        self._transport.write(call.command)

    def ping(self, now: float) -> None:
        """Send a ping; now: seconds of the loop's clock."""
        self.send(CounterCall(None, 0.0, PING, now))

    def data_received(self, data: bytes) -> None:
        """Match replies to calls, in order; a line that is no reply closes the connection."""
        self._last_received_at = self._client.loop.time()
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        for line in lines:
            if not self.calls:
                self.close()
                return
            try:
                self._client.reply_received(self.calls.popleft(), line, self.is_retired)
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
        """End the calls: all may have been added, but for the last one where part of it was still here."""
        self._transport = None
        self.lost.set()
        if self._unwritten and self.calls:
            self._client.end(self.calls.pop(), Result.CONNECT_FAILED)
        for call in self.calls:
            self._client.end(call, Result.RESET)
