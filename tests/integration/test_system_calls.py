"""System calls that fail for a moment, at the start and in service: each request still has its answer."""

import asyncio
import signal
from collections import Counter
from pathlib import Path

import pytest

from tests.support.faults import FOR_EVER, faults, rule
from tests.support.gateway_cluster import Agent, World, call
from tests.support.loopback import run

PATIENCE_MS = 2_000
CLIENTS, REQUESTS = 8, 10
CONFIG = "n0.json"
MAKE_CONNECTIONS = ("connect", "socket", "setsockopt", "getsockname")  # calls that a new connection needs
SERVED_PART = 0.5
LOSS = b""  # a connection that ended without the answer that was owed on it


async def ask(world: World, number: int, answers: Counter[bytes]) -> None:
    """One client's requests, one after the other."""
    client = await world.connect()
    for request in range(number * REQUESTS, (number + 1) * REQUESTS):
        client.writer.write(call(request, PATIENCE_MS, tenant=number))
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
]


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


def test_what_stays_wrong_at_the_start_ends_it_with_one_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        fault = rule("bind", "EACCES", 1, FOR_EVER)
        async with World(tmp_path, servers=1, faults={0: faults(fault)}) as world:
            world.start()
            assert await world.ended() == 2
            assert world.log(0).count("\n") == 1
            assert world.log(0).startswith("rushroad: can't start: [Errno 13]")

    run(scenario)


# Calls of which one in three fails from when the gateway is ready, with errors that their pages name.
SERVICE = [
    *[
        ("accept", error)
        for error in (
            "ECONNABORTED",
            "EINTR",
            "EMFILE",
            "ENFILE",
            "ENOBUFS",
            "ENOMEM",
            "EPROTO",
            "EPERM",
            "ENETDOWN",
            "EHOSTUNREACH",
            "ETIMEDOUT",
            "ENETUNREACH",
            "EOPNOTSUPP",
        )
    ],
    *[("connect", error) for error in ("EADDRNOTAVAIL", "EINTR", "EAGAIN")],
    *[("socket", error) for error in ("ENOBUFS", "ENOMEM", "EMFILE", "ENFILE")],
    *[("read", error) for error in ("EINTR", "EAGAIN")],
    *[("write", error) for error in ("EINTR", "EAGAIN")],
    *[("poll", error) for error in ("EINTR", "ENOMEM")],
    ("epoll_wait", "EINTR"),
    ("epoll_ctl", "ENOMEM"),
    ("getsockname", "ENOBUFS"),
    ("setsockopt", "ENOBUFS"),
    ("shutdown", "ENOTCONN"),
    ("shutdown", "ENOBUFS"),
]


@pytest.mark.parametrize(("system_call", "error"), SERVICE)
def test_calls_that_fail_in_service_cost_no_request(tmp_path: Path, system_call: str, error: str) -> None:
    async def scenario() -> None:
        switch = tmp_path / "failing"
        fault = faults(rule(system_call, error, 1, FOR_EVER, 3), switch=switch)
        async with World(tmp_path, servers=3, faults={0: fault}) as world:
            world.start()
            await world.ready()
            switch.touch()
            answers = await ask_all(world)
            assert answers.total() == CLIENTS * REQUESTS
            assert not answers[LOSS], answers
            # A request may be refused where no connection to a rate server can be made for it.
            needed = 1.0 if system_call not in MAKE_CONNECTIONS else SERVED_PART
            assert answers[b"served"] >= needed * answers.total(), answers
            assert "run out" not in world.log(0)
            assert await world.stop() == 0

    run(scenario)


@pytest.mark.parametrize("error", ["ENFILE", "EMFILE", "ENOMEM", "EIO", "ENOENT", "EINTR"])
def test_a_new_configuration_that_cannot_be_opened_for_a_moment_is_read_then(
    tmp_path: Path, error: str
) -> None:
    async def scenario() -> None:
        switch = tmp_path / "failing"
        fault = faults(rule("open", error, 1, 3), file=CONFIG, switch=switch)
        async with World(tmp_path, servers=1, faults={0: fault}) as world:
            process = world.start()
            await world.ready()
            elsewhere = Agent(world.rate_servers)
            await elsewhere.listen()
            world.configure(0, discovery=elsewhere.address)
            switch.touch()
            process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(4.0):  # after SIGHUP, what discovery has counts as told
                await elsewhere.asked.wait()
            elsewhere.close()
            assert await world.stop() == 0

    run(scenario)


@pytest.mark.parametrize("error", ["ECONNABORTED", "EINTR", "EMFILE", "ENOBUFS", "EPROTO"])
def test_a_connection_that_waits_at_the_stop_is_taken_though_accept_fails(tmp_path: Path, error: str) -> None:
    # Its request has been taken by the machine; the listener's close would reset it.
    async def scenario() -> None:
        switch = tmp_path / "failing"
        fault = faults(rule("accept", error, 1, 12), switch=switch)
        async with World(tmp_path, servers=1, faults={0: fault}) as world:
            process = world.start()
            await world.ready()
            process.send_signal(signal.SIGSTOP)
            clients = [await world.connect() for _ in range(6)]
            for number, client in enumerate(clients):
                client.writer.write(call(number, PATIENCE_MS))
            process.send_signal(signal.SIGTERM)
            switch.touch()
            process.send_signal(signal.SIGCONT)
            assert all([await client.answer() for client in clients])
            for client in clients:
                client.writer.close()
            assert await world.ended() == 0

    run(scenario)
