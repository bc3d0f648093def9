"""System calls that fail temporarily at startup or in service: each request still gets its answer."""

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
CLIENTS, REQUESTS_PER_CLIENT = 8, 10
CONFIGURATION_FILE = "n0.json"
CONNECTION_CALLS = ("connect", "socket", "setsockopt", "getsockname")  # made for each new connection
MIN_SERVED_FRACTION = 0.5  # if new connections may fail
SERVED = b"served"
NO_ANSWER = b""  # the connection closed before a due answer


async def run_client(cluster: GatewayCluster, number: int, answers: Counter[bytes]) -> None:
    """Send the requests of one client, one after another, and count the answers."""
    client = await cluster.connect()
    for request_id in range(number * REQUESTS_PER_CLIENT, (number + 1) * REQUESTS_PER_CLIENT):
        client.writer.write(request_command(request_id, TIME_REMAINING_MS, tenant=number))
        async with asyncio.timeout(TIME_REMAINING_MS / 1e3 + 1.0):
            answer = await client.read_answer()
        answers[SERVED if answer == b"%016x" % request_id else answer] += 1
        if answer == NO_ANSWER:
            return


async def run_clients(cluster: GatewayCluster) -> Counter[bytes]:
    """Run all clients at once; return the counts of their answers."""
    answers: Counter[bytes] = Counter()
    await asyncio.gather(*(run_client(cluster, number, answers) for number in range(CLIENTS)))
    return answers


OPEN_ERRORS = ("ENFILE", "EMFILE", "ENOMEM", "EIO", "EINTR")
STARTUP_FAULTS = [
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


@pytest.mark.parametrize("startup_fault", STARTUP_FAULTS)
def test_system_call_that_fails_temporarily_at_startup_does_not_end_the_process(
    running_cluster: RunningCluster, startup_fault: str
) -> None:
    async def scenario() -> None:
        environment = faulty_environment(startup_fault, file_suffix=CONFIGURATION_FILE)
        async with running_cluster(servers=2, environments={0: environment}) as cluster:
            client = await cluster.connect()
            client.writer.write(request_command(1, TIME_REMAINING_MS))
            assert await client.read_answer() == b"%016x" % 1
            assert await cluster.stop() == 0

    run(scenario)


def test_system_call_that_always_fails_at_startup_ends_the_process_with_one_line(
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


# Once the gateway is ready, one in three of these calls fails, with an error from the call's manual page.
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
            answers = await run_clients(cluster)
            assert answers.total() == CLIENTS * REQUESTS_PER_CLIENT
            assert not answers[NO_ANSWER], answers
            # A request may be rejected if no connection to a rate server can be opened for it.
            min_served_fraction = 1.0 if system_call not in CONNECTION_CALLS else MIN_SERVED_FRACTION
            assert answers[SERVED] >= min_served_fraction * answers.total(), answers
            assert "the policy did not answer request" not in cluster.log(0)
            assert await cluster.stop() == 0

    run(scenario)


@pytest.mark.parametrize("error", ["ENFILE", "EMFILE", "ENOMEM", "EIO", "ENOENT", "EINTR"])
def test_new_configuration_that_temporarily_cannot_be_opened_is_read_afterwards(
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
            async with asyncio.timeout(4.0):  # a gateway must know discovery's data by then
                await new_discovery.watch_requested.wait()
            new_discovery.close()
            assert await cluster.stop() == 0

    run(scenario)


@pytest.mark.parametrize("error", ["ECONNABORTED", "EINTR", "EMFILE", "ENOBUFS", "EPROTO"])
def test_connections_pending_at_shutdown_are_accepted_although_accept_fails_temporarily(
    tmp_path: Path, running_cluster: RunningCluster, error: str
) -> None:
    # The kernel has already received their requests; closing the listener would reset these connections.
    async def scenario() -> None:
        switch_file = tmp_path / "failing"
        environment = faulty_environment(fault_rule("accept", error, 1, 12), switch_file=switch_file)
        async with running_cluster(servers=1, environments={0: environment}) as cluster:
            process = cluster.processes[0]
            process.send_signal(signal.SIGSTOP)
            clients = [await cluster.connect() for _ in range(6)]
            for request_id, client in enumerate(clients):
                client.writer.write(request_command(request_id, TIME_REMAINING_MS))
            process.send_signal(signal.SIGTERM)
            switch_file.touch()
            process.send_signal(signal.SIGCONT)
            assert all([await client.read_answer() for client in clients])
            for client in clients:
                client.writer.close()
            assert await cluster.wait_for_exit() == 0

    run(scenario)
