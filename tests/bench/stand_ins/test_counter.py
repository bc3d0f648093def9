"""Tests of the stand-in for the counter."""

from rushroad.bench.commands import (
    CounterMode,
    Done,
    GetStats,
    SetCounterMode,
    StandInAddresses,
    StandInStats,
)
from rushroad.bench.worker import Worker
from tests.support.bench_peers import connect, read_until


def test_the_counter_adds_up_calls_rejects_when_busy_and_reports_errors(
    stand_ins: Worker, addresses: StandInAddresses
) -> None:
    with connect(addresses.counter) as gateway:
        gateway.sendall(b"bump a 2.5 4000\r\nbump a -1 4000\r\nping\r\nnonsense\r\n")
        assert read_until(gateway, b"error\r\n") == b"ok 2.5\r\nok 1.5\r\npong\r\nerror\r\n"
        stand_ins.call(SetCounterMode(mode=CounterMode.BUSY, shards=1), Done)
        gateway.sendall(b"bump a 1 4000\r\n")
        assert read_until(gateway, b"\r\n") == b"busy\r\n"
        stats = stand_ins.call(GetStats(), StandInStats).counter
        assert (stats.calls, stats.pings, stats.bytes_in) == (4, 1, 64)


def test_a_slow_shard_delays_later_replies_on_the_connection(
    stand_ins: Worker, addresses: StandInAddresses
) -> None:
    with connect(addresses.counter) as gateway:
        stand_ins.call(SetCounterMode(mode=CounterMode.SLOW, shards=1, delay_s=0.02), Done)
        gateway.sendall(b"bump a 1 4000\r\nping\r\n")
        assert read_until(gateway, b"pong\r\n") == b"ok 1\r\npong\r\n"
