"""A log on standard error that never blocks the event loop."""

from __future__ import annotations

import asyncio
import os
import select
import time
from typing import Any

STDERR_FD = 2
MAX_LINES_PER_SECOND = 20  # so that a peer that sends malformed data cannot flood the log
MAX_LINE_BYTES = 4_000  # with the newline; a pipe polled as writable accepts PIPE_BUF (4,096) bytes at once
REPORT_INTERVAL_S = 1.0  # between attempts to report how many lines were dropped
PREFIX = "rushroad: "


class NonBlockingLog:
    """Writes lines that can be written without blocking; other lines are dropped and counted.

    Lines above MAX_LINES_PER_SECOND are suppressed and counted, too. Each count is written as a separate
    line. The descriptor is polled instead of being made non-blocking, as other processes may share it.
    """

    def __init__(self) -> None:
        self._current_second, self._lines_in_second = 0, 0
        self._dropped = 0  # dropped lines that have not been reported yet
        self._report_scheduled = False
        self._poller = select.poll()
        self._poller.register(STDERR_FD, select.POLLOUT)

    def __call__(self, message: str) -> None:
        """Write a line, unless the limit per second is reached or writing would block."""
        second = int(time.monotonic())
        if second != self._current_second:
            suppressed = self._lines_in_second - MAX_LINES_PER_SECOND
            self._current_second, self._lines_in_second = second, 0
            if suppressed > 0:
                self._write_or_drop(
                    f"{suppressed} log lines suppressed: over the limit of {MAX_LINES_PER_SECOND} per second"
                )
        self._lines_in_second += 1
        if self._lines_in_second <= MAX_LINES_PER_SECOND:
            self._write_or_drop(message)

    def _write_or_drop(self, message: str) -> None:
        if not (self._report_dropped() and self._write(message)):
            self._dropped += 1
            self._schedule_report()

    def _report_dropped(self) -> bool:
        """Write the number of dropped lines, if any; return False if that cannot be written either."""
        if self._dropped and self._write(
            f"{self._dropped} log lines dropped: standard error could not be written"
        ):
            self._dropped = 0
        return not self._dropped

    def _write(self, message: str) -> bool:
        line = f"{PREFIX}{message}".encode(errors="replace")
        if len(line) >= MAX_LINE_BYTES:
            start = f"{PREFIX}...".encode()
            # The end is kept, as the last line of a traceback names the error.
            line = start + line[len(start) + 1 - MAX_LINE_BYTES :]
        try:
            ready = self._poller.poll(0)
            if not ready or not ready[0][1] & select.POLLOUT:
                return False
            os.write(STDERR_FD, line + b"\n")
        except OSError:  # device full, or pipe closed by its reader
            return False
        return True

    def _schedule_report(self) -> None:
        """Schedule a report of the dropped lines, in case no further line is logged."""
        if self._report_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:  # the loop is not running
            return
        self._report_scheduled = True
        loop.call_later(REPORT_INTERVAL_S, self._report_later)

    def _report_later(self) -> None:
        self._report_scheduled = False
        if not self._report_dropped():
            self._schedule_report()

    def handle_loop_exception(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error reported by the event loop, whose default handler would block on a full pipe."""
        message, error = context.get("message"), context.get("exception")
        self(f"event loop error, continuing: {message}" + (f": {error!r}" if error is not None else ""))


log = NonBlockingLog()
