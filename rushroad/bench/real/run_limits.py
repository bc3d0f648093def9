"""The bounds of a run on real gateways: time, and memory of all its processes together."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator

import psutil

MAX_MEMORY_BYTES = 12 * 10**9  # of all processes of a run together


class RunLimitExceededError(RuntimeError):
    """The run would take more of the machine, or more time, than it may."""


@contextlib.contextmanager
def time_limit(seconds: float) -> Iterator[None]:
    """End what runs inside with RunLimitExceededError after so many seconds, wherever it waits."""

    def on_alarm(*_: object) -> None:
        raise RunLimitExceededError(f"the run took longer than {seconds:g} s")

    before = signal.signal(signal.SIGALRM, on_alarm)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)


@contextlib.contextmanager
def sigterm_as_exit() -> Iterator[None]:
    """SIGTERM ends what runs inside as Ctrl-C does: by leaving its blocks, which end all processes."""

    def on_sigterm(*_: object) -> None:
        raise SystemExit(128 + signal.SIGTERM)

    before = signal.signal(signal.SIGTERM, on_sigterm)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, before)


def check_memory() -> None:
    """Raise RunLimitExceededError where the bench and all its processes hold too much memory."""
    bench = psutil.Process()
    resident = 0
    for process in (bench, *bench.children(recursive=True)):
        with contextlib.suppress(psutil.NoSuchProcess):
            resident += process.memory_info().rss
    if resident > MAX_MEMORY_BYTES:
        raise RunLimitExceededError(
            f"the run holds {resident / 1e9:.1f} GB, more than {MAX_MEMORY_BYTES / 1e9:g} GB"
        )
