"""A seeded soak: a real gateway under load, disturbances, signals in series, shutdown and the earliest kill.

Every rule is judged from outside, by what clients sent and received and by what came to rate servers:

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
from tests.support.soak_judgement import (
    EFFECT_BY_CLASS,
    INCONCLUSIVE,
    SentRequest,
    SoakJudge,
    SoakResult,
)

KILL_AFTER, KILL_MARGIN = 3.0, 0.7  # seconds: SIGKILL comes that long after SIGTERM at the earliest
MAX_RUNS = 3  # of a seed, while its runs are inconclusive
CROSSING = 0.1  # seconds between a write and the close of its connection in which they may cross
MAX_PAUSE = 0.15  # seconds that a gateway may be held up; deadlines, windows and the grace allow for that
IDLE_CLIENTS = 120  # more than a gateway with FEW_SOCKETS has for clients
FEW_SOCKETS, SOCKETS = 128, 1_024


def settings(deadline: float) -> dict[str, Any]:
    """Three request classes, one of each effect, with this deadline in seconds."""
    microseconds = int(deadline * 1e6)
    return {
        "classes": [
            {
                "name": name.decode(),
                "effect": effect,
                "gain": 1.0,
                "giveUpUs": microseconds,
                "group": "all",
                "goalTimeUs": int(microseconds * 0.8),
                "lateWorth": 0.0,
                "windowUs": microseconds,
                "streamed": False,
            }
            for name, effect in EFFECT_BY_CLASS.items()
        ],
    }


class SoakRun:
    """One run. Its seed decides load, disturbances and signals."""

    def __init__(self, seed: int) -> None:
        self.result = SoakResult(seed)
        self._random = Random(seed)
        self._deadline = self._random.choice([0.6, 1.0, 2.0, 3.0, 10.0])  # seconds
        self._connections_limited = self._random.random() < 0.25
        self._requests: dict[bytes, SentRequest] = {}  # by id
        self._stopped = False  # clients send no more

    async def play(self) -> None:
        """Play the run and judge it."""
        with tempfile.TemporaryDirectory() as folder:
            async with GatewayCluster(
                Path(folder),
                servers=6,
                sockets=FEW_SOCKETS if self._connections_limited else SOCKETS,
                service_time_s=self._random.choice([0.005, 0.05, 0.2]),
                settings=settings(self._deadline),
            ) as cluster:
                exit_status = await self._load(cluster)
                self._judge(cluster, exit_status)

    async def _load(self, cluster: GatewayCluster) -> int | None:
        """Play clients, disturbances and the shutdown; the exit status, or None if it had to be killed."""
        random, process = self._random, cluster.start()
        await cluster.wait_until_ready()
        idle = [await cluster.connect() for _ in range(IDLE_CLIENTS if self._connections_limited else 0)]
        loop = asyncio.get_running_loop()
        clients = [
            loop.create_task(self._use_connections(cluster, client))
            for client in range(random.randrange(4, 20))
        ]
        for _ in range(random.randrange(1, 5)):
            await asyncio.sleep(random.uniform(0.05, 0.5))
            await self._disturb(cluster)
        if random.random() < 0.5:
            for server in cluster.rate_servers[: random.randrange(1, 4)]:
                server.hangs = True
        exit_status = await self._shut_down(process)
        self._stopped = True
        process.kill()
        process.wait()
        await asyncio.wait(clients)
        for client in idle:
            client.writer.close()
        return exit_status

    async def _shut_down(self, process: Popen[bytes]) -> int | None:
        """SIGTERM, more signals, and the wait until the earliest kill; the exit status, or None."""
        loop = asyncio.get_running_loop()
        kill_at = loop.time() + min(self._deadline, KILL_AFTER) + KILL_MARGIN
        process.send_signal(signal.SIGTERM)
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(self._random.uniform(0.0, 0.3))
            with suppress(ProcessLookupError):
                process.send_signal(self._random.choice([signal.SIGHUP, signal.SIGHUP, signal.SIGTERM]))
        while loop.time() < kill_at and process.poll() is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        return process.poll()

    async def _disturb(self, cluster: GatewayCluster) -> None:
        """New configurations, a drain, a hang, resets, a gateway held up, or a counter that is away."""
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
                server.hangs = not server.hangs
            case 3:
                for connection in list(server.connections):
                    connection.transport.abort()
            case 4:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(MAX_PAUSE)
                process.send_signal(signal.SIGCONT)
            case 5:
                cluster.counter.set_mode(random.choice(list(CounterMode)), 1, random.uniform(0.01, 0.2))

    async def _use_connections(self, cluster: GatewayCluster, client: int) -> None:
        """One client: sends batches on a connection as long as it stays open, then opens another."""
        random = Random(self.result.seed * 1_000 + client)
        connection: ClientConnection | None = None
        fresh = True  # no request has been sent on the connection
        while not self._stopped:
            if connection is None:
                try:
                    connection, fresh = await cluster.connect(), True
                except OSError:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
            size = random.choice([1, 1, 1, 3, 80])
            batch = [self._request(random, client, fresh and place == 0) for place in range(size)]
            connection.writer.write(b"".join(command for _, command in batch))
            fresh = False
            if not await self._take_answers([request for request, _ in batch], connection, cluster):
                connection.writer.close()
                connection = None
            elif random.random() < 0.1:
                await asyncio.sleep(random.uniform(0, 0.3))
        if connection is not None:
            connection.writer.close()

    def _request(self, random: Random, client: int, first: bool) -> tuple[SentRequest, bytes]:
        """A new request and its command."""
        name = random.choice(list(EFFECT_BY_CLASS))
        time_remaining = self._deadline * random.uniform(0.2, 1.0)
        number = len(self._requests) + 1
        command = request_command(number, max(1, int(time_remaining * 1e3)), tenant=client, name=name)
        request = SentRequest(name, asyncio.get_running_loop().time(), time_remaining, first)
        self._requests[b"%016x" % number] = request
        return request, command

    @staticmethod
    async def _take_answers(
        batch: list[SentRequest], connection: ClientConnection, cluster: GatewayCluster
    ) -> bool:
        """Record the answers to a batch in their order; false where the connection ended before the last."""
        loop, answered_at = asyncio.get_running_loop(), 0.0
        for place, request in enumerate(batch):
            answer = await connection.read_answer()
            request.previous_answered_at, answered_at = answered_at, loop.time()
            if not answer:
                crossing = answered_at - request.sent_at < CROSSING + cluster.timing_allowance()
                for unanswered in batch[place:]:
                    # Closed between batches: the gateway has read none of these.
                    unanswered.crossed_close = not place and crossing
                return False
            request.answers.append(answer)
            request.answered_at = answered_at
        return True

    def _judge(self, cluster: GatewayCluster, exit_status: int | None) -> None:
        result, log = self.result, cluster.log(0)
        if exit_status not in (None, 0):
            result.violations.append(f"exit status {exit_status}")
        result.outcomes["answered at the shutdown deadline"] += log.count("run out")
        if "Traceback" in log:
            result.violations.append(f"log: {log[-300:]!r}")
        result.max_loop_lag = cluster.max_loop_lag
        if result.max_loop_lag > MAX_PAUSE:
            result.outcomes[INCONCLUSIVE] += 1
        else:
            judge = SoakJudge(result, cluster.timing_allowance(), self._connections_limited)
            judge.judge(self._requests, cluster)


async def soak(first: int, seeds: int, jobs: int) -> list[SoakResult]:
    """The results of runs with these seeds, `jobs` at a time; each is printed when it is there."""
    semaphore = asyncio.Semaphore(jobs)

    async def play_seed(seed: int) -> SoakResult:
        for _ in range(MAX_RUNS):
            run = SoakRun(seed)
            async with semaphore:
                await run.play()
            if not run.result.outcomes[INCONCLUSIVE]:
                break
        result = run.result
        lag = f"this process held up for {result.max_loop_lag:.3f} s at most"
        print(f"seed {seed}: {dict(result.outcomes)}, {lag}", *result.violations[:5], sep="\n  ", flush=True)
        return result

    return await asyncio.gather(*(play_seed(seed) for seed in range(first, first + seeds)))


def main() -> int:
    """Returns 1 where a run broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    results = uvloop.run(soak(options.first, options.seeds, options.jobs))
    broken = [result.seed for result in results if result.violations]
    total: Counter[str] = sum((result.outcomes for result in results), Counter())
    print(f"{len(results)} runs, {dict(total)}; broken: {broken or 'none'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
