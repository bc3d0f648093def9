"""Tests of the stand-ins for rate servers."""

import asyncio
from typing import cast

import pytest

from rushroad.bench.commands import (
    GetStats,
    RateServerStats,
    StandInAddresses,
    StandInStats,
)
from rushroad.bench.stand_ins.rate_servers import LATE_AFTER_S, RateServers, rate_server_address
from rushroad.bench.worker import Worker
from rushroad.proxy.resp import encode_array
from tests.support.stand_in_clients import connect, read_until


class ManualClock:
    """The clock of an event loop, which the test advances."""

    now = 100.0

    def time(self) -> float:
        return self.now


def test_an_attempt_is_late_only_after_the_drain_grace_and_slack_of_its_removal() -> None:
    clock = ManualClock()
    rate_servers = RateServers(0.0, False, cast(asyncio.AbstractEventLoop, clock))
    rate_servers.record_removal([4])
    rate_servers.count_attempt(4)
    clock.now += LATE_AFTER_S + 0.01
    rate_servers.count_attempt(5)
    assert rate_servers.stats == RateServerStats(attempts=2)
    rate_servers.count_attempt(4)
    assert rate_servers.stats == RateServerStats(attempts=3, late_attempts=1)


def test_addresses_of_rate_servers_are_unique() -> None:
    addresses = [rate_server_address(index, 6379) for index in range(97_000)]
    assert len(set(addresses)) == 97_000
    assert addresses[-1] == "127.65.122.231:6379"


@pytest.mark.parametrize("index", [-1, 1 << 22])
def test_an_index_out_of_range_is_an_error(index: int) -> None:
    with pytest.raises(ValueError, match="index must be from 0 to 4194303"):
        rate_server_address(index, 6379)


def test_a_rate_server_responds_in_order_and_counts_attempts(
    stand_ins: Worker, addresses: StandInAddresses
) -> None:
    with connect(addresses.first_rate_server) as gateway:
        parameters = b"c=lookup,t=basic,d=900,units=1,spread=1,first=0"
        arguments = [b"CALL.GET", b"%016x" % 5, b"%016x" % 9, parameters]
        gateway.sendall(encode_array(arguments) + encode_array([b"PING"]) + encode_array([b"CALL.GET"]))
        items = read_until(gateway, b"-SYNTAX\r\n").split(b"\r\n")
        assert items[0] == b"*3"
        assert items[2].startswith(b"%016x " % 9)  # the request's ID, then the service time
        assert items[3:] == [b"$-1", b"$10", b"inflight=1", b"+PONG", b"-SYNTAX", b""]
        stats = stand_ins.call(GetStats(), StandInStats).rate_servers
        assert stats == RateServerStats(attempts=1, connects=1, open_connections=1, syntax_errors=1)
