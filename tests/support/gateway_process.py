"""One gateway process as the deploy file starts it, and the sockets of its peers, for synchronous tests."""

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
GATEWAY_HOST = "127.91.0.1"  # an address on which nothing else takes ports
StartGateway = Callable[[str | None], subprocess.Popen[bytes]]  # with the text of its configuration
PROCESS_TIMEOUT = 30.0  # seconds after which a process that does nothing fails the test
NAMED_SETTINGS = {
    **SETTINGS_DOCUMENT,
    "classes": [{**SETTINGS_DOCUMENT["classes"][0], "name": "lookup"}],
    "packages": [{**SETTINGS_DOCUMENT["packages"][0], "name": "basic"}],
    "limits": {**SETTINGS_DOCUMENT["limits"], "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
}


def free_port() -> int:
    """A port on which a gateway can listen."""
    with socket.create_server((GATEWAY_HOST, 0)) as listener:
        return port_of(listener)


def port_of(listener: socket.socket) -> int:
    """The port of a listening socket."""
    port: int = listener.getsockname()[1]
    return port


def configuration(discovery_port: int, counter_port: int, listen_port: int) -> dict[str, Any]:
    """A gateway's configuration, with one endpoint that refuses connections in its cached list."""
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
    """The peers of one gateway process, each a listening socket, and the port that the gateway is given."""

    discovery: socket.socket
    counter: socket.socket
    listen_port: int

    def configuration(self) -> dict[str, Any]:
        """The gateway's configuration with these peers."""
        return configuration(port_of(self.discovery), port_of(self.counter), self.listen_port)


def listen() -> socket.socket:
    """A listening socket of a peer; it does not wait for a gateway for longer than PROCESS_TIMEOUT."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(PROCESS_TIMEOUT)
    return listener


def accept(listener: socket.socket, process: subprocess.Popen[bytes]) -> socket.socket:
    """The process's next connection; fails with the process's output if the process has ended."""
    deadline = time.monotonic() + PROCESS_TIMEOUT
    while not select.select([listener], [], [], 0.05)[0]:
        assert process.poll() is None, process.communicate()
        assert time.monotonic() < deadline, "the gateway does not connect"
    connection, _ = listener.accept()
    connection.settimeout(PROCESS_TIMEOUT)
    return connection


def connect(listen_port: int, process: subprocess.Popen[bytes]) -> socket.socket:
    """A client's connection, as soon as the process listens; fails if the process has ended."""
    deadline = time.monotonic() + PROCESS_TIMEOUT
    while True:
        assert process.poll() is None, process.communicate()
        try:
            return socket.create_connection((GATEWAY_HOST, listen_port), timeout=PROCESS_TIMEOUT)
        except ConnectionRefusedError:
            assert time.monotonic() < deadline, "the gateway does not listen"


@contextlib.contextmanager
def running_gateway(
    folder: Path, configuration_text: str | None, command: str = RUN_COMMAND
) -> Iterator[subprocess.Popen[bytes]]:
    """The process, killed in the end; its configuration file is missing where the text is None."""
    path = folder / "config.json"
    path.write_text(configuration_text or "")
    if configuration_text is None:
        path = folder / "missing.json"
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
