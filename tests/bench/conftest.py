"""Fixtures of the benchmark tests."""

from collections.abc import Iterator

import pytest

from rushroad.bench.commands import StandInAddresses, StartStandIns
from rushroad.bench.fleet_size import FleetSize
from rushroad.bench.simulated.fleet import Fleet
from rushroad.bench.worker import Worker


@pytest.fixture
def stand_ins() -> Iterator[Worker]:
    """The process of the stand-ins, before its first command."""
    with Worker("rushroad.bench.stand_ins") as process:
        yield process


@pytest.fixture
def start_command() -> StartStandIns:
    return StartStandIns(rate_servers=12, work_s=0.0, load_reports=True, seed=7)


@pytest.fixture
def addresses(stand_ins: Worker, start_command: StartStandIns) -> StandInAddresses:
    """The addresses of the started stand-ins."""
    return stand_ins.call(start_command, StandInAddresses)


@pytest.fixture
def idle_fleet() -> Fleet:
    """One gateway and one rate server, with a request rate so low that no request is sent during a test."""
    return Fleet(FleetSize(1, 1, 0.0001), seed=1)
