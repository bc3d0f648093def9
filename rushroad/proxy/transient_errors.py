"""Transient errors of system calls and helpers that retry on them."""

from __future__ import annotations

import asyncio
import errno
import select
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

RESOURCE_ERRORS = frozenset({errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
ADDRESS_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENETDOWN})
FILE_ERRORS = frozenset({errno.EBUSY, errno.EIO, errno.ESTALE, errno.ETIMEDOUT})
TRANSIENT_ERRORS = RESOURCE_ERRORS | ADDRESS_ERRORS | FILE_ERRORS
START_RETRY_TIME_S = 20.0  # the gateway has to be ready within 30 s of its start
RETRY_INTERVAL_S = 0.05
MAX_POLL_ATTEMPTS = 3
T = TypeVar("T")


async def retry_transient(
    operation: Callable[[], Awaitable[T]],
    retry_time: float = START_RETRY_TIME_S,
    retried_errors: frozenset[int] = TRANSIENT_ERRORS,
) -> T:
    """Return the result of `operation`, retrying on `retried_errors` for up to `retry_time` seconds.

    After that time, raises the last OSError; any other error is raised immediately.
    """
    retry_until = time.monotonic() + retry_time
    while True:
        try:
            return await operation()
        except OSError as error:
            if error.errno not in retried_errors or time.monotonic() > retry_until:
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)


def is_readable(descriptor: int) -> bool:
    """Return whether unread data or an end of stream is available; True if polling fails."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return poll_now(poller) != []


def poll_now(poller: select.poll) -> list[tuple[int, int]] | None:
    """Poll without waiting; return the ready descriptors with their events, or None if polling fails."""
    for _ in range(MAX_POLL_ATTEMPTS):
        try:
            return poller.poll(0)
        except OSError:  # temporarily out of memory
            continue
    return None
