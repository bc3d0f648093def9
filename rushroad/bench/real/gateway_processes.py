"""Real gateway processes, started by the command of the deploy file, and their use of CPU and memory."""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import socket
import subprocess
import time
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rushroad.bench.real.gateway_settings import PLAN, REQUEST_CLASS, gateway_settings
from rushroad.bench.real.run_limits import RunLimitExceededError, check_memory
from rushroad.bench.worker import REPOSITORY_ROOT
from rushroad.proxy.resp import encode_array

DEPLOY_FILE = REPOSITORY_ROOT / "deploy/balancer.toml"
ADDRESS_PREFIX = "127.92.0."  # followed by a number from 1; nothing else listens on these addresses
MAX_GATEWAYS = 190  # keeps a run, with the bench's own three or four processes, below 200
START_TIMEOUT_S = 120.0  # for the first PONG
STOP_TIMEOUT_S = 6.0  # between SIGTERM and SIGKILL
RETRY_INTERVAL_S = 0.01  # between connects to a gateway that has just been started
CHECK_INTERVAL_S = 0.5  # between checks of the processes and their memory
LOG_TAIL_CHARACTERS = 2_000
MAX_ANSWER_BYTES = 1 << 16
LIBC = ctypes.CDLL(None)


def killed_with_parent(command: str, parent_pid: int) -> list[str]:
    """Return the arguments that run a shell command which the kernel kills when the parent exits.

    The shell exits at once if the parent exited before the parent-death signal was set. A `preexec_fn` must
    not be used for this: with one, Python runs its after-fork hooks, and discards an exception that a signal
    handler raises in them.
    """
    checked = f'test "$PPID" -eq {parent_pid} || exit 1; {command}'
    return ["setpriv", "--pdeathsig", "KILL", "/bin/sh", "-c", checked]


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """The parts of the configuration that all gateways of a fleet share."""

    discovery: str
    counter: str
    cached_snapshot: Mapping[str, Any]  # with the field names of the published protocol
    directory: Path  # for configuration files and logs


class RealGateway:
    """A gateway process."""

    def __init__(self, index: int, fleet_size: int, fleet_configuration: FleetConfiguration) -> None:
        host = f"{ADDRESS_PREFIX}{index + 1}"
        with socket.create_server((host, 0)) as listener:  # picks a free port, and closes before the start
            self.address = f"{host}:{listener.getsockname()[1]}"
        self.index = index
        configuration = self._write_configuration(fleet_size, fleet_configuration)
        self._log = (fleet_configuration.directory / f"n{index}.log").open("w+b")
        environment = {
            "EDGE_NAME": f"n{index}",
            "EDGE_LISTEN": self.address,
            "EDGE_DISCOVERY": fleet_configuration.discovery,
            "EDGE_CONFIG": str(configuration),
        }
        self.started_at = time.monotonic()
        self.process = subprocess.Popen(
            killed_with_parent(tomllib.loads(DEPLOY_FILE.read_text())["run"], os.getpid()),
            cwd=REPOSITORY_ROOT,
            env={**os.environ, **environment},
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            start_new_session=True,
        )
        clock = ctypes.c_int()
        if LIBC.clock_getcpuclockid(self.process.pid, ctypes.byref(clock)) != 0:
            raise RuntimeError(f"no CPU clock for the process of gateway {index}")
        self._cpu_clock = clock.value

    def _write_configuration(self, fleet_size: int, fleet_configuration: FleetConfiguration) -> Path:
        configuration = {
            "name": f"n{self.index}",
            "listen": self.address,
            "discovery": fleet_configuration.discovery,
            "counter": fleet_configuration.counter,
            "seed": f"{self.index + 1:016x}",
            "known": fleet_configuration.cached_snapshot,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
            "settings": gateway_settings(fleet_size, self.index),
        }
        file = fleet_configuration.directory / f"n{self.index}.json"
        file.write_text(json.dumps(configuration))
        return file

    def wait_until_ready(self) -> float:
        """Wait until the gateway answers PING; returns the seconds since its start.

        Raises RuntimeError if the process exits, RunLimitExceededError after START_TIMEOUT_S.
        """
        host, _, port = self.address.partition(":")
        while time.monotonic() - self.started_at < START_TIMEOUT_S:
            self.check()
            with (
                contextlib.suppress(ConnectionRefusedError),
                socket.create_connection((host, int(port)), timeout=START_TIMEOUT_S) as client,
            ):
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                if client.recv(64) == b"+PONG\r\n":
                    return time.monotonic() - self.started_at
            time.sleep(RETRY_INTERVAL_S)
        raise RunLimitExceededError(f"gateway {self.index} did not answer PING within {START_TIMEOUT_S:g} s")

    def wait_until_serving(self, timeout_s: float) -> float | None:
        """Return the seconds from the start to the first request served; None on a timeout."""
        host, _, port = self.address.partition(":")
        deadline, request_number = time.monotonic() + timeout_s, 0
        with socket.create_connection((host, int(port)), timeout=START_TIMEOUT_S) as client:
            while time.monotonic() < deadline:
                request_number += 1
                parameters = (
                    f"c={REQUEST_CLASS},t={PLAN},d=10000,units=1,spread=1,first={self.index}".encode()
                )
                client.sendall(
                    encode_array(
                        [b"CALL.GET", b"%016x" % request_number, b"%016x" % request_number, parameters]
                    )
                )
                if client.recv(MAX_ANSWER_BYTES).startswith(b"$"):
                    return time.monotonic() - self.started_at
                time.sleep(RETRY_INTERVAL_S)
        return None

    def check(self) -> None:
        """Raise RuntimeError with the end of the log if the process has exited."""
        if self.process.poll() is not None:
            raise RuntimeError(
                f"gateway {self.index} exited with status {self.process.returncode}: {self.log_tail()}"
            )

    def log_tail(self) -> str:
        """Return the end of the log."""
        self._log.seek(0)
        return self._log.read().decode(errors="replace")[-LOG_TAIL_CHARACTERS:]

    def cpu_seconds(self) -> float:
        """Return the CPU time used so far, at a finer resolution than /proc, and including ended threads."""
        return time.clock_gettime(self._cpu_clock)

    def peak_memory(self) -> int:
        """Return the peak resident memory in bytes (VmHWM)."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise RuntimeError(f"/proc/{self.process.pid}/status has no VmHWM")

    def wait_for_exit(self, timeout_s: float) -> None:
        """Wait for the process to exit after SIGTERM; kill it after the timeout."""
        try:
            self.process.wait(max(0.0, timeout_s))
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self._log.close()


class RealFleet:
    """The first gateways of a fleet as real processes, all of which are stopped when the block is left."""

    def __init__(self, count: int, fleet_size: int, fleet_configuration: FleetConfiguration) -> None:
        """Prepare `count` of `fleet_size` gateways; raises RunLimitExceededError if there are too many."""
        if not 1 <= count <= min(MAX_GATEWAYS, fleet_size):
            raise RunLimitExceededError(
                f"cannot start {count} real gateways: the limit is the fleet size ({fleet_size}), "
                f"and at most {MAX_GATEWAYS}"
            )
        self._count, self._fleet_size, self._fleet_configuration = count, fleet_size, fleet_configuration
        self.gateways: list[RealGateway] = []

    def __enter__(self) -> RealFleet:
        try:
            for index in range(self._count):
                self.gateways.append(RealGateway(index, self._fleet_size, self._fleet_configuration))
        except BaseException:
            self._stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._stop()

    def _stop(self) -> None:
        for gateway in self.gateways:
            gateway.process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for gateway in self.gateways:
            gateway.wait_for_exit(deadline - time.monotonic())

    def wait_until_ready(self) -> list[float]:
        """Wait until all gateways answer PING; returns the seconds that each took from its start."""
        return [gateway.wait_until_ready() for gateway in self.gateways]

    def cpu_seconds(self) -> float:
        """Return the CPU time of all gateways together."""
        return sum(gateway.cpu_seconds() for gateway in self.gateways)

    def peak_memory(self) -> int:
        """Return the highest peak resident memory of a gateway, in bytes."""
        return max(gateway.peak_memory() for gateway in self.gateways)

    def monitor(self, seconds: float) -> None:
        """Wait for `seconds`, and check the processes and their memory every CHECK_INTERVAL_S.

        Raises RuntimeError if a gateway exits, RunLimitExceededError if the run uses too much memory.
        """
        deadline = time.monotonic() + seconds
        while True:
            for gateway in self.gateways:
                gateway.check()
            check_memory()
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return
            time.sleep(min(remaining, CHECK_INTERVAL_S))
