"""ConnectionLimit: when a connection can be opened and which idle connections are closed."""

from typing import cast

import pytest

from rushroad.proxy.connection_limit import ConnectionLimit
from rushroad.proxy.upstream_connection import UpstreamConnection


class IdleConnection:
    """A test double for an idle connection, which deregisters from the limit when it is closed."""

    def __init__(self, limit: ConnectionLimit, idle_since: float) -> None:
        self.limit, self.idle_since = limit, idle_since
        limit.open_count += 1
        limit.idle[cast(UpstreamConnection, self)] = None

    def close(self) -> None:
        self.limit.open_count -= 1
        del self.limit.idle[cast(UpstreamConnection, self)]


@pytest.fixture
def limit() -> ConnectionLimit:
    """A limit of 3 connections, with two idle ones that became idle at 1.0 and 2.0."""
    limit = ConnectionLimit(3)
    for idle_since in (1.0, 2.0):
        IdleConnection(limit, idle_since)
    return limit


def idle_times(limit: ConnectionLimit) -> list[float]:
    return [connection.idle_since for connection in limit.idle]


def test_below_the_limit_no_connection_is_closed(limit: ConnectionLimit) -> None:
    assert limit.make_room(connecting=0)
    assert idle_times(limit) == [1.0, 2.0]


def test_at_the_limit_the_longest_idle_connection_is_closed(limit: ConnectionLimit) -> None:
    assert limit.make_room(connecting=1)
    assert idle_times(limit) == [2.0]


def test_at_the_limit_without_an_idle_connection_there_is_no_room(limit: ConnectionLimit) -> None:
    limit.idle.clear()
    assert not limit.make_room(connecting=1)


@pytest.mark.parametrize(("before", "left"), [(0.9, [1.0, 2.0]), (1.0, [2.0]), (2.0, [])])
def test_connections_that_became_idle_by_the_given_time_are_closed(
    limit: ConnectionLimit, before: float, left: list[float]
) -> None:
    limit.close_idle(before)
    assert idle_times(limit) == left
