"""Deadlines passed on to rate servers for requests that waited before the gateway read them."""

import asyncio
import signal
from pathlib import Path

import pytest

from tests.support.gateway_cluster import GatewayCluster, request_command
from tests.support.loopback import resp, run

DEADLINE_SLACK_S = 0.15  # by which the deadline passed on may exceed the client's
ANSWER_SLACK_S = 0.05  # an answer this long after the client's deadline is still in time
TIME_REMAINING_MS = 1_500
SMALL_PIPELINE = 200  # commands, few enough for any machine to read without delay
STALL_S = 0.6


@pytest.mark.parametrize(("commands", "service_time_s"), [(200, 0.4), (200, 0.1), (3_000, 0.02)])
def test_long_pipeline_passes_on_no_later_deadline_than_the_client_set(
    tmp_path: Path, commands: int, service_time_s: float
) -> None:
    async def scenario() -> None:
        async with GatewayCluster(tmp_path, service_time_s=service_time_s) as cluster:
            cluster.start()
            await cluster.wait_until_ready()
            client, loop = await cluster.connect(), asyncio.get_running_loop()
            request_ids = range(commands)
            client.writer.write(
                b"".join(
                    request_command(request_id, TIME_REMAINING_MS, tenant=request_id)
                    for request_id in request_ids
                )
            )
            sent_at = loop.time()
            latencies_s = []
            for _ in request_ids:
                assert await client.read_answer()
                latencies_s.append(loop.time() - sent_at)
            attempts = cluster.attempts()
            assert len(attempts) > 40, len(attempts)
            excess_s = [
                a.received_at + a.time_remaining_ms / 1e3 - sent_at - TIME_REMAINING_MS / 1e3
                for a in attempts
            ]
            assert max(excess_s) <= DEADLINE_SLACK_S + cluster.timing_allowance_s()
            if commands <= SMALL_PIPELINE:  # the time to read thousands of commands depends on the machine
                assert (
                    max(latencies_s)
                    <= TIME_REMAINING_MS / 1e3 + ANSWER_SLACK_S + cluster.timing_allowance_s()
                )

    run(scenario)


@pytest.mark.parametrize("new_connection", [False, True])
def test_time_remaining_counts_from_arrival_while_the_process_is_stalled(
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
            client.writer.write(request_command(1, TIME_REMAINING_MS))
            sent_at = loop.time()
            await asyncio.sleep(STALL_S)  # the stall itself is under test
            process.send_signal(signal.SIGCONT)
            assert await client.read_answer() == b"%016x" % 1
            (attempt,) = cluster.attempts()
            assert (
                attempt.received_at + attempt.time_remaining_ms / 1e3 - sent_at
                <= TIME_REMAINING_MS / 1e3 + DEADLINE_SLACK_S + cluster.timing_allowance_s()
            )

    run(scenario)
