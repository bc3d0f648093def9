"""Planned restart while rate servers hang: are requests that a client sent at once all answered?"""

from __future__ import annotations

import asyncio
import fcntl
import signal
import struct
import sys
import termios
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from stand_ins import Client, Gateway, Record, call, plan, platform, request_class, run_case, settings  # noqa: E402

SERVERS, HANGING = 4, 2  # "a quarter to a half of the rate servers hang just then"
CONNECTIONS, COMMANDS = 8, 500  # "clients send many commands at once", "hundreds of commands at once"
WAIT_MS = 10_000  # how long the clients wait: the give-up time of both classes
KILL_AFTER_S = 3.0 + 0.7  # "the longest deadline, counted as 3 s where it is longer, and 0.7 s more"
CLASSES = [
    request_class("quote", "repeatable"),
    request_class("exchange", "by_key", group="cell", goalTimeUs=2_500_000, gain=5.0),
]
PLANS = [plan("small", quotaRate=2_000.0, mostAtOnce=4_000.0)]


def command(client: int, index: int, request_id: str) -> bytes:
    """Return a client's command; one in four is an exchange, the others are quotes."""
    if index % 4 == 0:
        return call(request_id, "exchange", "small", 16 + client, WAIT_MS, k=request_id, body=b"BODY")
    return call(request_id, "quote", "small", 16 + client, WAIT_MS)


def unacknowledged_bytes(client: Client) -> int:
    """Return how many bytes of a client's connection the other end's machine has not acknowledged."""
    descriptor = client.writer.get_extra_info("socket").fileno()
    (count,) = struct.unpack("i", fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4)))
    return count


async def read_answers(client: Client, sent: list[str], answers: dict[str, tuple[bytes, float]]) -> float:
    """Read the answers in order; return when the connection ended, or when the last answer came."""
    for request_id in sent:
        answer = await client.read_answer()
        if not answer:
            break
        answers[request_id] = answer, time.monotonic()
    return time.monotonic()


async def case(record: Record, trouble: bool) -> list[str]:
    async with platform(record, SERVERS, service_time_s=0.25) as (servers, discovery, counter, folder, gateways):
        gateway = Gateway("n0", discovery, counter, settings(1, 0, CLASSES, PLANS), record, folder)
        gateways.append(gateway)
        gateway.start()
        await gateway.wait_until_ready()
        clients = [await Client.connect(gateway) for _ in range(CONNECTIONS)]
        answers: dict[str, tuple[bytes, float]] = {}

        # A quiet second, with one request at a time.
        for number in range(4):
            request_id = f"{number:016x}"
            clients[0].writer.write(call(request_id, "quote", "small", 7, WAIT_MS))
            await read_answers(clients[0], [request_id], answers)

        for server in servers[:HANGING] if trouble else []:
            server.hanging = True
            record(f"{server.name} hangs from now on")
        sent: list[list[str]] = []
        for number in range(CONNECTIONS):  # each sends one command, and then many behind it
            sent.append([f"{(number + 1) << 32 | index:016x}" for index in range(COMMANDS)])
            clients[number].writer.write(command(number, 0, sent[number][0]))
        await asyncio.sleep(0.02)
        for number, client in enumerate(clients):
            rest = enumerate(sent[number][1:], 1)
            client.writer.write(b"".join(command(number, index, request_id) for index, request_id in rest))
            await client.writer.drain()
            record(f"client {number} has sent {COMMANDS} commands, {sent[number][0]} to {sent[number][-1]}")
        sent_at = time.monotonic()
        await asyncio.sleep(0.2)
        for number, client in enumerate(clients):
            # Only what the other end's machine has acknowledged counts as taken: nothing is left at the client.
            left = client.writer.transport.get_write_buffer_size() + unacknowledged_bytes(client)
            record(f"client {number} has {left} bytes that the gateway's machine has not acknowledged")
            assert not left, "the gateway's machine has not accepted all commands"
        if trouble:
            gateway.signal(signal.SIGTERM)
        kill_at = time.monotonic() + KILL_AFTER_S
        readers = [
            asyncio.ensure_future(read_answers(client, ids, answers))
            for client, ids in zip(clients, sent, strict=True)
        ]
        if trouble:
            status = await gateway.wait_for_end(kill_at)
            record(f"gateway n0 ended with {status}" if status is not None else "gateway n0 is killed")
            if status is None:
                gateway.signal(signal.SIGKILL)
        ended = await asyncio.gather(*readers)

        broken = []
        for number, (ids, ended_at) in enumerate(zip(sent, ended, strict=True)):
            unanswered = [request_id for request_id in ids if request_id not in answers]
            for request_id in ids:
                if request_id in answers:
                    record(f"{request_id} answered {answers[request_id][0].decode()}", answers[request_id][1])
            if unanswered:
                broken.append(
                    f"client {number}: {len(unanswered)} of {COMMANDS} requests, from {unanswered[0]}, got no "
                    f"answer; they were sent {ended_at - sent_at:.2f} s before the gateway ended the connection"
                )
        return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
