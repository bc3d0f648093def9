"""The program as the deploy file starts it, with a discovery that tells of no change."""

import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.support.loopback import call
from tests.support.settings_document import SETTINGS_DOCUMENT

ROOT = Path(__file__).parent.parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
NAMED = {
    **SETTINGS_DOCUMENT,
    "classes": [{**SETTINGS_DOCUMENT["classes"][0], "name": "lookup"}],
    "packages": [{**SETTINGS_DOCUMENT["packages"][0], "name": "basic"}],
    "limits": {**SETTINGS_DOCUMENT["limits"], "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
}


GATEWAY = "127.91.0.1"  # an address where nothing else takes ports
PATIENCE = 30.0  # seconds after which a process that does nothing fails the test


def free_port() -> int:
    with socket.create_server((GATEWAY, 0)) as taken:
        port: int = taken.getsockname()[1]
        return port


def config(discovery: int, counter: int, listen: int) -> dict[str, Any]:
    server = {"instanceId": "s-1", "hostPort": "127.0.0.1:9", "lifecycle": "SERVING", "startedAtMs": 0}
    return {
        "name": "n0",
        "listen": f"{GATEWAY}:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "counter": f"127.0.0.1:{counter}",
        "known": {"generation": 41, "reset": True, "instances": [server]},
        "settings": NAMED,
    }


def listener() -> socket.socket:
    """A peer of the process. One that never calls, as it could not start, fails the test and no more."""
    peer = socket.create_server(("127.0.0.1", 0))
    peer.settimeout(PATIENCE)
    return peer


def accept(peer: socket.socket, process: subprocess.Popen[bytes]) -> socket.socket:
    """The process's next connection; one that has ended makes none and says why instead."""
    until = time.monotonic() + PATIENCE
    while not select.select([peer], [], [], 0.05)[0]:
        assert process.poll() is None, process.communicate()
        assert time.monotonic() < until, "it does not connect"
    connection, _ = peer.accept()
    connection.settimeout(PATIENCE)
    return connection


@contextlib.contextmanager
def start(tmp_path: Path, text: str | None, command: str = RUN) -> Iterator[subprocess.Popen[bytes]]:
    """The process; a test that fails does not wait for its end."""
    (tmp_path / "config.json").write_text(text or "")
    env = {**os.environ, "EDGE_CONFIG": str(tmp_path / ("config.json" if text is not None else "none.json"))}
    with subprocess.Popen(
        ["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as process:
        try:
            yield process
        finally:
            process.kill()


def connect(port: int, process: subprocess.Popen[bytes]) -> socket.socket:
    until = time.monotonic() + PATIENCE
    while True:
        assert process.poll() is None, process.communicate()
        try:
            return socket.create_connection((GATEWAY, port), timeout=PATIENCE)
        except ConnectionRefusedError:
            assert time.monotonic() < until, "it does not listen"


def test_it_starts_answers_a_ping_and_exits_0_after_sigterm(tmp_path: Path) -> None:
    with listener() as discovery, listener() as counter:
        ports = [s.getsockname()[1] for s in (discovery, counter)] + [free_port()]
        with start(tmp_path, json.dumps(config(*ports))) as process:
            watch = accept(discovery, process)
            assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 HTTP/1.1\r\n")
            with watch, connect(ports[2], process) as client:
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                assert client.recv(64) == b"+PONG\r\n"
                process.send_signal(signal.SIGTERM)
                assert client.recv(64) == b""  # closed as it is idle
            assert process.wait(timeout=PATIENCE) == 0
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
        json.dumps(config(1, 1, 1) | {"listen": "here"}),
        json.dumps(config(1, 1, 1) | {"seed": "xyz"}),
        json.dumps(config(1, 1, 1) | {"settings": {"limits": 3}}),
    ],
)
def test_a_bad_configuration_gives_one_line_and_a_non_zero_exit(tmp_path: Path, text: str | None) -> None:
    with start(tmp_path, text) as process:
        out, err = process.communicate(timeout=60)
    assert (process.returncode, out) == (2, b"")
    assert err.startswith(b"rushroad: ")
    assert err.count(b"\n") == 1


def test_after_sigterm_a_request_that_nobody_answers_is_failed_before_its_time(tmp_path: Path) -> None:
    # The process may be killed some seconds after SIGTERM, however long clients would wait.
    settings = NAMED | {"classes": [NAMED["classes"][0] | {"giveUpUs": 90_000_000, "goalTimeUs": 90_000_000}]}
    with contextlib.ExitStack() as stack:
        discovery, counter, server = (stack.enter_context(listener()) for _ in range(3))
        ports = [discovery.getsockname()[1], counter.getsockname()[1], free_port()]
        text = config(*ports) | {"settings": settings}
        text["known"]["instances"][0]["hostPort"] = f"127.0.0.1:{server.getsockname()[1]}"
        process = stack.enter_context(start(tmp_path, json.dumps(text)))
        client = stack.enter_context(connect(ports[2], process))
        client.sendall(call(1, b"c=lookup,t=basic,d=90000,units=1,spread=1,first=0"))
        attempt = stack.enter_context(accept(server, process))
        assert attempt.recv(4096) != b""  # it may run
        process.send_signal(signal.SIGTERM)
        assert client.recv(64) == b"-ERR failed\r\n"
        assert client.recv(64) == b""
        client.close()
        assert process.wait(timeout=PATIENCE) == 0


def test_signals_that_come_until_the_very_end_do_not_change_how_it_ends(tmp_path: Path) -> None:
    # The event loop's end gives them their defaults back, which would end the process by a signal.
    with listener() as discovery, listener() as counter:
        ports = [s.getsockname()[1] for s in (discovery, counter)] + [free_port()]
        with start(tmp_path, json.dumps(config(*ports))) as process:
            with accept(discovery, process), connect(ports[2], process) as client:
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                assert client.recv(64) == b"+PONG\r\n"
                while process.poll() is None:
                    process.send_signal(signal.SIGTERM)
                    process.send_signal(signal.SIGHUP)
            assert process.returncode == 0


@pytest.mark.parametrize("known", [None, {}, [], {"generation": 3, "instances": [{}]}])
def test_it_starts_without_a_list_that_can_be_read(tmp_path: Path, known: Any) -> None:
    with listener() as discovery:
        ports = [discovery.getsockname()[1], 1, free_port()]
        with start(tmp_path, json.dumps(config(*ports) | {"known": known})) as process:
            watch = accept(discovery, process)
            assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=0 HTTP/1.1\r\n")
            with watch, connect(ports[2], process) as client:
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                assert client.recv(64) == b"+PONG\r\n"
                process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=PATIENCE) == 0
            assert b"can't be read" in process.communicate()[1]


def test_sighup_moves_the_watch_and_the_counter_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    # The default of SIGHUP ends the process. It comes under load, perhaps twice, and perhaps during a stop.
    with contextlib.ExitStack() as stack:
        peers = [stack.enter_context(listener()) for _ in range(4)]
        (discovery, _, next_discovery, next_counter), listen = peers, free_port()
        ports = [peer.getsockname()[1] for peer in peers]
        process = stack.enter_context(start(tmp_path, json.dumps(config(ports[0], ports[1], listen))))
        watch = stack.enter_context(accept(discovery, process))
        client = stack.enter_context(connect(listen, process))
        client.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert client.recv(64) == b"+PONG\r\n"

        (tmp_path / "config.json").write_text("{nope")
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        assert process.stderr.readline().startswith(b"rushroad: the new configuration can't be read")

        (tmp_path / "config.json").write_text(json.dumps(config(ports[2], ports[3], listen)))
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        new_watch = stack.enter_context(accept(next_discovery, process))
        assert new_watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 ")
        assert watch.recv(4096).startswith(b"GET ")
        assert watch.recv(4096) == b""  # the old one ends when the new one is up
        for _ in range(2):
            stack.enter_context(accept(next_counter, process))
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        assert process.wait(timeout=PATIENCE) == 0
        assert process.communicate() == (b"", b"")
