"""The time that an attempt tells its rate server, of requests that have waited unread."""

import asyncio
import signal
from pathlib import Path

import pytest

from rushroad.proxy.arrival_times import DRAIN, LARGE, Arrivals
from tests.support.gateway_cluster import World, call
from tests.support.loopback import resp, run

SLACK = 0.15  # seconds by which the time told may go beyond what the client has left
LATE = 0.05  # seconds after its time in which an answer still counts
PATIENCE_MS = 1_500
FEW = 200  # commands that any machine takes at once
HELD = 0.6  # seconds


@pytest.mark.parametrize(("commands", "work"), [(200, 0.4), (200, 0.1), (3_000, 0.02)])
def test_of_many_commands_at_once_none_is_told_more_time_than_its_client_has(
    tmp_path: Path, commands: int, work: float
) -> None:
    async def scenario() -> None:
        async with World(tmp_path, work=work) as world:
            world.start()
            await world.ready()
            client, loop = await world.connect(), asyncio.get_running_loop()
            numbers = range(commands)
            client.writer.write(b"".join(call(number, PATIENCE_MS, tenant=number) for number in numbers))
            sent = loop.time()
            answered = []
            for _ in numbers:
                assert await client.answer()
                answered.append(loop.time() - sent)
            attempts = world.attempts()
            assert len(attempts) > 40, len(attempts)
            over = [a.at + a.told / 1e3 - sent - PATIENCE_MS / 1e3 for a in attempts]
            assert max(over) <= SLACK + world.machine()
            if commands <= FEW:  # how fast a machine takes thousands is no matter of the clause
                assert max(answered) <= PATIENCE_MS / 1e3 + LATE + world.machine()

    run(scenario)


def test_what_is_read_after_a_pause_counts_from_its_beginning() -> None:
    arrivals = Arrivals()
    arrivals.came(10, 1.0)
    arrivals.paused(2.0)
    arrivals.resumed(waiting=True)
    arrivals.came(10, 5.0)  # however late it is read
    arrivals.paused(5.01)  # the rest of it still waits
    arrivals.resumed(waiting=True)
    arrivals.came(LARGE, 6.0)
    arrivals.came(10, 6.0 + DRAIN)  # the system, or the other end, held more than was read at once
    arrivals.came(10, 6.1 + DRAIN)
    ends = [10, 20, 20 + LARGE, 30 + LARGE, 40 + LARGE]
    assert [arrivals.of(end) for end in ends] == [1.0, 2.0, 2.0, 2.0, 6.1 + DRAIN]


def test_what_comes_after_a_pause_in_which_nothing_came_is_new() -> None:
    arrivals = Arrivals()
    arrivals.paused(2.0)
    arrivals.resumed(waiting=False)
    arrivals.came(10, 5.0)
    assert arrivals.of(10) == 5.0


def test_one_that_sends_byte_by_byte_fills_no_memory() -> None:
    arrivals = Arrivals()
    for number in range(10_000):
        arrivals.came(1, number * 1e-4)
    assert len(arrivals._marks) <= 201
    assert arrivals.of(10_000) <= 1.0


@pytest.mark.parametrize("fresh", [False, True])
def test_what_came_while_the_process_was_held_up_has_waited_that_long(tmp_path: Path, fresh: bool) -> None:
    async def scenario() -> None:
        async with World(tmp_path, servers=2) as world:
            process, loop = world.start(), asyncio.get_running_loop()
            await world.ready()
            client = await world.connect()
            client.writer.write(resp(b"PING"))
            assert await client.answer() == b"+PONG"
            process.send_signal(signal.SIGSTOP)
            client = await world.connect() if fresh else client
            client.writer.write(call(1, PATIENCE_MS))
            sent = loop.time()
            await asyncio.sleep(HELD)  # the time itself is what is tried
            process.send_signal(signal.SIGCONT)
            assert await client.answer() == b"%016x" % 1
            (attempt,) = world.attempts()
            assert attempt.at + attempt.told / 1e3 - sent <= PATIENCE_MS / 1e3 + SLACK + world.machine()

    run(scenario)
