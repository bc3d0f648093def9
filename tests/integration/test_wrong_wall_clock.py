"""A wrong wall clock of one gateway: neither slow start nor shared quotas may depend on it."""

import asyncio
import time

import pytest

from tests.support.faults import faulty_environment
from tests.support.gateway_cluster import (
    ClientConnection,
    ClusterFactory,
    GatewayCluster,
    RunningCluster,
    request_command,
)
from tests.support.loopback import run
from tests.support.rate_server import RateServer

HOUR_S = 3_600
MAX_WARMING_UP_FRACTION = 0.5  # of the mean attempts of a warm server; a server warming up gets fewer
BURST, RATE = 10.0, 1.0  # units, units per second
PLAN = {"name": "small", "quotaRate": RATE, "mostAtOnce": BURST, "neverOverRate": 0.0}
QUOTA_SLACK = 3.0  # units above the quota, for one window boundary and concurrent counter calls


async def send_requests(client: ClientConnection, request_ids: range) -> int:
    """Send these requests one after another, each for another tenant; return how many were served."""
    served = 0
    for request_id in request_ids:
        client.writer.write(request_command(request_id, 3_000, tenant=request_id))
        served += await client.read_answer() == b"%016x" % request_id
    return served


async def restart(cluster: GatewayCluster, server: RateServer) -> None:
    """Publish a restart of this server, and wait until the gateway has applied the delta."""
    server.started_at_ms = int(time.time() * 1e3)
    server.attempts.clear()
    cluster.discovery.publish(server)
    # A gateway that has closed its connections to a draining server has applied the preceding delta too.
    draining = cluster.rate_servers[1]
    draining.lifecycle = "DRAINING"
    cluster.discovery.publish(draining)
    while draining.connections:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("reported_by", ["cached snapshot", "delta"])
@pytest.mark.parametrize("clock_offset_s", [0, HOUR_S, 20, -HOUR_S])
def test_just_started_server_is_warming_up_regardless_of_the_wall_clock(
    make_cluster: ClusterFactory, clock_offset_s: int, reported_by: str
) -> None:
    async def scenario() -> None:
        async with make_cluster(
            environments={0: faulty_environment(clock_offset_s=clock_offset_s)}
        ) as cluster:
            warming_up = cluster.rate_servers[0]
            if reported_by == "cached snapshot":
                warming_up.started_at_ms = int(time.time() * 1e3)
            cluster.start()
            await cluster.wait_until_ready()
            client = await cluster.connect()
            # These requests show the gateway the throughput of warm servers.
            assert await send_requests(client, range(1, 60)) > 50
            if reported_by == "delta":
                await restart(cluster, warming_up)
            serving = [server for server in cluster.rate_servers if server.lifecycle == "SERVING"]
            for server in serving:
                server.attempts.clear()
            await send_requests(client, range(100, 300))
            attempts = len(warming_up.attempts)
            others = sum(len(server.attempts) for server in serving) - attempts
            warm_mean = others / (len(serving) - 1)
            assert warm_mean > 10
            assert attempts < MAX_WARMING_UP_FRACTION * warm_mean, (attempts, warm_mean)

    run(scenario)


@pytest.mark.parametrize("clock_offset_s", [0, HOUR_S, -HOUR_S, 7])
def test_gateway_with_a_wrong_clock_admits_no_second_quota(
    running_cluster: RunningCluster, clock_offset_s: int
) -> None:
    async def scenario() -> None:
        environments = {1: faulty_environment(clock_offset_s=clock_offset_s)}
        async with running_cluster(
            gateways=3, settings={"packages": [PLAN]}, environments=environments
        ) as cluster:
            clients = [await cluster.connect(number) for number in range(3)]
            loop = asyncio.get_running_loop()
            started_at, served, request_id = loop.time(), 0, 0
            while loop.time() - started_at < 3.0:
                for client in clients:
                    request_id += 1
                    client.writer.write(request_command(request_id, 3_000, tenant=9, spread=3))
                    served += await client.read_answer() == b"%016x" % request_id
            allowed = BURST + RATE * (loop.time() - started_at)
            assert served > BURST / 2
            assert served <= allowed + QUOTA_SLACK, (served, allowed)

    run(scenario)
