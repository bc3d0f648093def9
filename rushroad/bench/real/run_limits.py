"""Limits of a run on real gateways: its time, and the memory of all its processes together."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator

import psutil

MAX_MEMORY_BYTES = 12 * 10**9  # resident, of all processes of a run together


class RunLimitExceededError(RuntimeError):
    """The run exceeds a limit on processes, memory or time."""


@contextlib.contextmanager
def time_limit(seconds: float) -> Iterator[None]:
    """Raise RunLimitExceededError in the block after this time, even if it is blocked in a call."""

    def on_alarm(*_: object) -> None:
        raise RunLimitExceededError(f"run exceeded its time limit of {seconds:g} s")

    previous_handler = signal.signal(signal.SIGALRM, on_alarm)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)


@contextlib.contextmanager
def sigterm_as_exit() -> Iterator[None]:
    """Raise SystemExit on SIGTERM, so that context managers in the block stop all processes, as on Ctrl-C."""

    def on_sigterm(*_: object) -> None:
        raise SystemExit(128 + signal.SIGTERM)

    previous_handler = signal.signal(signal.SIGTERM, on_sigterm)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, previous_handler)


def check_memory() -> None:
    """Raise RunLimitExceededError if the bench and its child processes use too much memory."""
    bench = psutil.Process()
    resident = 0
    for process in (bench, *bench.children(recursive=True)):
        with contextlib.suppress(psutil.NoSuchProcess):
            resident += process.memory_info().rss
    if resident > MAX_MEMORY_BYTES:
        raise RunLimitExceededError(
            f"run uses {resident / 1e9:.1f} GB of memory, above its limit of {MAX_MEMORY_BYTES / 1e9:g} GB"
        )
