"""Fixtures for tests of the proxy's parts."""

import pytest

from rushroad.proxy import discovery, endpoint_decoder
from rushroad.proxy.nonblocking_log import NonBlockingLog


@pytest.fixture
def fresh_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """A log of the test's own: lines that other tests wrote in the same second don't count to its limit."""
    log = NonBlockingLog()
    monkeypatch.setattr(discovery, "log", log)
    monkeypatch.setattr(endpoint_decoder, "log", log)
