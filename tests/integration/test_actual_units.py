"""Quotas when the units of requests are estimates: the actual units in responses are what counts."""

import asyncio
from pathlib import Path

import pytest

from rushroad.bench.real.gateway_settings import gateway_settings
from tests.support.gateway_cluster import GatewayCluster, request_command
from tests.support.loopback import run

BURST, RATE, ACTUAL_UNITS = 12.0, 1.0, 4  # units, units per second, units of each request
PLAN = {"name": "small", "quotaRate": RATE, "mostAtOnce": BURST, "neverOverRate": 0.0}


@pytest.mark.parametrize("gateways", [1, 2])
def test_quota_counts_actual_units(tmp_path: Path, gateways: int) -> None:
    async def scenario() -> None:
        extra = gateway_settings(1, 0)["extra"] | {"truedUp": True}
        cluster = GatewayCluster(tmp_path, gateways=gateways, settings={"packages": [PLAN], "extra": extra})
        async with cluster:
            for server in cluster.rate_servers:
                server.usage_figures = b"$13\r\nused=3,cost=%d\r\n" % ACTUAL_UNITS
            clients = []
            for number in range(gateways):
                cluster.start(number)
                await cluster.wait_until_ready(number)
                clients.append(await cluster.connect(number))
            loop = asyncio.get_running_loop()
            started_at, served = loop.time(), 0
            for request_id in range(40):
                client = clients[request_id % gateways]
                client.writer.write(request_command(request_id, 3_000, tenant=9, spread=gateways))
                served += await client.read_answer() == b"%016x" % request_id
            allowed = (BURST + RATE * (loop.time() - started_at)) / ACTUAL_UNITS
            # Each gateway learns the actual units of its last request only afterwards.
            assert 0 < served <= allowed + gateways

    run(scenario)
