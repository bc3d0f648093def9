"""Fixtures of the tests with gateway processes."""

from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.support.gateway_process import Peers, StartGateway, free_port, listen, running_gateway


@pytest.fixture
def peers() -> Iterator[Peers]:
    """A discovery service and a counter that accept connections only when the test does."""
    with listen() as discovery, listen() as counter:
        yield Peers(discovery, counter, free_port())


@pytest.fixture
def start_gateway(tmp_path: Path) -> Iterator[StartGateway]:
    """Starts a gateway process with a configuration file of this text, and kills it after the test."""
    with ExitStack() as stack:
        yield lambda text: stack.enter_context(running_gateway(tmp_path, text))
