"""Clients that make a gateway buffer as much as it can: memory stays within its limit, others are served."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from rushroad.bench.real.gateway_settings import gateway_settings
from tests.support.gateway_cluster import ClientConnection, GatewayCluster, RunningCluster, request_command
from tests.support.loopback import run_with_timeout

MEMORY_MB = 48
BODY = b"x" * 60_000
TIMEOUT_S = 60.0
USUAL_TENANT = 1_000
CLASSES = [
    {**gateway_settings(1, 0)["classes"][0], "name": "quote"},
    {**gateway_settings(1, 0)["classes"][0], "name": "exchange", "effect": "by_key"},
]
PLANS = [{"name": "small", "quotaRate": 200.0, "mostAtOnce": 400.0, "neverOverRate": 0.0}]

Client = Callable[[ClientConnection, int], Awaitable[None]]


def peak_anonymous_mb(pid: int) -> float:
    """Return the peak of the process's resident memory without its files, as the platform counts it."""
    status = Path(f"/proc/{pid}/status").read_text()
    kib = {name: int(status.split(f"{name}:")[1].split()[0]) for name in ("VmHWM", "RssFile")}
    return (kib["VmHWM"] - kib["RssFile"]) * 1024 / 1e6


def long_command(client: int, number: int) -> bytes:
    return request_command(client << 32 | number, 10_000, tenant=client, class_name=b"exchange", body=BODY)


async def send_long_commands(connection: ClientConnection, client: int) -> None:
    """Send 60 long commands at once and read their answers."""
    commands = 60

    async def send() -> None:
        for number in range(commands):
            connection.writer.write(long_command(client, number))
            await connection.writer.drain()

    sending = asyncio.create_task(send())
    for _ in range(commands):
        assert await connection.read_answer()
    await sending


async def send_incomplete_command(connection: ClientConnection, client: int) -> None:
    """Send a long command without its end, and wait for the error."""
    connection.writer.write(long_command(client, 0)[:-10])
    assert (await connection.read_answer()).startswith(b"-ERR ")


async def send_short_commands(connection: ClientConnection, client: int) -> None:
    """Send as many short commands as a connection may have unanswered, and read their answers."""
    commands = 64
    connection.writer.write(
        b"".join(request_command(client << 32 | n, 3_000, tenant=client) for n in range(commands))
    )
    for _ in range(commands):
        assert await connection.read_answer()


async def send_commands_of_new_tenants(connection: ClientConnection, client: int) -> None:
    """Send short commands in pipelines, each of another tenant and with too little time to be forwarded."""
    pipeline, commands = 200, 50_000
    for start in range(0, commands, pipeline):
        numbers = range(start, start + pipeline)
        tenant_base = (client + 1) << 20
        connection.writer.write(
            b"".join(request_command(1 << 40 | n, 1, tenant=tenant_base + n) for n in numbers)
        )
        for _ in numbers:
            assert await connection.read_answer()


async def leave_long_answers_unread(connection: ClientConnection, client: int) -> None:
    """Send short commands, which have long answers, and read nothing until the gateway closes."""
    connection.writer.transport.pause_reading()  # type: ignore[attr-defined]
    for number in range(64):
        connection.writer.write(request_command(client << 32 | number, 3_000, tenant=client))
        await asyncio.sleep(0.01)


@asynccontextmanager
async def usual_client(cluster: GatewayCluster) -> AsyncIterator[None]:
    """Send one request after the other; each must be answered."""
    ended = asyncio.Event()

    async def send() -> None:
        connection, number = await cluster.connect(), 0
        while not ended.is_set():
            connection.writer.write(request_command(number, 10_000, tenant=USUAL_TENANT))
            assert await connection.read_answer()
            number += 1
            with suppress(TimeoutError):
                await asyncio.wait_for(ended.wait(), 0.05)

    sending = asyncio.create_task(send())
    yield
    ended.set()
    await sending


@pytest.mark.parametrize(
    ("client", "count"),
    [
        (send_long_commands, 200),
        (send_incomplete_command, 600),
        (send_short_commands, 600),
        (send_commands_of_new_tenants, 1),
        (leave_long_answers_unread, 200),
    ],
)
def test_memory_stays_within_its_limit_whatever_clients_make_the_gateway_buffer(
    running_cluster: RunningCluster, client: Client, count: int
) -> None:
    # Guards against: buffers that are limited for each connection only, and exceed the memory limit together;
    # the state of ever new tenants, which is kept until they have been idle for long.
    async def scenario() -> None:
        settings = {"classes": CLASSES, "packages": PLANS}
        async with running_cluster(memory_mb=MEMORY_MB, service_time_s=0.25, settings=settings) as cluster:
            for server in cluster.rate_servers:
                server.value = BODY if client is leave_long_answers_unread else b""
            async with usual_client(cluster):
                connections = await asyncio.gather(*(cluster.connect() for _ in range(count)))
                await asyncio.gather(*(client(each, number) for number, each in enumerate(connections)))
            peak_mb = peak_anonymous_mb(cluster.processes[0].pid)
            print(client.__name__, peak_mb)
            assert peak_mb < MEMORY_MB

    run_with_timeout(TIMEOUT_S, scenario)
