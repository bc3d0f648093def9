"""Fixtures for the tests of the proxy."""

import pytest


@pytest.fixture
def no_settle_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let connections to endpoints be reused right after a response."""
    monkeypatch.setattr("rushroad.proxy.endpoint_pool.SETTLE_TIME", 0.0)
