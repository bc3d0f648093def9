"""A seeded soak of a real gateway: load, disruptions, repeated signals, shutdown and the earliest SIGKILL.

All rules are checked from outside, by what clients sent and received and by what rate servers received:

    python -m tests.integration.soak --seeds 50 --first 1 --jobs 4
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from collections import Counter
from contextlib import suppress
from pathlib import Path
from random import Random
from subprocess import Popen
from typing import Any

import uvloop

from rushroad.bench.commands import CounterMode
from tests.support.gateway_cluster import POLL_INTERVAL_S, ClientConnection, GatewayCluster, request_command
from tests.support.soak_checker import (
    EFFECT_BY_CLASS,
    INCONCLUSIVE,
    SentRequest,
    SoakChecker,
    SoakResult,
)

# SIGKILL follows SIGTERM after min(deadline of the request classes, KILL_AFTER_S) + KILL_MARGIN_S.
KILL_AFTER_S, KILL_MARGIN_S = 3.0, 0.7
MAX_RUNS = 3  # of a seed, while its runs are inconclusive
CLOSE_RACE_S = 0.1  # a write and the close of its connection may race within this time
# Longest stall of a gateway; deadlines, deduplication windows and the drain grace allow for it. A run in
# which this process stalled longer is inconclusive.
MAX_STALL_S = 0.15
IDLE_CLIENTS = 120  # more connections than a gateway with FEW_SOCKETS accepts from clients
FEW_SOCKETS, SOCKETS = 128, 1_024


def request_class_settings(deadline_s: float) -> dict[str, Any]:
    """Return settings with one request class for each effect, all with this deadline."""
    deadline_us = int(deadline_s * 1e6)
    return {
        "classes": [
            {
                "name": name.decode(),
                "effect": effect,
                "gain": 1.0,
                "giveUpUs": deadline_us,
                "group": "all",
                "goalTimeUs": int(deadline_us * 0.8),
                "lateWorth": 0.0,
                "windowUs": deadline_us,
                "streamed": False,
            }
            for name, effect in EFFECT_BY_CLASS.items()
        ],
    }


class SoakRun:
    """One run, whose seed determines the load, the disruptions and the signals."""

    def __init__(self, seed: int) -> None:
        self.result = SoakResult(seed)
        self._random = Random(seed)
        self._deadline_s = self._random.choice([0.6, 1.0, 2.0, 3.0, 10.0])
        self._connections_limited = self._random.random() < 0.25
        self._requests: dict[bytes, SentRequest] = {}  # by ID
        self._is_stopped = False  # if true, clients send no more requests

    async def execute(self) -> None:
        """Run the gateway under load, then check the rules."""
        with tempfile.TemporaryDirectory() as directory:
            async with GatewayCluster(
                Path(directory),
                servers=6,
                sockets=FEW_SOCKETS if self._connections_limited else SOCKETS,
                service_time_s=self._random.choice([0.005, 0.05, 0.2]),
                settings=request_class_settings(self._deadline_s),
            ) as cluster:
                exit_status = await self._run_load(cluster)
                self._check(cluster, exit_status)

    async def _run_load(self, cluster: GatewayCluster) -> int | None:
        """Run clients, disruptions and the shutdown; return the exit status, or None if it was killed."""
        random, process = self._random, cluster.start()
        await cluster.wait_until_ready()
        idle = [await cluster.connect() for _ in range(IDLE_CLIENTS if self._connections_limited else 0)]
        loop = asyncio.get_running_loop()
        clients = [
            loop.create_task(self._run_client(cluster, number)) for number in range(random.randrange(4, 20))
        ]
        for _ in range(random.randrange(1, 5)):
            await asyncio.sleep(random.uniform(0.05, 0.5))
            await self._disrupt(cluster)
        if random.random() < 0.5:
            for server in cluster.rate_servers[: random.randrange(1, 4)]:
                server.silent = True
        exit_status = await self._shut_down(process)
        self._is_stopped = True
        process.kill()
        process.wait()
        await asyncio.wait(clients)
        for client in idle:
            client.writer.close()
        return exit_status

    async def _shut_down(self, process: Popen[bytes]) -> int | None:
        """Send SIGTERM and further signals; return the exit status, or None if it has to be killed."""
        loop = asyncio.get_running_loop()
        kill_at = loop.time() + min(self._deadline_s, KILL_AFTER_S) + KILL_MARGIN_S
        process.send_signal(signal.SIGTERM)
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(self._random.uniform(0.0, 0.3))
            with suppress(ProcessLookupError):
                process.send_signal(self._random.choice([signal.SIGHUP, signal.SIGHUP, signal.SIGTERM]))
        while loop.time() < kill_at and process.poll() is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        return process.poll()

    async def _disrupt(self, cluster: GatewayCluster) -> None:
        """Reload, drain or silence a server, reset connections, stall the gateway or change the counter."""
        random, process = self._random, cluster.processes[0]
        server = random.choice(cluster.rate_servers)
        match random.randrange(6):
            case 0:
                for _ in range(random.randrange(1, 6)):
                    cluster.write_configuration(0)
                    process.send_signal(signal.SIGHUP)
            case 1 if sum(other.lifecycle == "SERVING" for other in cluster.rate_servers) > 3:
                server.lifecycle = "DRAINING"
                cluster.discovery.publish(server)
                server.draining_since = asyncio.get_running_loop().time()
            case 2:
                server.silent = not server.silent
            case 3:
                for connection in list(server.connections):
                    connection.transport.abort()
            case 4:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(MAX_STALL_S)
                process.send_signal(signal.SIGCONT)
            case 5:
                cluster.counter.set_mode(random.choice(list(CounterMode)), 1, random.uniform(0.01, 0.2))

    async def _run_client(self, cluster: GatewayCluster, client_number: int) -> None:
        """Run one client, which sends batches on a connection and reconnects after a close."""
        random = Random(self.result.seed * 1_000 + client_number)
        connection: ClientConnection | None = None
        is_unused = True  # no request has been sent on the connection
        while not self._is_stopped:
            if connection is None:
                try:
                    connection, is_unused = await cluster.connect(), True
                except OSError:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
            size = random.choice([1, 1, 1, 3, 80])
            batch = [
                self._create_request(random, client_number, is_unused and index == 0) for index in range(size)
            ]
            connection.writer.write(b"".join(command for _, command in batch))
            is_unused = False
            if not await self._read_answers([request for request, _ in batch], connection, cluster):
                connection.writer.close()
                connection = None
            elif random.random() < 0.1:
                await asyncio.sleep(random.uniform(0, 0.3))
        if connection is not None:
            connection.writer.close()

    def _create_request(
        self, random: Random, client_number: int, first_on_connection: bool
    ) -> tuple[SentRequest, bytes]:
        """Create a request and its command."""
        class_name = random.choice(list(EFFECT_BY_CLASS))
        time_remaining_s = self._deadline_s * random.uniform(0.2, 1.0)
        request_id = len(self._requests) + 1
        command = request_command(
            request_id, max(1, int(time_remaining_s * 1e3)), tenant=client_number, class_name=class_name
        )
        request = SentRequest(
            class_name, asyncio.get_running_loop().time(), time_remaining_s, first_on_connection
        )
        self._requests[b"%016x" % request_id] = request
        return request, command

    @staticmethod
    async def _read_answers(
        batch: list[SentRequest], connection: ClientConnection, cluster: GatewayCluster
    ) -> bool:
        """Record the answers to a batch in order; return False if the connection closed before the last."""
        loop, answered_at = asyncio.get_running_loop(), 0.0
        for index, request in enumerate(batch):
            answer = await connection.read_answer()
            request.previous_answered_at, answered_at = answered_at, loop.time()
            if not answer:
                is_race = answered_at - request.sent_at < CLOSE_RACE_S + cluster.timing_allowance_s()
                for unanswered in batch[index:]:
                    # The connection was closed between batches: the gateway has read none of these requests.
                    unanswered.raced_with_close = not index and is_race
                return False
            request.answers.append(answer)
            request.answered_at = answered_at
        return True

    def _check(self, cluster: GatewayCluster, exit_status: int | None) -> None:
        result, log = self.result, cluster.log(0)
        if exit_status not in (None, 0):
            result.violations.append(f"exit status {exit_status}")
        result.outcomes["answered at the shutdown deadline"] += log.count("the policy did not answer request")
        if "Traceback" in log:
            result.violations.append(f"traceback in the log, which ends with {log[-300:]!r}")
        result.max_loop_lag_s = cluster.max_loop_lag_s
        if result.max_loop_lag_s > MAX_STALL_S:
            result.outcomes[INCONCLUSIVE] += 1
        else:
            checker = SoakChecker(result, cluster.timing_allowance_s(), self._connections_limited)
            checker.check(self._requests, cluster)


async def soak(first_seed: int, seed_count: int, jobs: int) -> list[SoakResult]:
    """Run consecutive seeds, `jobs` at a time; print each result as it completes, and return all results."""
    semaphore = asyncio.Semaphore(jobs)

    async def run_seed(seed: int) -> SoakResult:
        for _ in range(MAX_RUNS):
            run = SoakRun(seed)
            async with semaphore:
                await run.execute()
            if not run.result.outcomes[INCONCLUSIVE]:
                break
        result = run.result
        lag = f"maximum event loop lag of this process {result.max_loop_lag_s:.3f} s"
        print(f"seed {seed}: {dict(result.outcomes)}, {lag}", *result.violations[:5], sep="\n  ", flush=True)
        return result

    return await asyncio.gather(*(run_seed(seed) for seed in range(first_seed, first_seed + seed_count)))


def main() -> int:
    """Run the soak; return 1 if a run broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    results = uvloop.run(soak(options.first, options.seeds, options.jobs))
    failed_seeds = [result.seed for result in results if result.violations]
    total: Counter[str] = sum((result.outcomes for result in results), Counter())
    print(f"{len(results)} runs, {dict(total)}; seeds with violations: {failed_seeds or 'none'}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
