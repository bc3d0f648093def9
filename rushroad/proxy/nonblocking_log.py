"""Log lines on standard error, written without ever blocking the event loop."""

from __future__ import annotations

import asyncio
import os
import select
import time
from typing import Any

STDERR_FD = 2  # file descriptor
MAX_LINES_PER_SECOND = 20  # a peer that sends only malformed data must not fill the log
MAX_LINE_BYTES = 4_000  # with its end; a pipe that polls as writable takes PIPE_BUF bytes (4,096) at once
REPORT_INTERVAL_S = 1.0  # seconds between attempts to report how many lines were dropped
PREFIX = "rushroad: "


class NonBlockingLog:
    """Writes a line only where that can be done at once; other lines are dropped and counted.

    Lines over MAX_LINES_PER_SECOND are left out and counted, too. Both counts are written as separate lines.
    The descriptor is polled for room and not made non-blocking, as other processes may share it.
    """

    def __init__(self) -> None:
        self._current_second, self._lines_in_second = 0, 0
        self._dropped = 0  # lines that could not be written and are not reported yet
        self._report_scheduled = False
        self._poll = select.poll()
        self._poll.register(STDERR_FD, select.POLLOUT)

    def __call__(self, message: str) -> None:
        """Write a line, unless the limit per second is reached or standard error has no room."""
        second = int(time.monotonic())
        if second != self._current_second:
            suppressed = self._lines_in_second - MAX_LINES_PER_SECOND
            self._current_second, self._lines_in_second = second, 0
            if suppressed > 0:
                self._write_or_drop(
                    f"{suppressed} more log lines left out: over the limit of {MAX_LINES_PER_SECOND} a second"
                )
        self._lines_in_second += 1
        if self._lines_in_second <= MAX_LINES_PER_SECOND:
            self._write_or_drop(message)

    def _write_or_drop(self, message: str) -> None:
        if not (self._report_dropped() and self._write(message)):
            self._dropped += 1
            self._schedule_report()

    def _report_dropped(self) -> bool:
        """Write how many lines were dropped; False where not even that can be written."""
        if self._dropped and self._write(
            f"{self._dropped} log lines dropped: standard error could not be written"
        ):
            self._dropped = 0
        return not self._dropped

    def _write(self, message: str) -> bool:
        line = f"{PREFIX}{message}".encode(errors="replace")
        if len(line) >= MAX_LINE_BYTES:
            start = f"{PREFIX}...".encode()
            # The end of a traceback names the error.
            line = start + line[len(start) + 1 - MAX_LINE_BYTES :]
        try:
            ready = self._poll.poll(0)
            if not ready or not ready[0][1] & select.POLLOUT:
                return False
            os.write(STDERR_FD, line + b"\n")
        except OSError:  # a full device, or a reader that has closed the pipe
            return False
        return True

    def _schedule_report(self) -> None:
        """Report the dropped lines later, also where no further line follows."""
        if self._report_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:  # before the loop runs, or after its end
            return
        self._report_scheduled = True
        loop.call_later(REPORT_INTERVAL_S, self._report_later)

    def _report_later(self) -> None:
        self._report_scheduled = False
        if not self._report_dropped():
            self._schedule_report()

    def handle_loop_exception(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error that the event loop reports; the loop's own handler would block on a full pipe."""
        message, error = context.get("message"), context.get("exception")
        self(f"event loop error, continuing: {message}" + (f": {error!r}" if error is not None else ""))


log = NonBlockingLog()
