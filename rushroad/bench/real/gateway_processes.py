"""Real gateways, started as the deploy file says, and what they use of the machine."""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

from rushroad.bench.worker import ROOT
from rushroad.proxy.resp import pack

DEPLOY_FILE = ROOT / "deploy/balancer.toml"
FIRST_HOST = "127.92.0."  # and a number from 1: addresses where nothing else takes ports
MOST_GATEWAYS = 190  # real ones: with the bench's own three or four below 200 processes
MOST_MEMORY = 12 * 10**9  # bytes of all processes of a run together
START_S = 120.0  # seconds in which a gateway must answer its first ping
END_S = 6.0  # seconds from SIGTERM to SIGKILL
TRY_EVERY = 0.01  # seconds between tries of a gateway that has just been started
LOOK_EVERY = 0.5  # seconds between looks at processes and their memory
# Before the command: it is killed when the bench is. A `preexec_fn` must not do it: with one, Python runs its
# hooks after the fork, and a signal's exception that is raised in one of these is dropped.
END_WITH_PARENT = ("setpriv", "--pdeathsig", "KILL")
CLASS, PLAN = "quote", "small"  # the one class of requests and the one plan of all tenants
LIBC = ctypes.CDLL(None)


class OverBounds(RuntimeError):
    """The run would take more of the machine, or more time, than it may."""


@contextlib.contextmanager
def time_limit(seconds: float) -> Iterator[None]:
    """End what runs inside with OverBounds after so many seconds, wherever it waits."""

    def over(*_: object) -> None:
        raise OverBounds(f"the run took longer than {seconds:g} s")

    before = signal.signal(signal.SIGALRM, over)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)


@dataclass(frozen=True, slots=True)
class Peers:
    """Where a gateway's discovery and counter are."""

    discovery: str
    counter: str


def settings(fleet: int, index: int) -> dict[str, Any]:
    """The settings of gateway number `index` of `fleet`, as its first message would give them.

    Quotas are wide, so that what is measured is not refusals.
    """
    return {
        "classes": [
            {
                "name": CLASS,
                "effect": "repeatable",
                "gain": 1.0,
                "giveUpUs": 10_000_000,
                "goalTimeUs": 3_000_000,
                "group": "all",
                "lateWorth": 0.0,
                "streamed": False,
                "windowUs": 5_000_000,
            },
        ],
        "packages": [{"name": PLAN, "quotaRate": 200.0, "mostAtOnce": 400.0, "neverOverRate": 0.0}],
        "areas": ["room-a", "room-b", "room-c"],
        "kinds": ["full", "slow"],
        "fleetSize": fleet,
        "selfIndex": index,
        "tickUs": 4_000,
        "zone": index % 3,
        "limits": {
            "maxAttempts": 3,
            "mayCancel": True,
            "connIdleUs": 30_000_000,
            "connectTimeoutUs": 250_000,
        },
        "safety": {
            "answerSlackUs": 16_000,
            "stopSendingWithinUs": 500_000,
            "coldFrom": 0.19,
            "coldUs": 17_000_000,
            "tipMultiple": 2.0,
            "fallUs": 1_500_000,
        },
        "extra": {"counter": True, "countLimitUs": 80_000, "unitsTop": 4},
        "report": {"fields": ["inflight"], "via": "inline"},
        "registryMode": "automatic",
    }


class RealGateway:
    """One gateway's process."""

    def __init__(self, number: int, fleet: int, peers: Peers, known: dict[str, Any], folder: Path) -> None:
        host = f"{FIRST_HOST}{number + 1}"
        with socket.create_server((host, 0)) as taken:
            self.address = f"{host}:{taken.getsockname()[1]}"
        self.number = number
        config = {
            "name": f"n{number}",
            "listen": self.address,
            "discovery": peers.discovery,
            "counter": peers.counter,
            "seed": f"{number + 1:016x}",
            "known": known,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
            "settings": settings(fleet, number),
        }
        file = folder / f"n{number}.json"
        file.write_text(json.dumps(config))
        self._log = (folder / f"n{number}.log").open("w+b")
        edge = {
            "EDGE_NAME": f"n{number}",
            "EDGE_LISTEN": self.address,
            "EDGE_DISCOVERY": peers.discovery,
            "EDGE_CONFIG": str(file),
        }
        self.started = time.monotonic()
        self.process = subprocess.Popen(
            [*END_WITH_PARENT, "/bin/sh", "-c", tomllib.loads(DEPLOY_FILE.read_text())["run"]],
            cwd=ROOT,
            env={**os.environ, **edge},
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            start_new_session=True,
        )
        clock = ctypes.c_int()
        if LIBC.clock_getcpuclockid(self.process.pid, ctypes.byref(clock)) != 0:
            raise RuntimeError(f"gateway {number} has no processor clock")
        self._cpu_clock = clock.value

    def wait_ready(self) -> float:
        """Wait until it answers PING; returns the seconds since its start. RuntimeError where it ends."""
        host, _, port = self.address.partition(":")
        while time.monotonic() - self.started < START_S:
            self.check()
            with (
                contextlib.suppress(ConnectionRefusedError),
                socket.create_connection((host, int(port)), timeout=START_S) as peer,
            ):
                peer.sendall(b"*1\r\n$4\r\nPING\r\n")
                if peer.recv(64) == b"+PONG\r\n":
                    return time.monotonic() - self.started
            time.sleep(TRY_EVERY)
        raise OverBounds(f"gateway {self.number} did not answer PING in {START_S:g} s")

    def wait_serving(self, patience: float) -> float | None:
        """The seconds from its start to the first request served; None where it takes `patience` more."""
        host, _, port = self.address.partition(":")
        until, number = time.monotonic() + patience, 0
        with socket.create_connection((host, int(port)), timeout=START_S) as peer:
            while time.monotonic() < until:
                number += 1
                terms = f"c={CLASS},t={PLAN},d=10000,units=1,spread=1,first={self.number}".encode()
                peer.sendall(pack([b"CALL.GET", b"%016x" % number, b"%016x" % number, terms]))
                if peer.recv(1 << 16).startswith(b"$"):
                    return time.monotonic() - self.started
                time.sleep(TRY_EVERY)
        return None

    def check(self) -> None:
        """RuntimeError, with the end of its log, where it has ended."""
        if self.process.poll() is not None:
            raise RuntimeError(f"gateway {self.number} ended with {self.process.returncode}: {self.log()}")

    def log(self) -> str:
        """The end of what it has written."""
        self._log.seek(0)
        return self._log.read().decode(errors="replace")[-2_000:]

    def cpu(self) -> float:
        """Seconds of processor time that it has used; finer than /proc's ticks, and with ended threads."""
        return time.clock_gettime(self._cpu_clock)

    def peak_memory(self) -> int:
        """The most bytes that were resident since its start (VmHWM)."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise RuntimeError("no VmHWM in /proc")

    def end(self, patience: float) -> None:
        """Wait for the end after SIGTERM, at most so many seconds; then it is killed."""
        try:
            self.process.wait(max(0.0, patience))
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self._log.close()


class RealFleet:
    """The first `count` gateways of a fleet of `fleet`, as real processes; all are gone when it is left."""

    def __init__(self, count: int, fleet: int, peers: Peers, known: dict[str, Any], folder: Path) -> None:
        if not 1 <= count <= min(MOST_GATEWAYS, fleet):
            raise OverBounds(f"{count} real gateways of {fleet}: at most {MOST_GATEWAYS}, and the fleet")
        self._count, self._fleet, self._peers, self._known, self._folder = count, fleet, peers, known, folder
        self.gateways: list[RealGateway] = []

    def __enter__(self) -> RealFleet:
        try:
            for number in range(self._count):
                self.gateways.append(RealGateway(number, self._fleet, self._peers, self._known, self._folder))
        except BaseException:
            self._end()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._end()

    def _end(self) -> None:
        for gateway in self.gateways:
            gateway.process.terminate()
        until = time.monotonic() + END_S
        for gateway in self.gateways:
            gateway.end(until - time.monotonic())

    def wait_ready(self) -> list[float]:
        """Wait for all; returns each one's seconds from its start to its first PONG."""
        return [gateway.wait_ready() for gateway in self.gateways]

    def cpu(self) -> float:
        """Seconds of processor time, all gateways together."""
        return sum(gateway.cpu() for gateway in self.gateways)

    def peak_memory(self) -> int:
        """The most bytes that one of them has had resident."""
        return max(gateway.peak_memory() for gateway in self.gateways)

    def wait(self, seconds: float) -> None:
        """Let time pass. RuntimeError where a gateway ends, OverBounds where too much memory is taken."""
        until = time.monotonic() + seconds
        while True:
            for gateway in self.gateways:
                gateway.check()
            check_memory()
            left = until - time.monotonic()
            if left <= 0:
                return
            time.sleep(min(left, LOOK_EVERY))


def check_memory() -> None:
    """OverBounds where the bench and all its processes hold too much."""
    me = psutil.Process()
    held = 0
    for process in (me, *me.children(recursive=True)):
        with contextlib.suppress(psutil.NoSuchProcess):
            held += process.memory_info().rss
    if held > MOST_MEMORY:
        raise OverBounds(f"the run holds {held / 1e9:.1f} GB, more than {MOST_MEMORY / 1e9:g} GB")
