"""The rate servers' stand-in."""

import asyncio
from typing import cast

import pytest

from rushroad.bench.commands import (
    GetFigures,
    RateServerFigures,
    StandInAddresses,
    StandInFigures,
)
from rushroad.bench.stand_ins.rate_servers import LATE_AFTER_S, RateServers, rate_server_address
from rushroad.bench.worker import Worker
from rushroad.proxy.resp import encode_array
from tests.support.bench_peers import connect, read_until


class SetClock:
    """The clock of a loop, set by the test."""

    now = 100.0

    def time(self) -> float:
        return self.now


def test_an_attempt_is_late_only_a_while_after_its_endpoint_was_removed() -> None:
    clock = SetClock()
    rate_servers = RateServers(0.0, False, cast(asyncio.AbstractEventLoop, clock))
    rate_servers.note_removed([4])
    rate_servers.count_attempt(4)
    clock.now += LATE_AFTER_S + 0.01
    rate_servers.count_attempt(5)
    assert rate_servers.figures == RateServerFigures(attempts=2)
    rate_servers.count_attempt(4)
    assert rate_servers.figures == RateServerFigures(attempts=3, late_attempts=1)


def test_every_rate_server_has_an_address_of_its_own() -> None:
    addresses = [rate_server_address(number, 6379) for number in range(97_000)]
    assert len(set(addresses)) == 97_000
    assert addresses[-1] == "127.65.122.231:6379"


@pytest.mark.parametrize("number", [-1, 1 << 22])
def test_a_number_beyond_the_addresses_is_an_error(number: int) -> None:
    with pytest.raises(ValueError, match="numbers from 0 to 4194303"):
        rate_server_address(number, 6379)


def test_a_rate_server_answers_in_order_and_counts_attempts(
    stand_ins: Worker, addresses: StandInAddresses
) -> None:
    with connect(addresses.first_rate_server) as gateway:
        terms = b"c=lookup,t=basic,d=900,units=1,spread=1,first=0"
        words = [b"CALL.GET", b"%016x" % 5, b"%016x" % 9, terms]
        gateway.sendall(encode_array(words) + encode_array([b"PING"]) + encode_array([b"CALL.GET"]))
        items = read_until(gateway, b"-SYNTAX\r\n").split(b"\r\n")
        assert items[0] == b"*3"
        assert items[2].startswith(b"%016x " % 9)  # the request's id; the work in microseconds follows
        assert items[3:] == [b"$-1", b"$10", b"inflight=1", b"+PONG", b"-SYNTAX", b""]
        figures = stand_ins.call(GetFigures(), StandInFigures).rate_servers
        assert figures == RateServerFigures(attempts=1, connects=1, open_connections=1, syntax_errors=1)
