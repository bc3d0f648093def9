"""Orders from the bench to its processes, and their answers: JSON, one a line, over pipes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from types import TracebackType
from typing import Any

ROOT = Path(__file__).parent.parent.parent
MOST_LINE = 1 << 24  # bytes
END_S = 5.0  # seconds that a process may take to end when its input has ended; then it is killed
Answer = Callable[[dict[str, Any]], None]


async def serve_orders() -> AsyncIterator[tuple[dict[str, Any], Answer]]:
    """Each order from standard input with the way to answer it, until the input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(MOST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield json.loads(line), _answer


def _answer(data: dict[str, Any]) -> None:
    print(json.dumps(data), flush=True)


class Worker:
    """One of the bench's own processes, `python -m MODULE`.

    It ends when its input does, so also when the bench is killed. In a session of its own: Ctrl-C goes to the
    bench alone, which ends it.
    """

    def __init__(self, module: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
            text=True,
        )

    def order(self, data: dict[str, Any]) -> dict[str, Any]:
        """Give an order and wait for its answer. RuntimeError where the process has ended."""
        self.begin(data)
        return self.answer()

    def begin(self, data: dict[str, Any]) -> None:
        """Give an order."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(data) + "\n")
        self.process.stdin.flush()

    def answer(self) -> dict[str, Any]:
        """Wait for the answer to the oldest order."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.process.args!r} has ended with {self.process.wait()}")
        answer: dict[str, Any] = json.loads(line)
        return answer

    def __enter__(self) -> Worker:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        assert self.process.stdin is not None and self.process.stdout is not None
        with contextlib.suppress(BrokenPipeError):
            self.process.stdin.close()
        try:
            self.process.wait(END_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()
