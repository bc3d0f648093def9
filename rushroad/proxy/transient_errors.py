"""Errors of system calls that pass by themselves, and what to do while they last."""

from __future__ import annotations

import asyncio
import errno
import select
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

RESOURCES = frozenset({errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
ADDRESSES = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENETDOWN})
FILES = frozenset({errno.EBUSY, errno.EIO, errno.ESTALE, errno.ETIMEDOUT})
PASSING = RESOURCES | ADDRESSES | FILES
START_PATIENCE = 20.0  # seconds that a start tries what fails so; it has to be ready within 30
AGAIN = 0.05  # seconds between tries
POLLS = 3  # tries of a look at descriptors
T = TypeVar("T")


async def persist(
    action: Callable[[], Awaitable[T]],
    patience: float = START_PATIENCE,
    passing: frozenset[int] = PASSING,
) -> T:
    """The action's result; where it fails with an error that passes, tried again for `patience` seconds.

    Raises the action's last OSError after that, and any other error at once.
    """
    last = time.monotonic() + patience
    while True:
        try:
            return await action()
        except OSError as error:
            if error.errno not in passing or time.monotonic() > last:
                raise
        await asyncio.sleep(AGAIN)


def readable(descriptor: int) -> bool:
    """Whether anything waits to be read there; true where the system does not tell."""
    wanted = select.poll()
    wanted.register(descriptor, select.POLLIN)
    return look(wanted) != []


def look(descriptors: select.poll) -> list[tuple[int, int]] | None:
    """What is ready now among these; None where the system does not tell."""
    for _ in range(POLLS):
        try:
            return descriptors.poll(0)
        except OSError:  # no memory for a moment
            continue
    return None
