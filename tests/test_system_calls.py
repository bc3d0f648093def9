"""System calls that fail for a moment, at the start and in service: each request still has its answer."""

import asyncio
from collections import Counter
from pathlib import Path

import pytest

from tests.faults import FOR_EVER, faults, rule
from tests.net import run
from tests.world import World, call

PATIENCE_MS = 2_000
CLIENTS, REQUESTS = 8, 10
CONFIG = "n0.json"
LOSS = b""  # a connection that ended without the answer that was owed on it


async def ask(world: World, number: int, answers: Counter[bytes]) -> None:
    """One client's requests, one after the other."""
    client = await world.connect()
    for request in range(number * REQUESTS, (number + 1) * REQUESTS):
        client.writer.write(call(request, PATIENCE_MS, customer=number))
        async with asyncio.timeout(PATIENCE_MS / 1e3 + 1.0):
            answer = await client.answer()
        answers[b"served" if answer == b"%016x" % request else answer] += 1
        if not answer:
            return


async def ask_all(world: World) -> Counter[bytes]:
    """All clients at once; how often each answer came."""
    answers: Counter[bytes] = Counter()
    await asyncio.gather(*(ask(world, number, answers) for number in range(CLIENTS)))
    return answers


NO_FILE = ("ENFILE", "EMFILE", "ENOMEM", "EIO", "EINTR")
START = [
    *[rule("socket", error, 4) for error in ("ENOBUFS", "ENOMEM", "ENFILE", "EMFILE")],
    *[rule("socket", "ENOBUFS", first) for first in (1, 2, 3)],
    *[rule("bind", error, 1) for error in ("EADDRNOTAVAIL", "EADDRINUSE", "ENOBUFS", "ENOMEM")],
    rule("bind", "EADDRINUSE", 1, 20),
    *[rule("listen", error, first) for error in ("ENOBUFS", "EADDRINUSE") for first in (1, 2)],
    *[rule("open", error, first) for error in NO_FILE for first in (1, 2)],
    *[rule("setsockopt", "ENOBUFS", first) for first in (1, 2, 3, 4, 5)],
    *[rule("getsockname", "ENOBUFS", first) for first in (1, 2)],
    *[rule("epoll_ctl", "ENOMEM", first) for first in (1, 2, 3, 4)],
    rule("epoll_wait", "EINTR", 1, FOR_EVER, 2),
]  # fmt: skip


@pytest.mark.parametrize("fault", START)
def test_a_call_that_fails_for_a_moment_at_the_start_does_not_end_the_process(
    tmp_path: Path, fault: str
) -> None:
    async def scenario() -> None:
        async with World(tmp_path, servers=2, faults={0: faults(fault, file=CONFIG)}) as world:
            world.start()
            await world.ready()
            client = await world.connect()
            client.writer.write(call(1, PATIENCE_MS))
            assert await client.answer() == b"%016x" % 1
            assert await world.stop() == 0

    run(scenario)
