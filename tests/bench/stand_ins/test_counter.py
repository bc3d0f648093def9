"""The stand-in for the counter."""

from rushroad.bench.commands import (
    CounterMode,
    Done,
    GetFigures,
    SetCounterMode,
    StandInAddresses,
    StandInFigures,
)
from rushroad.bench.worker import Worker
from tests.support.bench_peers import connect, read_until


def test_the_counter_adds_and_rejects_and_knows_no_other_calls(
    stand_ins: Worker, addresses: StandInAddresses
) -> None:
    with connect(addresses.counter) as gateway:
        gateway.sendall(b"bump a 2.5 4000\r\nbump a -1 4000\r\nping\r\nnonsense\r\n")
        assert read_until(gateway, b"error\r\n") == b"ok 2.5\r\nok 1.5\r\npong\r\nerror\r\n"
        stand_ins.call(SetCounterMode(mode=CounterMode.BUSY, shards=1), Done)
        gateway.sendall(b"bump a 1 4000\r\n")
        assert read_until(gateway, b"\r\n") == b"busy\r\n"
        figures = stand_ins.call(GetFigures(), StandInFigures).counter
        assert (figures.calls, figures.pings, figures.bytes_in) == (4, 1, 64)


def test_a_slow_shard_keeps_the_order_of_the_replies(stand_ins: Worker, addresses: StandInAddresses) -> None:
    with connect(addresses.counter) as gateway:
        stand_ins.call(SetCounterMode(mode=CounterMode.SLOW, shards=1, delay_s=0.02), Done)
        gateway.sendall(b"bump a 1 4000\r\nping\r\n")
        assert read_until(gateway, b"pong\r\n") == b"ok 1\r\npong\r\n"
