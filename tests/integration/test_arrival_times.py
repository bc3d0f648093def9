"""The deadline passed on to rate servers, of requests that waited before the gateway read them."""

import asyncio
import signal
from pathlib import Path

import pytest

from tests.support.gateway_cluster import GatewayCluster, request_command
from tests.support.loopback import resp, run

DEADLINE_SLACK = 0.15  # seconds by which the deadline passed on may exceed the client's
ANSWER_SLACK = 0.05  # seconds after the client's deadline in which an answer still counts
CLIENT_TIMEOUT_MS = 1_500
SMALL_PIPELINE = 200  # commands that any machine reads at once
STALL = 0.6  # seconds


@pytest.mark.parametrize(("commands", "service_time_s"), [(200, 0.4), (200, 0.1), (3_000, 0.02)])
def test_a_long_pipeline_passes_on_no_later_deadline_than_the_clients(
    tmp_path: Path, commands: int, service_time_s: float
) -> None:
    async def scenario() -> None:
        async with GatewayCluster(tmp_path, service_time_s=service_time_s) as cluster:
            cluster.start()
            await cluster.wait_until_ready()
            client, loop = await cluster.connect(), asyncio.get_running_loop()
            numbers = range(commands)
            client.writer.write(
                b"".join(request_command(number, CLIENT_TIMEOUT_MS, tenant=number) for number in numbers)
            )
            sent = loop.time()
            answered = []
            for _ in numbers:
                assert await client.read_answer()
                answered.append(loop.time() - sent)
            attempts = cluster.attempts()
            assert len(attempts) > 40, len(attempts)
            excess = [
                a.received_at + a.time_remaining_ms / 1e3 - sent - CLIENT_TIMEOUT_MS / 1e3 for a in attempts
            ]
            assert max(excess) <= DEADLINE_SLACK + cluster.timing_allowance()
            if commands <= SMALL_PIPELINE:  # reading thousands takes as long as the machine needs
                assert max(answered) <= CLIENT_TIMEOUT_MS / 1e3 + ANSWER_SLACK + cluster.timing_allowance()

    run(scenario)


@pytest.mark.parametrize("new_connection", [False, True])
def test_input_that_arrived_while_the_process_was_stalled_counts_from_its_arrival(
    tmp_path: Path, new_connection: bool
) -> None:
    async def scenario() -> None:
        async with GatewayCluster(tmp_path, servers=2) as cluster:
            process, loop = cluster.start(), asyncio.get_running_loop()
            await cluster.wait_until_ready()
            client = await cluster.connect()
            client.writer.write(resp(b"PING"))
            assert await client.read_answer() == b"+PONG"
            process.send_signal(signal.SIGSTOP)
            client = await cluster.connect() if new_connection else client
            client.writer.write(request_command(1, CLIENT_TIMEOUT_MS))
            sent = loop.time()
            await asyncio.sleep(STALL)  # the time itself is what is tested
            process.send_signal(signal.SIGCONT)
            assert await client.read_answer() == b"%016x" % 1
            (attempt,) = cluster.attempts()
            assert (
                attempt.received_at + attempt.time_remaining_ms / 1e3 - sent
                <= CLIENT_TIMEOUT_MS / 1e3 + DEADLINE_SLACK + cluster.timing_allowance()
            )

    run(scenario)
