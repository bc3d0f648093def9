"""System calls that fail for a moment, at the start and in service: each request still gets its answer."""

import asyncio
import signal
from collections import Counter
from pathlib import Path

import pytest

from tests.support.discovery_agent import DiscoveryAgent
from tests.support.faults import UNLIMITED, fault_rule, faulty_environment
from tests.support.gateway_cluster import ClusterFactory, GatewayCluster, RunningCluster, request_command
from tests.support.loopback import run

TIME_REMAINING_MS = 2_000
CLIENTS, REQUESTS = 8, 10
CONFIGURATION_FILE = "n0.json"
CONNECTION_CALLS = ("connect", "socket", "setsockopt", "getsockname")  # calls that a new connection needs
MIN_SERVED_FRACTION = 0.5  # where new connections may fail
SERVED = b"served"
NO_ANSWER = b""  # the connection ended before the answer that was owed on it


async def use_connection(cluster: GatewayCluster, number: int, answers: Counter[bytes]) -> None:
    """One client's requests, one after the other."""
    client = await cluster.connect()
    for request in range(number * REQUESTS, (number + 1) * REQUESTS):
        client.writer.write(request_command(request, TIME_REMAINING_MS, tenant=number))
        async with asyncio.timeout(TIME_REMAINING_MS / 1e3 + 1.0):
            answer = await client.read_answer()
        answers[SERVED if answer == b"%016x" % request else answer] += 1
        if answer == NO_ANSWER:
            return


async def use_connections(cluster: GatewayCluster) -> Counter[bytes]:
    """All clients at once; how often each answer came."""
    answers: Counter[bytes] = Counter()
    await asyncio.gather(*(use_connection(cluster, number, answers) for number in range(CLIENTS)))
    return answers


OPEN_ERRORS = ("ENFILE", "EMFILE", "ENOMEM", "EIO", "EINTR")
START_FAULTS = [
    *[fault_rule("socket", error, 4) for error in ("ENOBUFS", "ENOMEM", "ENFILE", "EMFILE")],
    *[fault_rule("socket", "ENOBUFS", first) for first in (1, 2, 3)],
    *[fault_rule("bind", error, 1) for error in ("EADDRNOTAVAIL", "EADDRINUSE", "ENOBUFS", "ENOMEM")],
    fault_rule("bind", "EADDRINUSE", 1, 20),
    *[fault_rule("listen", error, first) for error in ("ENOBUFS", "EADDRINUSE") for first in (1, 2)],
    *[fault_rule("open", error, first) for error in OPEN_ERRORS for first in (1, 2)],
    *[fault_rule("setsockopt", "ENOBUFS", first) for first in (1, 2, 3, 4, 5)],
    *[fault_rule("getsockname", "ENOBUFS", first) for first in (1, 2)],
    *[fault_rule("epoll_ctl", "ENOMEM", first) for first in (1, 2, 3, 4)],
    fault_rule("epoll_wait", "EINTR", 1, UNLIMITED, 2),
]


@pytest.mark.parametrize("start_fault", START_FAULTS)
def test_system_call_that_fails_for_a_moment_at_the_start_does_not_end_the_process(
    running_cluster: RunningCluster, start_fault: str
) -> None:
    async def scenario() -> None:
        environment = faulty_environment(start_fault, file_suffix=CONFIGURATION_FILE)
        async with running_cluster(servers=2, environments={0: environment}) as cluster:
            client = await cluster.connect()
            client.writer.write(request_command(1, TIME_REMAINING_MS))
            assert await client.read_answer() == b"%016x" % 1
            assert await cluster.stop() == 0

    run(scenario)


def test_system_call_that_always_fails_at_the_start_ends_the_process_with_one_line(
    make_cluster: ClusterFactory,
) -> None:
    async def scenario() -> None:
        environment = faulty_environment(fault_rule("bind", "EACCES", 1, UNLIMITED))
        async with make_cluster(servers=1, environments={0: environment}) as cluster:
            cluster.start()
            assert await cluster.wait_for_exit() == 2
            assert cluster.log(0).count("\n") == 1
            assert cluster.log(0).startswith("rushroad: can't start: [Errno 13]")

    run(scenario)


# Calls of which one in three fails from when the gateway is ready, with errors that their manual pages list.
SERVICE_FAULTS = [
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


@pytest.mark.parametrize(("system_call", "error"), SERVICE_FAULTS)
def test_system_calls_that_fail_in_service_lose_no_answer(
    tmp_path: Path, running_cluster: RunningCluster, system_call: str, error: str
) -> None:
    async def scenario() -> None:
        switch_file = tmp_path / "failing"
        environment = faulty_environment(
            fault_rule(system_call, error, 1, UNLIMITED, 3), switch_file=switch_file
        )
        async with running_cluster(servers=3, environments={0: environment}) as cluster:
            switch_file.touch()
            answers = await use_connections(cluster)
            assert answers.total() == CLIENTS * REQUESTS
            assert not answers[NO_ANSWER], answers
            # A request may be rejected where no connection to a rate server can be made for it.
            served_fraction = 1.0 if system_call not in CONNECTION_CALLS else MIN_SERVED_FRACTION
            assert answers[SERVED] >= served_fraction * answers.total(), answers
            assert "run out" not in cluster.log(0)
            assert await cluster.stop() == 0

    run(scenario)


@pytest.mark.parametrize("error", ["ENFILE", "EMFILE", "ENOMEM", "EIO", "ENOENT", "EINTR"])
def test_new_configuration_that_cannot_be_opened_for_a_moment_is_read_afterwards(
    tmp_path: Path, running_cluster: RunningCluster, error: str
) -> None:
    async def scenario() -> None:
        switch_file = tmp_path / "failing"
        environment = faulty_environment(
            fault_rule("open", error, 1, 3), file_suffix=CONFIGURATION_FILE, switch_file=switch_file
        )
        async with running_cluster(servers=1, environments={0: environment}) as cluster:
            new_discovery = DiscoveryAgent(cluster.rate_servers)
            await new_discovery.listen()
            cluster.write_configuration(0, discovery=new_discovery.address)
            switch_file.touch()
            cluster.processes[0].send_signal(signal.SIGHUP)
            async with asyncio.timeout(4.0):  # after that, a gateway counts as knowing what discovery has
                await new_discovery.watch_requested.wait()
            new_discovery.close()
            assert await cluster.stop() == 0

    run(scenario)


@pytest.mark.parametrize("error", ["ECONNABORTED", "EINTR", "EMFILE", "ENOBUFS", "EPROTO"])
def test_connections_waiting_at_shutdown_are_accepted_though_accept_fails_for_a_moment(
    tmp_path: Path, running_cluster: RunningCluster, error: str
) -> None:
    # The system has received their requests; closing the listener would reset them.
    async def scenario() -> None:
        switch_file = tmp_path / "failing"
        environment = faulty_environment(fault_rule("accept", error, 1, 12), switch_file=switch_file)
        async with running_cluster(servers=1, environments={0: environment}) as cluster:
            process = cluster.processes[0]
            process.send_signal(signal.SIGSTOP)
            clients = [await cluster.connect() for _ in range(6)]
            for number, client in enumerate(clients):
                client.writer.write(request_command(number, TIME_REMAINING_MS))
            process.send_signal(signal.SIGTERM)
            switch_file.touch()
            process.send_signal(signal.SIGCONT)
            assert all([await client.read_answer() for client in clients])
            for client in clients:
                client.writer.close()
            assert await cluster.wait_for_exit() == 0

    run(scenario)
