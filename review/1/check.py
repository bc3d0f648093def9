"""Slow discovery during a rolling deploy: is an exchange recorded twice?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import (  # noqa: E402
    Client,
    Gateway,
    RateServer,
    Record,
    call,
    plan,
    platform,
    request_class,
    run_case,
    settings,
)

ANSWER_DELAY_S = 3.0  # of discovery to each call; the pages set no figure for "slow"
SERVERS = 8  # four in cell 1, four in cell 2; "one of eight rate servers is slow or failing": s-0
REPLACED = (2, 3)  # of cell 1, one after the other, by servers of cell 3 at their addresses
DEPLOY_AFTER_S = 4.0  # from the moment in which the gateway is ready
DRAIN_S = 2.0  # "drain time, s 2 to 6"
TOLD_AFTER_S = 6.0  # "a change counts as told at the latest 6 s after discovery had it and could be reached"
GRACE_S = 0.5 + 0.05  # as for drains; "Each time limit is 50 ms longer"
WATCHED_S = 16.0  # how long requests are sent after all is told
INTERVAL_S = 0.05  # between requests
WINDOW_S = 6.0
CLASSES = [
    request_class("quote", "repeatable"),
    request_class("exchange", "by_key", group="cell", windowUs=int(WINDOW_S * 1e6), goalTimeUs=2_500_000, gain=5.0),
]
PLANS = [plan("small", quotaRate=200.0, mostAtOnce=400.0)]


class Ledger:
    """What the cells have recorded: the servers of one cell drop a repeat of a key for the window."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._known: dict[tuple[int, str], float] = {}  # cell and key to the time
        self.recorded: dict[str, list[tuple[float, RateServer]]] = {}  # by key

    def run(self, server: RateServer, key: str) -> None:
        """Run an exchange at a server."""
        now = time.monotonic()
        if now - self._known.get((server.cell, key), -WINDOW_S) < WINDOW_S:
            self._record(f"{server.name} (cell {server.cell}) drops the repeat of {key}")
            return
        self._known[server.cell, key] = now
        self.recorded.setdefault(key, []).append((now, server))
        self._record(f"{server.name} (cell {server.cell}) records {key}")


async def send_requests(gateway: Gateway, record: Record, until: float) -> None:
    """Send one exchange after the other, each with a key of its own; none is repeated by the client."""
    client = await Client.connect(gateway)
    number = 0
    while time.monotonic() < until:
        request_id, number = f"{number:016x}", number + 1
        client.writer.write(call(request_id, "exchange", "small", 7, 10_000, k=request_id, body=b"BODY"))
        answer = await client.read_answer()
        record(f"{request_id} answered {answer.decode()}")
        if not answer:
            raise ConnectionError("the gateway closed the connection")
        await asyncio.sleep(INTERVAL_S)
    client.writer.close()


async def case(record: Record, trouble: bool) -> list[str]:
    async with platform(record, SERVERS, service_time_s=0.05) as (servers, discovery, counter, folder, gateways):
        ledger = Ledger(record)
        for number, server in enumerate(servers):
            server.cell, server.on_run = 1 if number < SERVERS // 2 else 2, ledger.run
        servers[0].failing = True  # it runs what it gets, and answers with an error
        discovery.answer_delay_s = ANSWER_DELAY_S if trouble else 0.0
        gateway = Gateway("n0", discovery, counter, settings(1, 0, CLASSES, PLANS), record, folder)
        gateways.append(gateway)
        gateway.start()
        await gateway.wait_until_ready()
        deploy_s = len(REPLACED) * (DRAIN_S + 1.0)
        until = time.monotonic() + DEPLOY_AFTER_S + deploy_s + TOLD_AFTER_S + GRACE_S + WATCHED_S
        load = asyncio.ensure_future(send_requests(gateway, record, until))
        await asyncio.sleep(DEPLOY_AFTER_S)
        for number in REPLACED:
            old, new = servers[number], RateServer(f"s-{SERVERS + number}", record, service_time_s=0.05)
            old.lifecycle = "DRAINING"
            discovery.publish(old)
            await asyncio.sleep(DRAIN_S)
            old.lifecycle = "DELETED"
            old.close()
            new.cell, new.on_run, new.started_at_ms = 3, ledger.run, int(time.time() * 1000)
            await new.listen(old.port)
            servers.append(new)
            discovery.publish(old, new)
            record(f"{new.name} of cell 3 has started at the address of {old.name} of cell 1, which has gone")
            await asyncio.sleep(1.0)
        told_at = time.monotonic() + TOLD_AFTER_S
        await load

        twice = {
            key: runs
            for key, runs in ledger.recorded.items()
            if len(runs) > 1 and runs[1][0] > told_at + GRACE_S
        }
        for key, runs in twice.items():
            text = ", ".join(f"{server.name} (cell {server.cell})" for _, server in runs)
            record(f"{key} was recorded by {text}", runs[1][0])
        record(f"discovery got {discovery.calls} calls and answered {discovery.answered} of them")
        if not twice:
            return []
        return [
            f"{len(twice)} of {len(ledger.recorded)} exchanges were recorded twice, later than "
            f"{TOLD_AFTER_S + GRACE_S} s after discovery had the whole deploy"
        ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
