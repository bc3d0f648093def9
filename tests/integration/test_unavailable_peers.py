"""Starts and runs while discovery or the counter is not available, or many idle clients take descriptors."""

import asyncio
import contextlib
import itertools
import json
import random
import select
import signal
import socket
import time
from pathlib import Path

import pytest

from rushroad.policy.events import EndpointUpdate
from rushroad.proxy import discovery
from rushroad.proxy.discovery import Discovery
from tests.support.client_side import PING, PONG
from tests.support.gateway_process import (
    GATEWAY_HOST,
    PROCESS_TIMEOUT_S,
    RUN_COMMAND,
    accept,
    configuration,
    connect,
    free_port,
    listen,
    running_gateway,
)
from tests.support.loopback import LOCAL, NAMES, call, run

MAX_SOCKETS = 128
IDLE_CLIENTS = 400  # more than there are descriptors
UPDATE_DEADLINE = 6.0  # seconds after which a gateway has to know what discovery sent


def port_of(peer: socket.socket) -> int:
    port: int = peer.getsockname()[1]
    return port


def send_snapshot(watch: socket.socket, server: int) -> None:
    """Answer a watch with a snapshot of one endpoint."""
    entry = {"instanceId": "s-2", "hostPort": f"{LOCAL}:{server}", "lifecycle": "SERVING"}
    text = json.dumps({"generation": 42, "reset": True, "instances": [entry]}).encode() + b"\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    watch.sendall(head + b"%x\r\n%b\r\n" % (len(text), text))


@pytest.mark.parametrize("moved", [True, False])
def test_many_idle_clients_do_not_block_discovery_and_the_counter(tmp_path: Path, moved: bool) -> None:
    # They connect while the watch and the counter are down, faster than the process can close any.
    with contextlib.ExitStack() as stack:
        discovery, elsewhere, counter, server = (stack.enter_context(listen()) for _ in range(4))
        gateway_port = free_port()
        text = configuration(port_of(discovery), port_of(counter), gateway_port)
        text["limits"]["sockets"] = MAX_SOCKETS
        process = stack.enter_context(
            running_gateway(tmp_path, json.dumps(text), f"ulimit -n {MAX_SOCKETS}; {RUN_COMMAND}")
        )
        watch, first = accept(discovery, process), connect(gateway_port, process)
        first.sendall(PING)
        assert first.recv(64) == PONG
        counter_connections = [accept(counter, process) for _ in range(2)]
        process.send_signal(signal.SIGSTOP)
        for connection in [watch, *counter_connections]:
            connection.close()
        if moved:
            (tmp_path / "config.json").write_text(
                json.dumps(text | {"discovery": f"{LOCAL}:{port_of(elsewhere)}"})
            )
            process.send_signal(signal.SIGHUP)
        for _ in range(IDLE_CLIENTS):
            stack.enter_context(socket.create_connection((GATEWAY_HOST, gateway_port))).sendall(PING)
        process.send_signal(signal.SIGCONT)

        for _ in range(2):
            stack.enter_context(accept(counter, process))
        watch = stack.enter_context(accept(elsewhere if moved else discovery, process))
        assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 ")
        send_snapshot(watch, port_of(server))
        client = stack.enter_context(connect(gateway_port, process))
        numbers, last = itertools.count(1), time.monotonic() + PROCESS_TIMEOUT_S
        while not select.select([server], [], [], 0)[0]:  # until the snapshot is known
            client.sendall(call(next(numbers), b"c=lookup,t=basic,d=900,units=1,spread=1,first=0"))
            assert client.recv(64)
            assert time.monotonic() < last, "no request is forwarded to the endpoint of the new snapshot"
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=PROCESS_TIMEOUT_S) == 0


@pytest.mark.parametrize(
    ("agent", "counter"),
    [("none", "full"), ("silent", "silent"), ("full", "none"), ("full", "full"), ("odd", "silent")],
)
def test_start_waits_for_neither_discovery_nor_the_counter(tmp_path: Path, agent: str, counter: str) -> None:
    with contextlib.ExitStack() as stack:
        peers = {how: stack.enter_context(listen()) for how in ("silent", "full", "odd")}
        fill_backlog(peers["full"], stack)
        ports = {how: port_of(peer) for how, peer in peers.items()} | {"none": 1}
        gateway_port = free_port()
        text = json.dumps(configuration(ports[agent], ports[counter], gateway_port), indent="\t")
        process = stack.enter_context(running_gateway(tmp_path, "\r\n " + text))
        if agent == "odd":
            accept(peers["odd"], process).sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}")
        client = stack.enter_context(connect(gateway_port, process))
        client.sendall(PING)
        assert client.recv(64) == PONG
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=PROCESS_TIMEOUT_S) == 0


def fill_backlog(peer: socket.socket, stack: contextlib.ExitStack) -> None:
    """Let no further connection to it open, like a lost or hanging machine."""
    peer.listen(0)
    for _ in range(4):
        end = stack.enter_context(socket.socket())
        end.setblocking(False)
        end.connect_ex(peer.getsockname())


def test_unreachable_discovery_is_retried_before_its_updates_have_to_be_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Refused, reset, failed, timed out as silent: the next call follows at once, however many have failed.
    pauses: list[float] = []
    sleep = asyncio.sleep

    async def record_pause(seconds: float) -> None:
        pauses.append(seconds)
        await sleep(0)

    async def scenario() -> None:
        updates, loop = asyncio.Queue[EndpointUpdate](), asyncio.get_running_loop()
        with socket.socket() as agent:
            agent.bind((LOCAL, 0))  # it does not listen: connects are refused
            agent.setblocking(False)
            address, chance = agent.getsockname(), random.Random(1)
            watch = Discovery(address, 41, NAMES, lambda update, _: updates.put_nowait(update), loop, chance)
            while len(pauses) < 40:
                await sleep(0)
            agent.listen()
            for answer in (b"", b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"):
                with (await loop.sock_accept(agent))[0] as end:
                    end.sendall(answer)
            silent, _ = await loop.sock_accept(agent)
            end, _ = await loop.sock_accept(agent)
            send_snapshot(end, 81)
            assert (await updates.get()).version == 42
            watch.close()
            silent.close()
            end.close()

    monkeypatch.setattr("rushroad.proxy.discovery.asyncio.sleep", record_pause)
    run(scenario)
    longest = max(pauses)
    assert longest <= discovery.MAX_RECONNECT_DELAY_S
    # A watch falls silent; the next one finds the agent unreachable just then.
    reconnect = 2 * discovery.RESPONSE_TIMEOUT_S + 2 * longest
    assert discovery.SILENCE_TIMEOUT_S + reconnect < UPDATE_DEADLINE
