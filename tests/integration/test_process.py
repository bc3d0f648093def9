"""The gateway process: startup, configuration errors, signals, exit status."""

import json
import signal
import socket
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest

from tests.support.gateway_process import (
    NAMED_SETTINGS,
    PROCESS_TIMEOUT_S,
    Peers,
    StartGateway,
    accept,
    configuration,
    connect,
    listen,
    port_of,
)
from tests.support.loopback import call


def ping(client: socket.socket) -> None:
    client.sendall(b"*1\r\n$4\r\nPING\r\n")
    assert client.recv(64) == b"+PONG\r\n"


def test_gateway_answers_a_ping_and_exits_0_after_sigterm(peers: Peers, start_gateway: StartGateway) -> None:
    process = start_gateway(json.dumps(peers.configuration()))
    with accept(peers.discovery, process) as watch, connect(peers.listen_port, process) as client:
        assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 HTTP/1.1\r\n")
        ping(client)
        process.send_signal(signal.SIGTERM)
        assert client.recv(64) == b""  # closed because it is idle
    assert process.wait(timeout=PROCESS_TIMEOUT_S) == 0
    assert process.communicate() == (b"", b"")


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        "{nope",
        "[]",
        "{}",
        '{"settings": {}}',
        json.dumps(configuration(1, 1, 1) | {"listen": "here"}),
        json.dumps(configuration(1, 1, 1) | {"seed": "xyz"}),
        json.dumps(configuration(1, 1, 1) | {"settings": {"limits": 3}}),
    ],
)
def test_invalid_configuration_gives_one_line_and_exit_status_2(
    start_gateway: StartGateway, text: str | None
) -> None:
    process = start_gateway(text)
    output, errors = process.communicate(timeout=60)
    assert (process.returncode, output) == (2, b"")
    assert errors.startswith(b"rushroad: ")
    assert errors.count(b"\n") == 1


def test_request_without_an_answer_fails_before_its_deadline_after_sigterm(
    peers: Peers, start_gateway: StartGateway
) -> None:
    # The process may be killed some seconds after SIGTERM, regardless of the deadlines of its clients.
    request_class = NAMED_SETTINGS["classes"][0] | {"giveUpUs": 90_000_000, "goalTimeUs": 90_000_000}
    document = peers.configuration() | {"settings": NAMED_SETTINGS | {"classes": [request_class]}}
    with listen() as rate_server:
        document["known"]["instances"][0]["hostPort"] = f"127.0.0.1:{port_of(rate_server)}"
        process = start_gateway(json.dumps(document))
        with connect(peers.listen_port, process) as client:
            client.sendall(call(1, b"c=lookup,t=basic,d=90000,units=1,spread=1,first=0"))
            with accept(rate_server, process) as attempt:
                assert attempt.recv(4096) != b""  # the request may have been executed
                process.send_signal(signal.SIGTERM)
                assert client.recv(64) == b"-ERR failed\r\n"
                assert client.recv(64) == b""
        assert process.wait(timeout=PROCESS_TIMEOUT_S) == 0


def test_signals_until_the_process_exits_do_not_change_the_exit_status(
    peers: Peers, start_gateway: StartGateway
) -> None:
    # Closing the event loop restores the default signal handlers, which would terminate the process.
    process = start_gateway(json.dumps(peers.configuration()))
    with accept(peers.discovery, process), connect(peers.listen_port, process) as client:
        ping(client)
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
    assert process.returncode == 0


@pytest.mark.parametrize("known", [None, {}, [], {"generation": 3, "instances": [{}]}])
def test_gateway_starts_without_a_readable_cached_snapshot(
    peers: Peers, start_gateway: StartGateway, known: Any
) -> None:
    process = start_gateway(json.dumps(peers.configuration() | {"counter": "127.0.0.1:1", "known": known}))
    with accept(peers.discovery, process) as watch, connect(peers.listen_port, process) as client:
        assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=0 HTTP/1.1\r\n")
        ping(client)
        process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=PROCESS_TIMEOUT_S) == 0
    assert b"can't be read" in process.communicate()[1]


def test_sighup_moves_the_watch_and_the_counter_and_an_invalid_file_changes_nothing(
    tmp_path: Path, peers: Peers, start_gateway: StartGateway
) -> None:
    # SIGHUP terminates a process by default. It may arrive under load, twice in a row, and during shutdown.
    process = start_gateway(json.dumps(peers.configuration()))
    with ExitStack() as stack:
        new_discovery, new_counter = stack.enter_context(listen()), stack.enter_context(listen())
        watch = stack.enter_context(accept(peers.discovery, process))
        ping(stack.enter_context(connect(peers.listen_port, process)))

        (tmp_path / "config.json").write_text("{nope")
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        assert process.stderr.readline().startswith(b"rushroad: the new configuration can't be read")

        new_peers = Peers(new_discovery, new_counter, peers.listen_port)
        (tmp_path / "config.json").write_text(json.dumps(new_peers.configuration()))
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        new_watch = stack.enter_context(accept(new_discovery, process))
        assert new_watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 ")
        assert watch.recv(4096).startswith(b"GET ")
        assert watch.recv(4096) == b""  # the old watch ends when the new one is up
        for _ in range(2):
            stack.enter_context(accept(new_counter, process))
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        assert process.wait(timeout=PROCESS_TIMEOUT_S) == 0
        assert process.communicate() == (b"", b"")
