"""Runs one gateway process with the command in the deploy file; its peers are sockets of the test."""

import contextlib
import os
import select
import socket
import subprocess
import time
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.support.settings_document import SETTINGS_DOCUMENT

ROOT = Path(__file__).parent.parent.parent
RUN_COMMAND = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
GATEWAY_HOST = "127.91.0.1"  # no other program takes ports on this address, so a free port stays free
StartGateway = Callable[[str | None], subprocess.Popen[bytes]]  # takes the text of the configuration file
PROCESS_TIMEOUT_S = 30.0  # an unresponsive process fails the test after this time
# The settings document, with the names that clients send and the limits of a gateway process.
NAMED_SETTINGS = {
    **SETTINGS_DOCUMENT,
    "classes": [{**SETTINGS_DOCUMENT["classes"][0], "name": "lookup"}],
    "packages": [{**SETTINGS_DOCUMENT["packages"][0], "name": "basic"}],
    "limits": {**SETTINGS_DOCUMENT["limits"], "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
}


def free_port() -> int:
    """Return a port on which a gateway can listen."""
    with socket.create_server((GATEWAY_HOST, 0)) as listener:
        return port_of(listener)


def port_of(listener: socket.socket) -> int:
    """Return the port of a listening socket."""
    port: int = listener.getsockname()[1]
    return port


def configuration(discovery_port: int, counter_port: int, listen_port: int) -> dict[str, Any]:
    """Return a gateway's configuration; the one endpoint in its cached snapshot refuses connections."""
    endpoint = {"instanceId": "s-1", "hostPort": "127.0.0.1:9", "lifecycle": "SERVING", "startedAtMs": 0}
    return {
        "name": "n0",
        "listen": f"{GATEWAY_HOST}:{listen_port}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "counter": f"127.0.0.1:{counter_port}",
        "known": {"generation": 41, "reset": True, "instances": [endpoint]},
        "settings": NAMED_SETTINGS,
    }


@dataclass
class Peers:
    """Listening sockets in place of a gateway's discovery agent and counter, and the gateway's own port."""

    discovery: socket.socket
    counter: socket.socket
    listen_port: int

    def configuration(self) -> dict[str, Any]:
        """Return the configuration of a gateway with these peers."""
        return configuration(port_of(self.discovery), port_of(self.counter), self.listen_port)


def listen() -> socket.socket:
    """Open a listening socket for a peer; `accept` on it times out after PROCESS_TIMEOUT_S."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(PROCESS_TIMEOUT_S)
    return listener


def accept(listener: socket.socket, process: subprocess.Popen[bytes]) -> socket.socket:
    """Accept the process's next connection; fail with the process's output if it has exited."""
    deadline = time.monotonic() + PROCESS_TIMEOUT_S
    while not select.select([listener], [], [], 0.05)[0]:
        assert process.poll() is None, process.communicate()
        assert time.monotonic() < deadline, f"the gateway did not connect within {PROCESS_TIMEOUT_S} s"
    connection, _ = listener.accept()
    connection.settimeout(PROCESS_TIMEOUT_S)
    return connection


def connect(listen_port: int, process: subprocess.Popen[bytes]) -> socket.socket:
    """Open a client connection as soon as the process listens; fail with its output if it has exited."""
    deadline = time.monotonic() + PROCESS_TIMEOUT_S
    while True:
        assert process.poll() is None, process.communicate()
        try:
            return socket.create_connection((GATEWAY_HOST, listen_port), timeout=PROCESS_TIMEOUT_S)
        except ConnectionRefusedError:
            assert time.monotonic() < deadline, f"the gateway did not listen within {PROCESS_TIMEOUT_S} s"


@contextlib.contextmanager
def running_gateway(
    directory: Path, configuration_text: str | None, command: str = RUN_COMMAND
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a gateway process and kill it on exit; with None as text, its configuration file does not exist."""
    path = directory / "config.json"
    path.write_text(configuration_text or "")
    if configuration_text is None:
        path = directory / "missing.json"
    with subprocess.Popen(
        ["/bin/sh", "-c", command],
        cwd=ROOT,
        env={**os.environ, "EDGE_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as process:
        try:
            yield process
        finally:
            process.kill()
