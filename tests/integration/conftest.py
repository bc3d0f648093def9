"""Fixtures for tests that run gateway processes."""

import functools
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.support.gateway_cluster import ClusterFactory, GatewayCluster, RunningCluster
from tests.support.gateway_process import Peers, StartGateway, free_port, listen, running_gateway


@pytest.fixture
def peers() -> Iterator[Peers]:
    """Listening sockets for discovery and the counter, on which the test itself accepts connections."""
    with listen() as discovery, listen() as counter:
        yield Peers(discovery, counter, free_port())


@pytest.fixture
def start_gateway(tmp_path: Path) -> Iterator[StartGateway]:
    """Starts a gateway process with the given configuration text; kills it after the test."""
    with ExitStack() as stack:
        yield lambda text: stack.enter_context(running_gateway(tmp_path, text))


@pytest.fixture
def make_cluster(tmp_path: Path) -> ClusterFactory:
    """Creates a cluster whose gateway processes are started by the test."""
    return functools.partial(GatewayCluster, tmp_path)


@pytest.fixture
def running_cluster(make_cluster: ClusterFactory) -> RunningCluster:
    """Creates a cluster with all gateways started and ready."""

    @asynccontextmanager
    async def run_cluster(**options: Any) -> AsyncIterator[GatewayCluster]:
        async with make_cluster(**options) as cluster:
            for number in range(cluster.gateways):
                cluster.start(number)
            for number in range(cluster.gateways):
                await cluster.wait_until_ready(number)
            yield cluster

    return run_cluster
