"""Bad clients send hundreds of commands at once, again and again: usual clients are answered long after their time."""

import asyncio
import subprocess
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))
from kit import (  # noqa: E402
    SMALL_PLAN, Agent, Counter, Front, Gateway, RateServer, Record, client_connections, now, request_class, run_case, say, settings,
)

BAD_CLIENTS, BAD_PROCESSES = 240, 2
BEFORE_S, FLOOD_S, JUDGED_FROM_S = 4.0, 20.0, 2.0
PER_S = 5.0  # requests of usual clients
WAIT_S = 1.25  # suva-campus: 50 to 100% of 2.5 s
LATE_S = 0.55  # "up to half a second after its time", and 50 ms on sockets


async def case(record: Record, trouble: bool, scratch: str) -> bool:
    servers = [RateServer(f"s-{number}", "127.0.0.1", record) for number in range(9)]
    for server in servers:
        server.work_s = 0.08
        await server.listen()
    agent, counter, front = Agent(servers, record), Counter(), Front(record)
    await agent.listen()
    await counter.listen()
    classes = [request_class("slot-check", "repeatable", 2.0, goalTimeUs=750_000, giveUpUs=2_500_000)]
    document = {
        "discovery": agent.address, "counter": counter.address, "seed": "8c1f30d27a5be964", "known": agent.whole(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(classes, [SMALL_PLAN], 3, 0),
    }
    gateway = Gateway("n0", scratch, document, record)
    gateway.start()
    await gateway.ready()
    held = 0  # connections of all clients, at most
    lag = 0.0  # of this process: the time by which it may see an answer late

    async def measure_lag() -> None:
        nonlocal lag
        while True:
            before = now()
            await asyncio.sleep(0.01)
            lag = max(lag, now() - before - 0.01)

    asyncio.ensure_future(measure_lag())
    tasks: list[asyncio.Task] = []

    async def usual_traffic(seconds: float) -> None:
        nonlocal held
        ends = now() + seconds
        while now() < ends:
            held = max(held, client_connections(gateway.port))
            request = front.request(gateway, "slot-check", True, WAIT_S, len(tasks) % 40, "units=1,spread=2,first=0", slack_s=10.0)
            tasks.append(asyncio.ensure_future(request))
            await asyncio.sleep(1 / PER_S)

    await usual_traffic(BEFORE_S)
    bad: list[subprocess.Popen[bytes]] = []
    try:
        if trouble:
            record(f"{BAD_CLIENTS} bad clients come")
            for number in range(BAD_PROCESSES):
                arguments = [str(gateway.port), str(BAD_CLIENTS // BAD_PROCESSES), str(FLOOD_S + 1), str(number + 1)]
                program = str(FOLDER.parent / "kit-2" / "bad_clients.py")
                bad.append(subprocess.Popen([sys.executable, "-B", program, *arguments], stderr=subprocess.DEVNULL))
        await asyncio.sleep(JUDGED_FROM_S)
        first = len(tasks)
        await usual_traffic(FLOOD_S - JUDGED_FROM_S)
        await asyncio.wait(tasks)
    finally:
        for process in bad:
            process.kill()
            process.wait()
    judged = [task.result() for task in tasks[first:]]
    late = [sent for sent in judged if not sent.answer or sent.answered_at > sent.sent_at + WAIT_S + LATE_S + 2 * lag]
    for sent in late:
        record(f"lost: {sent.id.decode()}, answered {sent.answered_at - sent.sent_at:.3f} s after it was sent")
    longest = max(sent.answered_at - sent.sent_at for sent in judged)
    never = sum(not sent.answer for sent in judged)
    say(record, f"{len(judged)} requests of usual clients, {len(late)} answered over {LATE_S} s after their time or never "
                f"({never}); longest {longest:.2f} s; this process lagged {lag:.3f} s at most")
    say(record, f"clients held {held} connections at most, {1024 // 3} are allowed")
    if held > 1024 // 3:
        raise RuntimeError("clients held too many connections")
    return not late


run_case(str(FOLDER), case)
