"""Bad clients, as a process of their own: each sends hundreds of commands at once, reads all answers, and sends again.

Arguments: the gateway's port, how many clients, for how many seconds, and a number that makes the ids differ.
"""

from __future__ import annotations

import select
import socket
import sys
import time

COMMANDS = 300  # of a client at once; each is answered with one line
CUSTOMERS = 40


def encode(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def main() -> None:
    port, clients, seconds, number = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])
    ends, count = time.monotonic() + seconds, 0

    def commands() -> bytes:
        nonlocal count
        data = []
        for _ in range(COMMANDS):
            count += 1
            customer, request_id = b"%016x" % (5_000 + count % CUSTOMERS), b"f%015x" % (number * 10**10 + count)
            data.append(encode(b"CALL.GET", customer, request_id, b"c=slot-check,t=small,d=2500,units=1,spread=2,first=0"))
        return b"".join(data)

    unsent: dict[socket.socket, bytes] = {}
    answers: dict[socket.socket, int] = {}
    for _ in range(clients):
        connection = socket.create_connection(("127.0.0.1", port), 5)
        connection.setblocking(False)
        unsent[connection], answers[connection] = commands(), 0
    while answers and time.monotonic() < ends:
        readable, writable, _ = select.select(list(answers), [c for c in answers if unsent[c]], [], 0.1)
        for connection in writable:
            try:
                unsent[connection] = unsent[connection][connection.send(unsent[connection]):]
            except BlockingIOError:
                continue
            except OSError:
                answers.pop(connection, None)
        for connection in readable:
            if connection not in answers:
                continue
            try:
                data = connection.recv(1 << 16)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if not data:
                del answers[connection]
                continue
            answers[connection] += data.count(b"\r\n") - data.count(b"$")  # a value has two lines
            if answers[connection] >= COMMANDS:  # turned away: the same again at once
                unsent[connection], answers[connection] = commands(), 0


main()
