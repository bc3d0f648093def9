"""The stand-ins' process: commands on standard input, replies on standard output.

The first command is StartStandIns. The process ends when its input does.
"""

from __future__ import annotations

import asyncio
import gc
import random
import sys

import uvloop

from rushroad.bench.commands import (
    STAND_IN_DECODER,
    Done,
    GetFigures,
    RemovedEndpoints,
    RemoveEndpoints,
    Reply,
    RollEndpoints,
    SetCounterMode,
    SilenceDiscovery,
    StandInAddresses,
    StandInCommand,
    StandInFigures,
    StartStandIns,
)
from rushroad.bench.stand_ins.counter import Counter
from rushroad.bench.stand_ins.discovery import Discovery
from rushroad.bench.stand_ins.rate_servers import RateServers
from rushroad.bench.worker import serve_commands


class StandIns:
    """Rate servers, discovery and the counter, and the commands for them."""

    def __init__(self, command: StartStandIns) -> None:
        loop = asyncio.get_running_loop()
        self._command = command
        self.rate_servers = RateServers(command.work_s, command.load_reports, loop)
        self.counter = Counter(command.counter_shards, loop)
        self.discovery: Discovery

    async def start(self) -> StandInAddresses:
        """Listen; returns the addresses."""
        await self.rate_servers.listen()
        command, address = self._command, self.rate_servers.address
        self.discovery = Discovery(
            command.rate_servers,
            address,
            self.rate_servers.note_removed,
            command.indent,
            random.Random(command.seed),
            asyncio.get_running_loop(),
        )
        return StandInAddresses(
            discovery=await self.discovery.listen(),
            counter=await self.counter.listen(),
            first_rate_server=address(0),
        )

    def carry_out(self, command: StandInCommand) -> Reply:
        """Carry out a command after the first one; raises ValueError for a second StartStandIns."""
        match command:
            case RemoveEndpoints():
                return self._remove(command.count)
            case RollEndpoints():
                self.discovery.roll(command.changes_per_s)
            case SilenceDiscovery():
                self.discovery.set_silent(command.on)
            case SetCounterMode():
                self.counter.set_mode(command.mode, command.shards, command.delay_s)
            case GetFigures():
                self.discovery.figures.open_watches = len(self.discovery.watches)
                return StandInFigures(
                    rate_servers=self.rate_servers.figures,
                    counter=self.counter.figures,
                    discovery=self.discovery.figures,
                )
            case StartStandIns():
                raise ValueError("the stand-ins are started once, and run already")
        return Done()

    def _remove(self, count: int) -> RemovedEndpoints:
        """Remove endpoints; half of those with attempts go first, so that a gateway loses some it uses."""
        used = [number for number, _ in self.rate_servers.attempts_by_number.most_common()]
        removed = self.discovery.remove(count, used[: (len(used) + 1) // 2])
        return RemovedEndpoints(removed=len(removed), used=len(set(removed) & set(used)))


async def serve() -> None:
    """Stand in until the input ends; raises ValueError where the first command is not StartStandIns."""
    stand_ins: StandIns | None = None
    async for command, respond in serve_commands(STAND_IN_DECODER):
        if stand_ins is not None:
            respond(stand_ins.carry_out(command))
        elif isinstance(command, StartStandIns):
            stand_ins = StandIns(command)
            respond(await stand_ins.start())
            gc.freeze()  # the endpoint list stays: collections need not traverse it again
        else:
            raise ValueError(f"the first command must be StartStandIns, not {command!r}")


if __name__ == "__main__":
    uvloop.run(serve())
    sys.exit(0)
