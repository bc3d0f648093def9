"""Clients leave while the gateway has not read all that they sent: further attempts begin long after the close."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))
from kit import (  # noqa: E402
    SMALL_PLAN, Agent, Counter, Front, Gateway, RateServer, Record, now, request_class, run_case, say, settings,
    value_answer,
)

SERVERS = 8
RESET_SHARE, RESET_AFTER_S = 8, 0.3  # one of eight requests is reset after this time: "some are reset under requests"
ROUNDS, CLIENTS = 8, 2  # clients of a round, which send and leave at the same time
COMMANDS, BODY_BYTES = 300, 8_000  # of a client
STAY_S = 0.05  # from its sending to its close
BOUND_S = 0.1  # after the close, from which no attempt may begin
MARGIN_S = 0.05  # what this process may see late
QUIET_S = 2.5  # after each round


async def case(record: Record, trouble: bool, scratch: str) -> bool:
    servers = [RateServer(f"s-{number}", "127.0.0.1", record) for number in range(SERVERS)]
    count = 0

    async def serve(attempt) -> bytes | None:
        nonlocal count
        if attempt.words[0] == b"CALL.POST":
            count += 1
            if count % RESET_SHARE == 0:
                await asyncio.sleep(RESET_AFTER_S)
                attempt.ran = True
                return None
        await asyncio.sleep(0.6)
        attempt.ran = True
        return value_answer(b"for " + attempt.id)

    for server in servers:
        server.serve = serve
        await server.listen()
    agent, counter, front = Agent(servers, record), Counter(), Front(record)
    await agent.listen()
    await counter.listen()
    classes = [request_class("quote", "repeatable"), request_class("exchange", "by_key", 5.0, goalTimeUs=2_500_000)]
    document = {
        "discovery": agent.address, "counter": counter.address, "seed": "8c1f30d27a5be964", "known": agent.whole(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(classes, [SMALL_PLAN], 3, 0),
    }
    gateway = Gateway("n0", scratch, document, record)
    gateway.start()
    await gateway.ready()

    async def usual_traffic(turns: int, first_customer: int) -> None:
        for turn in range(turns):
            customers = [first_customer + 4 * turn + n for n in range(4)]
            await asyncio.gather(*[front.request(gateway, "quote", True, 8.0, customer) for customer in customers])

    closes: dict[bytes, float] = {}  # when the client of a request closed its connection

    async def leave(number: int) -> None:
        writer = (await asyncio.open_connection("127.0.0.1", gateway.port))[1]
        ids, data = [], b""
        for n in range(COMMANDS):
            options = f"units=1,spread=2,first=0,k={number * COMMANDS + n:016x}"
            customer = 10_000 + number * COMMANDS + n
            request_id, command = front.command("exchange", False, 8.0, customer, options, b"B" * BODY_BYTES)
            ids.append(request_id)
            data += command
        writer.write(data)
        record(f"client {number} sends {COMMANDS} commands, {ids[0].decode()} to {ids[-1].decode()}")
        await asyncio.sleep(STAY_S if trouble else QUIET_S * 2)
        writer.transport.abort()
        closed = now()
        record(f"client {number} closes its connection")
        closes.update(dict.fromkeys(ids, closed))

    await usual_traffic(10, 0)
    for turn in range(ROUNDS):
        await asyncio.gather(*[leave(CLIENTS * turn + n) for n in range(CLIENTS)])
        await asyncio.sleep(QUIET_S)
        await usual_traffic(2, 100 + 50 * turn)

    attempts = [a for server in servers for a in server.attempts if a.id in closes]
    late = [a for a in attempts if a.first_byte > closes[a.id] + BOUND_S + MARGIN_S]
    for attempt in late:
        record(f"{attempt.id.decode()} began at {attempt.server.name} {attempt.first_byte - closes[attempt.id]:.3f} s after the close")
    after = sorted(round(a.first_byte - closes[a.id], 3) for a in late)
    say(record, f"{len(attempts)} attempts for {ROUNDS * CLIENTS} clients that left, {len(late)} of them too late: {after}")
    return not late


run_case(str(FOLDER), case)
