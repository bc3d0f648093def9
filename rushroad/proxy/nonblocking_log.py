"""Lines for the operators, on standard error; never at the cost of a request."""

from __future__ import annotations

import asyncio
import os
import select
import time
from typing import Any

STANDARD_ERROR = 2
MOST = 20  # lines in a second: a peer that sends only what can't be read must not fill the log
MOST_BYTES = 4_000  # of a line with its end; a pipe with room takes so many at once (PIPE_BUF is 4,096)
TELL_AGAIN = 1.0  # seconds between tries to say how many lines were dropped


class _Log:
    """Writes a line only where it can be written at once; the others are dropped and counted.

    The descriptor is asked whether it has room, and not made non-blocking: others may share it.
    """

    def __init__(self) -> None:
        self._second, self._said = 0, 0
        self._dropped = 0  # as nobody read them
        self._telling = False
        self._room = select.poll()
        self._room.register(STANDARD_ERROR, select.POLLOUT)

    def __call__(self, text: str) -> None:
        """Say it, unless too much has been said or nobody reads."""
        now = int(time.monotonic())
        if now != self._second:
            left_out = self._said - MOST
            self._second, self._said = now, 0
            if left_out > 0:
                self._line(f"{left_out} more lines left out")
        self._said += 1
        if self._said <= MOST:
            self._line(text)

    def _line(self, text: str) -> None:
        if not (self._tell_dropped() and self._write(text)):
            self._dropped += 1
            self._tell_later()

    def _tell_dropped(self) -> bool:
        """Say first how many lines were dropped before this one; false where not even that can be written."""
        if self._dropped and self._write(f"{self._dropped} lines dropped, as they could not be written"):
            self._dropped = 0
        return not self._dropped

    def _write(self, text: str) -> bool:
        data = f"rushroad: {text}".encode(errors="replace")
        if len(data) >= MOST_BYTES:
            data = b"rushroad: ..." + data[16 - MOST_BYTES :]  # the end of a traceback tells most
        try:
            ready = self._room.poll(0)
            if not ready or not ready[0][1] & select.POLLOUT:
                return False
            os.write(STANDARD_ERROR, data + b"\n")
        except OSError:  # a full device, a reader that has gone
            return False
        return True

    def _tell_later(self) -> None:
        """Say how many were dropped also where no further line follows."""
        if self._telling:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:  # before the loop runs, or behind it
            return
        self._telling = True
        loop.call_later(TELL_AGAIN, self._tell_again)

    def _tell_again(self) -> None:
        self._telling = False
        if not self._tell_dropped():
            self._tell_later()

    def exception(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What the event loop has to tell; its own handler writes with calls that block."""
        error = context.get("exception")
        self(f"{context.get('message')}: {error!r}" if error is not None else str(context.get("message")))


log = _Log()
