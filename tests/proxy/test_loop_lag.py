"""LoopLagMonitor: earliest arrival times of input that is read during and after a stall of the event loop."""

import asyncio
from collections.abc import Callable
from typing import cast

import pytest

from rushroad.proxy.loop_lag import BACKLOG_TIME_S, PROBE_INTERVAL_S, LoopLagMonitor


class ManualLoop:
    """An event loop whose clock and timers are controlled by the test."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timers: list[tuple[float, Callable[[], None]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        self.timers.append((self.now + delay, callback))

    def run_timers_at(self, now: float) -> None:
        self.now = now
        due, self.timers = self.timers, []
        for _, callback in due:
            callback()


@pytest.fixture
def loop() -> ManualLoop:
    return ManualLoop()


@pytest.fixture
def monitor(loop: ManualLoop) -> LoopLagMonitor:
    monitor = LoopLagMonitor(cast(asyncio.AbstractEventLoop, loop))
    monitor.probe()
    return monitor


def test_input_counts_from_its_read_while_the_loop_is_on_time(
    loop: ManualLoop, monitor: LoopLagMonitor
) -> None:
    loop.run_timers_at(100.0 + PROBE_INTERVAL_S)
    loop.now += PROBE_INTERVAL_S / 2
    assert monitor.earliest_arrival() == loop.now


def test_input_read_before_a_late_probe_counts_from_when_the_probe_was_due(
    loop: ManualLoop, monitor: LoopLagMonitor
) -> None:
    loop.now = 101.0
    assert monitor.earliest_arrival() == 100.0 + PROBE_INTERVAL_S


def test_input_read_shortly_after_a_late_probe_counts_from_the_start_of_the_stall(
    loop: ManualLoop, monitor: LoopLagMonitor
) -> None:
    loop.run_timers_at(101.0)
    assert monitor.earliest_arrival() == 100.0 + PROBE_INTERVAL_S
    loop.now = 101.0 + BACKLOG_TIME_S
    assert monitor.earliest_arrival() == 100.0 + PROBE_INTERVAL_S
    loop.run_timers_at(101.0 + PROBE_INTERVAL_S)
    loop.now = 101.0 + BACKLOG_TIME_S + 0.01
    assert monitor.earliest_arrival() == loop.now
