"""A planned restart while rate servers hang: SIGKILL finds commands unanswered that came 1 s after SIGTERM."""

import asyncio
import fcntl
import signal
import struct
import sys
import termios
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))
from kit import (  # noqa: E402
    SMALL_PLAN, Agent, client_connections, Counter, Front, Gateway, RateServer, Record, now, read_answer, request_class, run_case, say,
    settings, value_answer,
)

SERVERS, HANGING = 14, 6  # BRIEF: 11 to 14 on the busiest days; a quarter to a half of them hang
CLIENTS, COMMANDS = 64, 900  # connections, and commands on each at once ("hundreds of commands at once")
SENT_AFTER_S = 1.0  # SIGTERM; the rule binds what comes more than 0.7 s after it
SIGKILL_AFTER_S = 3.72  # the longest deadline, counted as 3 s, and 0.7 s more
WAIT_S = 10.0


def unacknowledged(writer: asyncio.StreamWriter) -> int:
    descriptor = writer.get_extra_info("socket").fileno()
    waiting = struct.unpack("i", fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4)))[0]
    return waiting + writer.transport.get_write_buffer_size()


async def case(record: Record, trouble: bool, scratch: str) -> bool:
    servers = [RateServer(f"s-{number}", "127.0.0.1", record) for number in range(SERVERS)]
    hang = False

    async def serve(attempt) -> bytes | None:
        if hang and attempt.server in servers[:HANGING]:
            await asyncio.Event().wait()
        await asyncio.sleep(0.25)
        attempt.ran = True
        return value_answer(b"for " + attempt.id)

    for server in servers:
        server.serve = serve
        await server.listen()
    agent, counter, front = Agent(servers, record), Counter(), Front(record)
    await agent.listen()
    await counter.listen()
    classes = [request_class("quote", "repeatable"), request_class("pay", "once", 3.0, lateWorth=0.2)]
    document = {
        "discovery": agent.address, "counter": counter.address, "seed": "8c1f30d27a5be964", "known": agent.whole(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(classes, [SMALL_PLAN], 3, 0),
    }
    gateway = Gateway("n0", scratch, document, record)
    gateway.start()
    await gateway.ready()
    for turn in range(70):  # usual traffic before
        await asyncio.gather(*[front.request(gateway, "quote", True, WAIT_S, 24 * turn % 480 + n) for n in range(24)])

    hang = trouble
    if trouble:
        record(f"{HANGING} of {SERVERS} rate servers hang from now on")
    connections = [await asyncio.open_connection("127.0.0.1", gateway.port, limit=1 << 20) for _ in range(CLIENTS)]
    sent, answered, ended = [0] * CLIENTS, [0] * CLIENTS, [False] * CLIENTS

    async def read(client: int) -> None:
        while await read_answer(connections[client][0]):
            answered[client] += 1
        ended[client] = True

    def send(client: int, count: int, first_customer: int) -> None:
        commands = [
            front.command("pay", False, WAIT_S, first_customer + n % 8, "units=1,spread=2,first=0", b"BODY")[1]
            for n in range(count)
        ]
        connections[client][1].write(b"".join(commands))
        sent[client] += count
        record(f"client {client} sends {count} commands at once")

    readers = [asyncio.ensure_future(read(client)) for client in range(CLIENTS)]
    for client in range(CLIENTS):
        send(client, 4, 1_000 + 8 * client)
    await asyncio.sleep(0.1)
    held = client_connections(gateway.port)
    terminated = now()
    if trouble:
        gateway.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    later = [client for client in range(CLIENTS) if not ended[client]]  # clients send on what stays open
    for client in later:
        send(client, COMMANDS, 5_000 + 8 * client)
    await asyncio.sleep(max(0.0, terminated + 2.5 - now()))
    taken = [client for client in later if not ended[client] and not unacknowledged(connections[client][1])]
    record(f"all that was sent on {len(taken)} connections has been acknowledged by the gateway's machine")
    if trouble:
        await asyncio.sleep(max(0.0, terminated + SIGKILL_AFTER_S - now()))
        at_kill = gateway.process.poll()
        gateway.kill()
        record("SIGKILL" if at_kill is None else f"the gateway had ended with {at_kill}")
    else:
        await asyncio.sleep(WAIT_S)
    await asyncio.wait(readers, timeout=2.0)
    missing = {client: sent[client] - answered[client] for client in taken}
    for client, count in missing.items():
        record(f"client {client}: {sent[client]} sent, {answered[client]} answered, {count} never")
    say(record, f"{len(taken)} connections with {COMMANDS} commands sent {SENT_AFTER_S:.1f} s after: "
                f"{sum(missing.values())} commands never answered, {sorted(missing.values())}")
    say(record, f"clients held {held} connections at SIGTERM, at most 341 are allowed")
    if held > 341:
        raise RuntimeError("clients held too many connections")
    if not taken:
        raise RuntimeError("no connection stayed open")
    return not any(missing.values())


run_case(str(FOLDER), case)
