"""Errors of system calls that go away by themselves, and calls that are tried again while they last."""

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
START_RETRY_TIME_S = 20.0  # seconds for which a start retries; the gateway has to be ready within 30
RETRY_INTERVAL_S = 0.05  # seconds between attempts
MAX_POLL_ATTEMPTS = 3
T = TypeVar("T")


async def retry_transient(
    operation: Callable[[], Awaitable[T]],
    retry_time: float = START_RETRY_TIME_S,
    retried_errors: frozenset[int] = TRANSIENT_ERRORS,
) -> T:
    """Return the action's result, retrying for `retry_time` seconds where it fails with one of these errors.

    Raises the action's last OSError after that time, and any other error at once.
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
    """Whether data or an end of stream waits on a descriptor; True where the system can't tell."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return poll_now(poll) != []


def poll_now(poll: select.poll) -> list[tuple[int, int]] | None:
    """Return the descriptors that are ready now and their events; None where the system can't tell."""
    for _ in range(MAX_POLL_ATTEMPTS):
        try:
            return poll.poll(0)
        except OSError:  # out of memory for a moment
            continue
    return None
