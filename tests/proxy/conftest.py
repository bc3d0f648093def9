"""Set-up that several tests of the proxy share."""

import pytest

from rushroad.proxy import discovery, endpoint_decoder
from rushroad.proxy.nonblocking_log import NonBlockingLog
from tests.support.client_side import Play, play_scenario


@pytest.fixture
def play() -> Play:
    """Runs a scenario on the client side of a gateway, whose engine records what it is asked."""
    return play_scenario


@pytest.fixture
def no_settle_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let connections to endpoints be reused right after a response."""
    monkeypatch.setattr("rushroad.proxy.endpoint_pool.SETTLE_TIME_S", 0.0)


@pytest.fixture
def fresh_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """A log of the test's own: lines that other tests wrote in the same second don't count to its limit."""
    log = NonBlockingLog()
    monkeypatch.setattr(discovery, "log", log)
    monkeypatch.setattr(endpoint_decoder, "log", log)
