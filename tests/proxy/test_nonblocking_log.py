"""The log on a pipe: rate limit, counts of suppressed and dropped lines, truncation of long lines."""

import asyncio
import os
from collections.abc import Iterator
from typing import Any

import pytest

from rushroad.proxy import nonblocking_log
from rushroad.proxy.nonblocking_log import MAX_LINE_BYTES, MAX_LINES_PER_SECOND, NonBlockingLog
from tests.support.loopback import run


class LogPipe:
    """A log that writes to a pipe, and the read end of the pipe."""

    def __init__(self, reader: int) -> None:
        self.log, self._reader = NonBlockingLog(), reader

    def read_lines(self) -> list[str]:
        """Return the lines written since the last call."""
        try:
            return os.read(self._reader, 1 << 20).decode().splitlines()
        except BlockingIOError:
            return []

    def fill(self) -> int:
        """Write lines until the pipe is full; return how many were written."""
        count = 0
        while not self.log._dropped:
            self.log._write_or_drop("filling " + "x" * 2_000)
            count += 1
        return count - 1


@pytest.fixture
def log_pipe(monkeypatch: pytest.MonkeyPatch) -> Iterator[LogPipe]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    monkeypatch.setattr(nonblocking_log, "STDERR_FD", writer)
    yield LogPipe(reader)
    os.close(reader)
    os.close(writer)


def test_lines_over_the_limit_per_second_are_suppressed_and_counted(
    log_pipe: LogPipe, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 100.0
    monkeypatch.setattr("rushroad.proxy.nonblocking_log.time.monotonic", lambda: now)
    for number in range(MAX_LINES_PER_SECOND + 3):
        log_pipe.log(f"line {number}")
    assert log_pipe.read_lines() == [f"rushroad: line {n}" for n in range(MAX_LINES_PER_SECOND)]
    now = 101.0
    log_pipe.log("next")
    suppressed = f"rushroad: 3 log lines suppressed: over the limit of {MAX_LINES_PER_SECOND} per second"
    assert log_pipe.read_lines() == [suppressed, "rushroad: next"]


def test_lines_are_dropped_while_the_pipe_is_full_and_counted_before_the_next(log_pipe: LogPipe) -> None:
    written = log_pipe.fill()
    log_pipe.log("dropped")
    assert len(log_pipe.read_lines()) == written
    log_pipe.log("next")
    dropped = "rushroad: 2 log lines dropped: standard error could not be written"
    assert log_pipe.read_lines() == [dropped, "rushroad: next"]


def test_dropped_lines_are_reported_even_if_no_line_follows(
    log_pipe: LogPipe, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        log_pipe.fill()
        log_pipe.read_lines()
        while not (lines := log_pipe.read_lines()):
            await asyncio.sleep(0.001)
        assert lines == ["rushroad: 1 log lines dropped: standard error could not be written"]

    monkeypatch.setattr(nonblocking_log, "REPORT_INTERVAL_S", 0.01)
    run(scenario)


def test_long_line_keeps_its_end(log_pipe: LogPipe) -> None:
    log_pipe.log("x" * MAX_LINE_BYTES + " the error")
    (line,) = log_pipe.read_lines()
    assert len(line) + 1 == MAX_LINE_BYTES
    assert line.startswith("rushroad: ...x")
    assert line.endswith("x the error")


@pytest.mark.parametrize(
    ("context", "line"),
    [
        (
            {"message": "a task failed", "exception": ValueError("why")},
            "rushroad: event loop error, continuing: a task failed: ValueError('why')",
        ),
        ({"message": "a socket failed"}, "rushroad: event loop error, continuing: a socket failed"),
    ],
)
def test_event_loop_error_is_logged(log_pipe: LogPipe, context: dict[str, Any], line: str) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(log_pipe.log.handle_loop_exception)
        loop.call_exception_handler(context)

    run(scenario)
    assert log_pipe.read_lines() == [line]
