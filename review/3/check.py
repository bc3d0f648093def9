"""Bad clients that send long commands at once: does the gateway stay within its limit on memory?"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import Client, Gateway, Record, call, plan, platform, request_class, run_case, settings  # noqa: E402

SERVERS = 9  # "9 to 10 rate servers"
BAD_CLIENTS = int(os.environ.get("BAD_CLIENTS", "200"))
COMMANDS, BODY = 100, b"B" * 60_000  # "hundreds of commands at once"; "Values hold at most 64 KiB"
MEMORY_MB = 192  # "On scored days the limits are at most 192 MB"
LOAD_S = 20.0
WAIT_MS = 10_000
CLASSES = [
    request_class("quote", "repeatable"),
    request_class("exchange", "by_key", group="cell", goalTimeUs=2_500_000, gain=5.0),
]
PLANS = [plan("small", quotaRate=20.0, mostAtOnce=40.0)]


def memory_mib(gateway: Gateway) -> float:
    """Return the anonymous memory of the gateway's process; 0 if it has ended."""
    assert gateway.process is not None
    try:
        lines = Path(f"/proc/{gateway.process.pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return sum(int(line.split()[1]) for line in lines if line.startswith("RssAnon")) / 1024


async def enforce_limit(gateway: Gateway, record: Record, until: float) -> tuple[float, bool]:
    """Do as the platform does: over the limit, the gateway is killed. Return the peak and whether it was."""
    peak = reported = 0.0
    while time.monotonic() < until:
        peak = max(peak, memory_mib(gateway))
        if peak > reported + 20:
            record(f"gateway n0 uses {peak:.0f} MiB")
            reported = peak
        if peak > MEMORY_MB:
            gateway.signal(signal.SIGKILL)
            return peak, True
        await asyncio.sleep(0.005)
    return peak, False


async def usual_client(gateway: Gateway, record: Record, until: float) -> list[str]:
    """Send a request every 0.1 s; return those that got no answer."""
    client, number = await Client.connect(gateway), 0
    while time.monotonic() < until:
        request_id, number = f"{number:016x}", number + 1
        client.writer.write(call(request_id, "quote", "small", 7, WAIT_MS))
        answer = await client.read_answer()
        record(f"{request_id} answered {answer.decode() or 'by the end of the connection'}")
        if not answer:
            return [request_id]
        await asyncio.sleep(0.1)
    client.writer.close()
    return []


async def bad_client(gateway: Gateway, record: Record, number: int) -> None:
    """Send all commands at once, and read what is sent."""
    client, outcomes = await Client.connect(gateway), dict[str, int]()

    async def send() -> None:
        for index in range(COMMANDS):
            request_id = f"{(number + 1) << 32 | index:016x}"
            command = call(request_id, "exchange", "small", 16 + number, WAIT_MS, k=request_id, body=BODY)
            client.writer.write(command)
            await client.writer.drain()

    sending = asyncio.ensure_future(send())
    for _ in range(COMMANDS):
        if not (answer := await client.read_answer()):
            break
        word = answer.decode().split(" ")[0][:8]
        outcomes[word] = outcomes.get(word, 0) + 1
    sending.cancel()
    client.writer.close()
    record(f"bad client {number}: {outcomes or 'no answer'}")


async def case(record: Record, trouble: bool) -> list[str]:
    async with platform(record, SERVERS, service_time_s=0.25) as (servers, discovery, counter, folder, gateways):
        gateway = Gateway("n0", discovery, counter, settings(1, 0, CLASSES, PLANS), record, folder)
        gateways.append(gateway)
        gateway.start()
        await gateway.wait_until_ready()
        until = time.monotonic() + LOAD_S
        usual = asyncio.ensure_future(usual_client(gateway, record, until))
        limit = asyncio.ensure_future(enforce_limit(gateway, record, until))
        await asyncio.sleep(2.0)
        if trouble:
            record(f"{BAD_CLIENTS} bad clients send {COMMANDS} commands each, with values of {len(BODY)} bytes")
            await asyncio.gather(
                *(bad_client(gateway, record, number) for number in range(BAD_CLIENTS)), return_exceptions=True
            )
        peak, killed = await limit
        unanswered = await usual
        record(f"the peak was {peak:.0f} MiB of {MEMORY_MB}")
        if not killed:
            return []
        return [
            f"the gateway used {peak:.0f} MiB of {MEMORY_MB} and was killed; requests of the usual client that "
            f"got no answer: {len(unanswered)}"
        ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
