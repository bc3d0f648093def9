"""A wall clock that is wrong in one gateway's process: what gateways share must not rest on it."""

import asyncio
import time
from pathlib import Path

import pytest

from tests.support.faults import faults
from tests.support.gateway_cluster import Client, World, call
from tests.support.loopback import run

HOUR = 3_600
COLD_SHARE = 0.5  # of what a warm server gets in the mean; the cold one is allowed less than that at first
BURST, RATE = 10.0, 1.0
PLAN = {"name": "small", "quotaRate": RATE, "mostAtOnce": BURST, "neverOverRate": 0.0}
SLACK = 3.0  # units beyond the quota: one window's edge, and calls that cross


async def serve_in_turn(client: Client, numbers: range) -> int:
    """How many of these requests were served, each of another tenant."""
    served = 0
    for number in numbers:
        client.writer.write(call(number, 3_000, tenant=number))
        served += await client.answer() == b"%016x" % number
    return served


@pytest.mark.parametrize("told", ["known", "change"])
@pytest.mark.parametrize("step", [0, HOUR, 20, -HOUR])
def test_a_server_that_has_just_started_is_not_taken_for_a_warm_one(
    tmp_path: Path, step: int, told: str
) -> None:
    async def scenario() -> None:
        async with World(tmp_path, faults={0: faults(step=step)}) as world:
            cold = world.rate_servers[0]
            if told == "known":
                cold.started_at_ms = int(time.time() * 1e3)
            world.start()
            await world.ready()
            client = await world.connect()
            assert await serve_in_turn(client, range(1, 60)) > 50  # tells what a warm one answers
            if told == "change":
                cold.started_at_ms = int(time.time() * 1e3)
                cold.attempts.clear()
                world.agent.tell(cold)
                warm = world.rate_servers[1]
                warm.lifecycle = "DRAINING"
                world.agent.tell(warm)  # when that is known, so is the start
                while warm.connections:
                    await asyncio.sleep(0.01)
            counted = [server for server in world.rate_servers if server.lifecycle == "SERVING"]
            for server in counted:
                server.attempts.clear()
            await serve_in_turn(client, range(100, 300))
            warm_mean = sum(len(s.attempts) for s in counted if s is not cold) / (len(counted) - 1)
            assert warm_mean > 10
            assert len(cold.attempts) < COLD_SHARE * warm_mean, (len(cold.attempts), warm_mean)

    run(scenario)


@pytest.mark.parametrize("step", [0, HOUR, -HOUR, 7])
def test_a_gateway_with_a_wrong_clock_opens_no_second_allowance(tmp_path: Path, step: int) -> None:
    async def scenario() -> None:
        settings = {"packages": [PLAN]}
        world = World(tmp_path, gateways=3, settings=settings, faults={1: faults(step=step)})
        async with world:
            for number in range(3):
                world.start(number)
            clients = []
            for number in range(3):
                await world.ready(number)
                clients.append(await world.connect(number))
            loop = asyncio.get_running_loop()
            began, served, request = loop.time(), 0, 0
            while loop.time() - began < 3.0:
                for client in clients:
                    request += 1
                    client.writer.write(call(request, 3_000, tenant=9, spread=3))
                    served += await client.answer() == b"%016x" % request
            allowed = BURST + RATE * (loop.time() - began)
            assert served > BURST / 2
            assert served <= allowed + SLACK, (served, allowed)

    run(scenario)
