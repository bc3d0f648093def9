"""Units that a request guessed and its answer puts right: the quota counts the true ones in the end."""

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import cast

import pytest

from rushroad.bench.real.gateway_settings import gateway_settings
from rushroad.proxy.engine import Engine
from rushroad.proxy.in_flight import Attempt
from rushroad.proxy.upstream import Upstream
from tests.proxy.test_upstream import FAST, LONG, at, held
from tests.support.gateway_cluster import World, call
from tests.support.loopback import Heard, Peer, run

BURST, RATE, TRUE = 12.0, 1.0, 4
PLAN = {"name": "small", "quotaRate": RATE, "mostAtOnce": BURST, "neverOverRate": 0.0}


@pytest.mark.parametrize("gateways", [1, 2])
def test_a_quota_counts_the_true_units(tmp_path: Path, gateways: int) -> None:
    async def scenario() -> None:
        extra = gateway_settings(1, 0)["extra"] | {"truedUp": True}
        world = World(tmp_path, gateways=gateways, settings={"packages": [PLAN], "extra": extra})
        async with world:
            for server in world.rate_servers:
                server.figures = b"$13\r\nused=3,cost=%d\r\n" % TRUE
            clients = []
            for number in range(gateways):
                world.start(number)
                await world.ready(number)
                clients.append(await world.connect(number))
            loop = asyncio.get_running_loop()
            began, served = loop.time(), 0
            for request in range(40):
                client = clients[request % gateways]
                client.writer.write(call(request, 3_000, tenant=9, spread=gateways))
                served += await client.answer() == b"%016x" % request
            allowed = (BURST + RATE * (loop.time() - began)) / TRUE
            assert 0 < served <= allowed + gateways  # each learns of its last one's true units afterwards

    run(scenario)


@pytest.mark.parametrize(
    ("figures", "units"),
    [
        (b"used=37,cost=4", 4.0),
        (b"cost=1.5", 1.5),
        (b"used=37", None),
        (b"cost=-1", None),
        (b"cost=9", None),
        (b"cost=nan", None),
        (b"costly=2", None),
        (b"\xff\x00", None),
        (b"cost=0", None),
    ],
)
def test_figures_on_use_tell_the_true_units_or_nothing(figures: bytes, units: float | None) -> None:
    async def scenario() -> None:
        heard, loop = Heard(), asyncio.get_running_loop()
        async with Peer() as peer:
            servers = Upstream(cast(Engine, heard), replace(FAST, settles_units=True), 60_000_000, 8, loop)
            servers.update_endpoints(at(peer.port), True)
            servers.start(Attempt(1, 0, "s-1", held(10, 0), 0), LONG)
            await peer.answer(b"*3\r\n$5\r\nvalue\r\n$%d\r\n%b\r\n$-1\r\n" % (len(figures), figures))
            await heard.ended.get()
            assert heard.true_units == [units]
            servers.close()

    run(scenario)
