"""A seeded soak: a real gateway under load, signals in series, a stop, and the kill at the page's earliest.

Every rule is judged from outside, by what clients sent and got and by what came to rate servers:

    python -m tests.integration.soak --seeds 50 --first 1 --jobs 4
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from collections import Counter, defaultdict
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from rushroad.bench.commands import CounterMode
from tests.support.gateway_cluster import TICK, Client, World, call

KILL_LEAST, KILL_MORE = 3.0, 0.7  # seconds: SIGKILL comes that long after SIGTERM at the earliest
ANSWER_SLACK = 0.5  # seconds after its time from which a request is lost
TOLD_SLACK = 0.15  # seconds by which the time told may go beyond what is left
DRAIN_GRACE = 0.55  # seconds after a change was told in which sends must have stopped
TRIES = 3  # of a run that says nothing, as the machine held this process up
CROSSING = 0.1  # seconds between a write and the end of its connection in which they may cross
HELD = 0.15  # seconds that a gateway may be held up; deadlines, windows and the grace allow for that
CROWD = 120  # idle clients: more than the gateway has descriptors for clients
FEW_SOCKETS, SOCKETS = 128, 1_024
EFFECTS = {b"quote": "repeatable", b"order": "once", b"exchange": "by_key"}


@dataclass(slots=True)
class Sent:
    """One request of a client."""

    name: bytes
    at: float  # when its last byte was written
    patience: float  # seconds
    first: bool  # the first on its connection
    answers: list[bytes] = field(default_factory=list)
    answered_at: float = 0.0
    crossed: bool = False  # it was written at about the time at which the gateway ended its connection
    behind: float = 0.0  # when the answer before it on its connection came; the wait for that does not count


@dataclass
class Soak:
    """One run; `broken` holds what breaks a rule."""

    seed: int
    sent: dict[bytes, Sent] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.chance = Random(self.seed)
        self.deadline = self.chance.choice([0.6, 1.0, 2.0, 3.0, 10.0])
        self.crowd = self.chance.random() < 0.25
        self.late = self.slack = 0.0  # seconds: how late this process was at the most, and what that allows
        self.ends = False  # no more is sent

    def settings(self) -> dict[str, Any]:
        """Three classes, one of each effect."""
        micros = int(self.deadline * 1e6)
        return {
            "classes": [
                {
                    "name": name.decode(),
                    "effect": effect,
                    "gain": 1.0,
                    "giveUpUs": micros,
                    "group": "all",
                    "goalTimeUs": int(micros * 0.8),
                    "lateWorth": 0.0,
                    "windowUs": micros,
                    "streamed": False,
                }
                for name, effect in EFFECTS.items()
            ],
        }

    async def play(self) -> None:
        """The whole run."""
        with tempfile.TemporaryDirectory() as folder:
            sockets = FEW_SOCKETS if self.crowd else SOCKETS
            work = self.chance.choice([0.005, 0.05, 0.2])
            world = World(Path(folder), servers=6, work=work, settings=self.settings(), sockets=sockets)
            async with world:
                await self._play(world)

    async def _play(self, world: World) -> None:
        chance, loop = self.chance, asyncio.get_running_loop()
        process = world.start()
        await world.ready()
        idle = [await world.connect() for _ in range(CROWD)] if self.crowd else []
        clients = [loop.create_task(self._use(world, n)) for n in range(chance.randrange(4, 20))]
        for _ in range(chance.randrange(1, 5)):
            await asyncio.sleep(chance.uniform(0.05, 0.5))
            await self._trouble(world)
        if chance.random() < 0.5:
            for server in world.rate_servers[: chance.randrange(1, 4)]:
                server.hangs = True
        kill_at = loop.time() + min(self.deadline, KILL_LEAST) + KILL_MORE
        process.send_signal(signal.SIGTERM)
        for _ in range(chance.randrange(4)):
            await asyncio.sleep(chance.uniform(0.0, 0.3))
            with suppress(ProcessLookupError):
                process.send_signal(chance.choice([signal.SIGHUP, signal.SIGHUP, signal.SIGTERM]))
        while loop.time() < kill_at and process.poll() is None:
            await asyncio.sleep(TICK)
        self.ends = True
        ended = process.poll()
        process.kill()
        process.wait()
        await asyncio.wait(clients)
        for client in idle:
            client.writer.close()
        if ended not in (None, 0):
            self.broken.append(f"exit status {ended}")
        self.outcomes["answered by the guard"] += world.log(0).count("run out")
        if "Traceback" in world.log(0):
            self.broken.append(f"log: {world.log(0)[-300:]!r}")
        self.late, self.slack = world.late, world.machine()
        if self.late > HELD:  # the machine held this process up for longer than the page allows a gateway
            self.outcomes["void"] += 1
        else:
            self._judge(world)

    async def _trouble(self, world: World) -> None:
        """New configurations, a drain, a hang, resets, a gateway held up, a counter that is away."""
        process, server = world.processes[0], self.chance.choice(world.rate_servers)
        match self.chance.randrange(6):
            case 0:
                for _ in range(self.chance.randrange(1, 6)):
                    world.configure(0)
                    process.send_signal(signal.SIGHUP)
            case 1 if sum(s.lifecycle == "SERVING" for s in world.rate_servers) > 3:
                server.lifecycle = "DRAINING"
                world.agent.tell(server)
                server.told_off_at = asyncio.get_running_loop().time()
            case 2:
                server.hangs = not server.hangs
            case 3:
                for connection in list(server.connections):
                    connection.transport.abort()
            case 4:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(HELD)
                process.send_signal(signal.SIGCONT)
            case 5:
                world.counter.set_mode(
                    self.chance.choice(list(CounterMode)), 1, self.chance.uniform(0.01, 0.2)
                )

    async def _use(self, world: World, number: int) -> None:
        """One client: uses its connection as long as it stays open, then opens another."""
        chance, fresh = Random(self.seed * 1_000 + number), True
        client: Client | None = None
        while not self.ends:
            if client is None:
                try:
                    client, fresh = await world.connect(), True
                except OSError:
                    await asyncio.sleep(TICK)
                    continue
            size = chance.choice([1, 1, 1, 3, 80])
            batch = [self._request(chance, number, fresh and n == 0) for n in range(size)]
            client.writer.write(b"".join(text for text, _ in batch))
            fresh, before = False, 0.0
            for place, (_, request) in enumerate(batch):
                answer = await client.answer()
                sent = self.sent[request]
                sent.behind, before = before, asyncio.get_running_loop().time()
                if not answer:
                    crossing = before - sent.at < CROSSING + world.machine()
                    for _, unanswered in batch[place:]:
                        # The connection ended between requests, and none of these was read.
                        self.sent[unanswered].crossed = not place and crossing
                    client.writer.close()
                    client = None
                    break
                sent.answers.append(answer)
                sent.answered_at = before
            if client is not None and chance.random() < 0.1:
                await asyncio.sleep(chance.uniform(0, 0.3))
        if client is not None:
            client.writer.close()

    def _request(self, chance: Random, number: int, first: bool) -> tuple[bytes, bytes]:
        name = chance.choice(list(EFFECTS))
        patience = self.deadline * chance.uniform(0.2, 1.0)
        identifier = len(self.sent) + 1
        text = call(identifier, max(1, int(patience * 1e3)), tenant=number, name=name)
        request = b"%016x" % identifier
        self.sent[request] = Sent(name, asyncio.get_running_loop().time(), patience, first)
        return text, request

    def _judge(self, world: World) -> None:
        attempts = defaultdict(list)
        for attempt in world.attempts():
            attempts[attempt.request].append(attempt)
        for request, sent in self.sent.items():
            mine = attempts[request]
            self._judge_answer(request, sent, bool(mine))
            if EFFECTS[sent.name] == "once" and len(mine) > 1:
                self.broken.append(f"{request!r} sent {len(mine)} times")
            for attempt, following in zip(mine, mine[1:], strict=False):
                if following.at < attempt.ended_at - self.slack:
                    self.broken.append(f"{request!r} has two attempts out")
            for attempt in mine:
                over = attempt.at + attempt.told / 1e3 - sent.at - sent.patience
                if over > TOLD_SLACK + self.slack:
                    self.broken.append(f"{request!r} told {over:.3f} s more than is left")
        for server in world.rate_servers:
            late = [a for a in server.attempts if a.at > server.told_off_at + DRAIN_GRACE + self.slack]
            if late:
                self.broken.append(f"{server.name} got {len(late)} attempts after its grace")

    def _judge_answer(self, request: bytes, sent: Sent, attempted: bool) -> None:
        if not sent.answers:
            crossed = sent.crossed and not attempted and (not sent.first or self.crowd)
            self.outcomes["crossed the end" if crossed else "lost"] += 1
            if not crossed:
                self.broken.append(f"{request!r} has no answer (first {sent.first}, attempted {attempted})")
            return
        answer = sent.answers[0]
        right = answer == request or answer.startswith((b"-BUSY", b"-ERR failed"))
        if not right:
            self.broken.append(f"{request!r} got {answer!r}")
        self.outcomes["served" if answer == request else answer.split(b" ")[0].decode()] += 1
        late = sent.answered_at - max(sent.at + sent.patience, sent.behind)
        if late > ANSWER_SLACK + self.slack:
            self.broken.append(f"{request!r} answered {late:.3f} s after its time")


async def soak(first: int, seeds: int, jobs: int) -> list[Soak]:
    """Runs with these seeds, `jobs` at a time."""
    gate = asyncio.Semaphore(jobs)

    async def one(seed: int) -> Soak:
        for _ in range(TRIES):
            run = Soak(seed)
            async with gate:
                await run.play()
            if not run.outcomes["void"]:
                break
        said = f"seed {run.seed}: {dict(run.outcomes)}, this process late by {run.late:.3f} s at the most"
        print(said, *run.broken[:5], sep="\n  ", flush=True)
        return run

    return await asyncio.gather(*(one(seed) for seed in range(first, first + seeds)))


def main() -> int:
    """1 where a run broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    given = parser.parse_args()
    runs = uvloop.run(soak(given.first, given.seeds, given.jobs))
    broken = [run.seed for run in runs if run.broken]
    total: Counter[str] = sum((run.outcomes for run in runs), Counter())
    print(f"{len(runs)} runs, {dict(total)}; broken: {broken or 'none'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
