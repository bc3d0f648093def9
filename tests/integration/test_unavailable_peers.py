"""Startup and service while discovery or the counter is unavailable or idle clients use all descriptors."""

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
from tests.support.loopback import LOOPBACK, PROXY_SETTINGS, call, run

MAX_SOCKETS = 128
IDLE_CLIENTS = 400  # more than the process has file descriptors
UPDATE_DEADLINE_S = 6.0  # a gateway has to know an endpoint update within this time after it was sent


def port_of(peer: socket.socket) -> int:
    port: int = peer.getsockname()[1]
    return port


def send_snapshot(watch: socket.socket, endpoint_port: int) -> None:
    """Respond to a watch with a snapshot that contains one endpoint."""
    entry = {"instanceId": "s-2", "hostPort": f"{LOOPBACK}:{endpoint_port}", "lifecycle": "SERVING"}
    snapshot = json.dumps({"generation": 42, "reset": True, "instances": [entry]}).encode() + b"\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    watch.sendall(head + b"%x\r\n%b\r\n" % (len(snapshot), snapshot))


@pytest.mark.parametrize("discovery_moves", [True, False])
def test_many_idle_clients_do_not_block_discovery_and_the_counter(
    tmp_path: Path, discovery_moves: bool
) -> None:
    # They connect while the watch and the counter are down, faster than the process can close connections.
    with contextlib.ExitStack() as stack:
        discovery, new_discovery, counter, server = (stack.enter_context(listen()) for _ in range(4))
        gateway_port = free_port()
        document = configuration(port_of(discovery), port_of(counter), gateway_port)
        document["limits"]["sockets"] = MAX_SOCKETS
        process = stack.enter_context(
            running_gateway(tmp_path, json.dumps(document), f"ulimit -n {MAX_SOCKETS}; {RUN_COMMAND}")
        )
        watch, first_client = accept(discovery, process), connect(gateway_port, process)
        first_client.sendall(PING)
        assert first_client.recv(64) == PONG
        counter_connections = [accept(counter, process) for _ in range(2)]
        process.send_signal(signal.SIGSTOP)
        for connection in [watch, *counter_connections]:
            connection.close()
        if discovery_moves:
            (tmp_path / "config.json").write_text(
                json.dumps(document | {"discovery": f"{LOOPBACK}:{port_of(new_discovery)}"})
            )
            process.send_signal(signal.SIGHUP)
        for _ in range(IDLE_CLIENTS):
            stack.enter_context(socket.create_connection((GATEWAY_HOST, gateway_port))).sendall(PING)
        process.send_signal(signal.SIGCONT)

        for _ in range(2):
            stack.enter_context(accept(counter, process))
        watch = stack.enter_context(accept(new_discovery if discovery_moves else discovery, process))
        assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 ")
        send_snapshot(watch, port_of(server))
        client = stack.enter_context(connect(gateway_port, process))
        request_ids, give_up_at = itertools.count(1), time.monotonic() + PROCESS_TIMEOUT_S
        while not select.select([server], [], [], 0)[0]:  # until the new endpoint receives a request
            client.sendall(call(next(request_ids), b"c=lookup,t=basic,d=900,units=1,spread=1,first=0"))
            assert client.recv(64)
            assert time.monotonic() < give_up_at, (
                "no request is forwarded to the endpoint of the new snapshot"
            )
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=PROCESS_TIMEOUT_S) == 0


@pytest.mark.parametrize(
    ("discovery", "counter"),
    [
        ("refusing", "full"),
        ("silent", "silent"),
        ("full", "refusing"),
        ("full", "full"),
        ("malformed", "silent"),
    ],
)
def test_startup_waits_for_neither_discovery_nor_the_counter(
    tmp_path: Path, discovery: str, counter: str
) -> None:
    with contextlib.ExitStack() as stack:
        peers = {behavior: stack.enter_context(listen()) for behavior in ("silent", "full", "malformed")}
        fill_backlog(peers["full"], stack)
        ports = {behavior: port_of(peer) for behavior, peer in peers.items()} | {"refusing": 1}
        gateway_port = free_port()
        text = json.dumps(configuration(ports[discovery], ports[counter], gateway_port), indent="\t")
        process = stack.enter_context(running_gateway(tmp_path, "\r\n " + text))
        if discovery == "malformed":
            accept(peers["malformed"], process).sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}")
        client = stack.enter_context(connect(gateway_port, process))
        client.sendall(PING)
        assert client.recv(64) == PONG
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=PROCESS_TIMEOUT_S) == 0


def fill_backlog(peer: socket.socket, stack: contextlib.ExitStack) -> None:
    """Fill the listen backlog of a peer, so that connects to it hang as with an unreachable machine."""
    peer.listen(0)
    for _ in range(4):
        connection = stack.enter_context(socket.socket())
        connection.setblocking(False)
        connection.connect_ex(peer.getsockname())


def test_unreachable_discovery_is_retried_before_its_updates_have_to_be_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # After a watch was refused or reset, got an error response or was silent until its timeout, the next
    # request follows within MAX_RECONNECT_DELAY_S, regardless of how many have failed.
    delays: list[float] = []
    sleep = asyncio.sleep

    async def record_delay(seconds: float) -> None:
        delays.append(seconds)
        await sleep(0)

    async def scenario() -> None:
        updates, loop = asyncio.Queue[EndpointUpdate](), asyncio.get_running_loop()
        with socket.socket() as agent:
            agent.bind((LOOPBACK, 0))  # not listening: connects are refused
            agent.setblocking(False)
            address, rng = agent.getsockname(), random.Random(1)
            watch = Discovery(
                address, 41, PROXY_SETTINGS, lambda update, _: updates.put_nowait(update), loop, rng
            )
            while len(delays) < 40:
                await sleep(0)
            agent.listen()
            for response in (b"", b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"):
                with (await loop.sock_accept(agent))[0] as connection:
                    connection.sendall(response)
            silent, _ = await loop.sock_accept(agent)
            connection, _ = await loop.sock_accept(agent)
            send_snapshot(connection, 81)
            assert (await updates.get()).version == 42
            watch.close()
            silent.close()
            connection.close()

    monkeypatch.setattr("rushroad.proxy.discovery.asyncio.sleep", record_delay)
    run(scenario)
    max_delay = max(delays)
    assert max_delay <= discovery.MAX_RECONNECT_DELAY_S
    # The worst case: a watch falls silent, and the agent is unreachable for the next one.
    reconnect_time = 2 * discovery.RESPONSE_TIMEOUT_S + 2 * max_delay
    assert discovery.SILENCE_TIMEOUT_S + reconnect_time < UPDATE_DEADLINE_S
