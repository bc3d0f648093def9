"""Worker processes of the bench: commands on their standard input, replies on their standard output."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from types import TracebackType
from typing import TypeVar

import msgspec

from rushroad.bench.commands import Command, Reply

REPOSITORY_ROOT = Path(__file__).parent.parent.parent
MAX_LINE_BYTES = 1 << 24
EXIT_TIMEOUT_S = 5.0  # from closing a worker's input to SIGKILL

CommandT = TypeVar("CommandT", bound=Command)
ReplyT = TypeVar("ReplyT", bound=Reply)
Respond = Callable[[Reply], None]


async def serve_commands(
    decoder: msgspec.json.Decoder[CommandT],
) -> AsyncIterator[tuple[CommandT, Respond]]:
    """Yield each command from standard input with a function that sends its reply, until the input is closed.

    Raises msgspec.DecodeError if a line is not one of the decoder's commands.
    """
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield decoder.decode(line), _respond


def _respond(reply: Reply) -> None:
    print(msgspec.json.encode(reply).decode(), flush=True)


class Worker:
    """A worker process, started as `python -m MODULE`.

    It exits when its input is closed, and therefore also when the bench is killed. It runs in a session of
    its own, so that Ctrl-C reaches only the bench, which then stops its workers.
    """

    def __init__(self, module: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            cwd=REPOSITORY_ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
        )

    def call(self, command: Command, reply_type: type[ReplyT]) -> ReplyT:
        """Send a command and wait for its reply; raises RuntimeError if the process has exited."""
        self.send(command)
        return self.receive(reply_type)

    def send(self, command: Command) -> None:
        """Send a command."""
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")
        self.process.stdin.flush()

    def receive(self, reply_type: type[ReplyT]) -> ReplyT:
        """Wait for the reply to the oldest command; raises RuntimeError if the process has exited."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.process.args!r} exited with status {self.process.wait()}")
        return msgspec.json.decode(line, type=reply_type)

    def __enter__(self) -> Worker:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self.process.stdin is not None and self.process.stdout is not None
        with contextlib.suppress(BrokenPipeError):
            self.process.stdin.close()
        try:
            self.process.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()
