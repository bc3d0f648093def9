"""The stand-ins' process: an order a line on standard input, an answer a line on standard output, as JSON.

The first order tells the sizes; its answer tells the addresses. The process ends when its input does.
"""

from __future__ import annotations

import asyncio
import gc
import random
import sys
from typing import Any

import uvloop

from rushroad.bench.stand_ins.counter import Counter, Mode
from rushroad.bench.stand_ins.discovery import Discovery
from rushroad.bench.stand_ins.rate_servers import RateServers
from rushroad.bench.worker import serve_orders


class StandIns:
    """Rate servers, discovery and the counter, and the orders for them."""

    def __init__(self, order: dict[str, Any]) -> None:
        loop = asyncio.get_running_loop()
        self.servers = RateServers(order["work_s"], order["reports"], loop)
        self.counter = Counter(order["shards"], loop)
        self._order = order
        self.discovery: Discovery

    async def start(self) -> dict[str, Any]:
        """Listen; returns the addresses, and that of rate server 0."""
        await self.servers.listen()
        order, loop = self._order, asyncio.get_running_loop()
        address, gone = self.servers.address, self.servers.told_gone
        chance = random.Random(order["seed"])
        self.discovery = Discovery(order["servers"], address, gone, order["indent"], chance, loop)
        return {
            "discovery": await self.discovery.listen(),
            "counter": await self.counter.listen(),
            "first_server": address(0),
        }

    def do(self, order: dict[str, Any]) -> dict[str, Any]:
        """One order; its answer. KeyError or ValueError where there is no such order."""
        match order["do"]:
            case "remove":
                return self._remove(order["count"])
            case "roll":
                self.discovery.roll(order["per_s"])
            case "silence":
                self.discovery.silence(order["on"])
            case "counter":
                self.counter.set_mode(Mode(order["mode"]), order["shards"], order.get("delay_s", 0.0))
            case "figures":
                return {
                    "servers": {**self.servers.figures, "open": self.servers.open},
                    "counter": dict(self.counter.figures),
                    "discovery": {**self.discovery.figures, "open": len(self.discovery.watches)},
                }
            case unknown:
                raise ValueError(f"no order {unknown!r}")
        return {}

    def _remove(self, count: int) -> dict[str, Any]:
        """Half of the servers that have had attempts go first, so that a gateway must leave what it uses."""
        used = [server for server, _ in self.servers.attempts_at.most_common()]
        gone = self.discovery.remove(count, used[: (len(used) + 1) // 2])
        return {"gone": len(gone), "used": len(set(gone) & set(used))}


async def serve() -> None:
    """Stand in until the input ends."""
    stand_ins: StandIns | None = None
    async for order, answer in serve_orders():
        if stand_ins is None:
            stand_ins = StandIns(order)
            answer(await stand_ins.start())
            gc.freeze()  # the list lives on: collections need not look at it again
        else:
            answer(stand_ins.do(order))


if __name__ == "__main__":
    uvloop.run(serve())
    sys.exit(0)
