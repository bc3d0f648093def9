"""Fixtures shared by the tests of the proxy."""

import pytest

from rushroad.proxy import discovery, endpoint_decoder
from rushroad.proxy.nonblocking_log import NonBlockingLog
from tests.support.client_side import RunScenario, run_client_scenario


@pytest.fixture
def run_scenario() -> RunScenario:
    """Runs a scenario on the client side of a gateway with a recording engine."""
    return run_client_scenario


@pytest.fixture
def no_settle_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Allows connections to endpoints to be reused immediately after a response."""
    monkeypatch.setattr("rushroad.proxy.endpoint_pool.SETTLE_TIME_S", 0.0)


@pytest.fixture
def fresh_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replaces the log, so that lines of other tests in the same second do not count towards its limit."""
    log = NonBlockingLog()
    monkeypatch.setattr(discovery, "log", log)
    monkeypatch.setattr(endpoint_decoder, "log", log)
