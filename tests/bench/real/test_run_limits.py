"""Tests of the limits of a run on real gateways."""

import signal
from pathlib import Path

import pytest

from rushroad.bench.real.gateway_processes import FleetConfiguration, RealFleet
from rushroad.bench.real.run_limits import RunLimitExceededError, time_limit


def test_more_gateways_than_the_limit_are_an_error(tmp_path: Path) -> None:
    with pytest.raises(RunLimitExceededError):
        RealFleet(191, 4_900, FleetConfiguration("", "", {}, tmp_path))


def test_a_blocked_run_ends_at_its_time_limit() -> None:
    handler = signal.getsignal(signal.SIGALRM)
    with pytest.raises(RunLimitExceededError), time_limit(0.01):
        signal.pause()
    assert signal.getsignal(signal.SIGALRM) is handler
