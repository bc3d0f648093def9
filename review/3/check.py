"""Slow discovery: does a rate server that drains still get requests long after the change counts as told?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import Client, Gateway, Record, call, plan, platform, request_class, run_case, settings  # noqa: E402

ANSWER_DELAY_S = 3.0  # of discovery to each call; the pages set no figure for "slow"
DRAIN_AFTER_S = 10.0  # from the moment in which the gateway is ready
TOLD_AFTER_S = 6.0  # "a change counts as told at the latest 6 s after discovery had it and could be reached"
GRACE_S = 0.5 + 0.05  # `safety.stopSendingWithinUs`; "Each time limit is 50 ms longer"
WATCHED_S = 6.0  # how long the rate servers are watched after that
INTERVAL_S = 0.05  # between requests
CLASSES = [request_class("quote", "repeatable")]
PLANS = [plan("small", quotaRate=200.0, mostAtOnce=400.0)]


async def send_requests(gateway: Gateway, record: Record, until: float) -> None:
    """Send one request after the other."""
    client = await Client.connect(gateway)
    number = 0
    while time.monotonic() < until:
        request_id, number = f"{number:016x}", number + 1
        client.writer.write(call(request_id, "quote", "small", 7, 10_000))
        answer = await client.read_answer()
        record(f"{request_id} answered {answer.decode()}")
        if not answer:
            raise ConnectionError("the gateway closed the connection")
        await asyncio.sleep(INTERVAL_S)
    client.writer.close()


async def case(record: Record, trouble: bool) -> list[str]:
    async with platform(record, server_count=4) as (servers, discovery, counter, folder, gateways):
        discovery.answer_delay_s = ANSWER_DELAY_S if trouble else 0.0
        gateway = Gateway("n0", discovery, counter, settings(1, 0, CLASSES, PLANS), record, folder)
        gateways.append(gateway)
        gateway.start()
        await gateway.wait_until_ready()
        drains_at = time.monotonic() + DRAIN_AFTER_S
        limit = drains_at + TOLD_AFTER_S + GRACE_S
        load = asyncio.ensure_future(send_requests(gateway, record, limit + WATCHED_S))
        await asyncio.sleep(drains_at - time.monotonic())
        draining = servers[0]
        draining.lifecycle = "DRAINING"
        discovery.publish(draining)
        drained_at = time.monotonic()
        await load
        limit = drained_at + TOLD_AFTER_S + GRACE_S
        late = [attempt for attempt in draining.attempts if attempt.received_at > limit]
        record(
            f"discovery got {discovery.calls} calls and answered {discovery.answered} of them; {draining.name} got "
            f"{len(draining.attempts)} requests, {len(late)} of them later than {TOLD_AFTER_S + GRACE_S} s after "
            "discovery had its drain"
        )
        if not late:
            return []
        return [
            f"{draining.name} got {len(late)} requests, the last {late[-1].received_at - drained_at:.2f} s after "
            "discovery had its drain"
        ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
