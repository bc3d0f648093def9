"""The process of the stand-ins. It reads commands from standard input and replies on standard output.

The first command must be StartStandIns. The process exits when its input is closed.
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
    GetStats,
    RemovedEndpoints,
    RemoveEndpoints,
    Reply,
    SetCounterMode,
    SetEndpointChurn,
    SilenceDiscovery,
    StandInAddresses,
    StandInCommand,
    StandInStats,
    StartStandIns,
)
from rushroad.bench.stand_ins.counter import Counter
from rushroad.bench.stand_ins.discovery import Discovery
from rushroad.bench.stand_ins.rate_servers import RateServers
from rushroad.bench.worker import serve_commands


class StandIns:
    """The stand-ins for rate servers, discovery and the counter, controlled by commands."""

    def __init__(self, command: StartStandIns) -> None:
        loop = asyncio.get_running_loop()
        self._command = command
        self.rate_servers = RateServers(command.work_s, command.load_reports, loop)
        self.counter = Counter(command.counter_shards, loop)
        self.discovery: Discovery

    async def start(self) -> StandInAddresses:
        """Start listening, and return the addresses."""
        await self.rate_servers.listen()
        command, address = self._command, self.rate_servers.address
        self.discovery = Discovery(
            command.rate_servers,
            address,
            self.rate_servers.record_removal,
            command.indent,
            random.Random(command.seed),
            asyncio.get_running_loop(),
        )
        return StandInAddresses(
            discovery=await self.discovery.listen(),
            counter=await self.counter.listen(),
            first_rate_server=address(0),
        )

    def execute(self, command: StandInCommand) -> Reply:
        """Execute a command and return its reply; raises ValueError for a second StartStandIns."""
        match command:
            case RemoveEndpoints():
                return self._remove(command.count)
            case SetEndpointChurn():
                self.discovery.set_churn(command.changes_per_s)
            case SilenceDiscovery():
                self.discovery.set_silent(command.on)
            case SetCounterMode():
                self.counter.set_mode(command.mode, command.shards, command.delay_s)
            case GetStats():
                self.discovery.stats.open_watches = len(self.discovery.watches)
                return StandInStats(
                    rate_servers=self.rate_servers.stats,
                    counter=self.counter.stats,
                    discovery=self.discovery.stats,
                )
            case StartStandIns():
                raise ValueError("StartStandIns received twice: the stand-ins are already running")
        return Done()

    def _remove(self, count: int) -> RemovedEndpoints:
        """Remove endpoints, beginning with the busier half of those with attempts.

        So a gateway loses some of the endpoints that it uses, and keeps others.
        """
        used = [index for index, _ in self.rate_servers.attempts_by_index.most_common()]
        removed = self.discovery.remove(count, used[: (len(used) + 1) // 2])
        return RemovedEndpoints(removed=len(removed), used=len(set(removed) & set(used)))


async def serve() -> None:
    """Run the stand-ins until the input is closed; raises ValueError if the first command is another one."""
    stand_ins: StandIns | None = None
    async for command, respond in serve_commands(STAND_IN_DECODER):
        if stand_ins is not None:
            respond(stand_ins.execute(command))
        elif isinstance(command, StartStandIns):
            stand_ins = StandIns(command)
            respond(await stand_ins.start())
            gc.freeze()  # the endpoint list is long-lived: garbage collection need not traverse it
        else:
            raise ValueError(f"first command must be StartStandIns, got {command!r}")


if __name__ == "__main__":
    uvloop.run(serve())
    sys.exit(0)
