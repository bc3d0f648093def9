"""Set-up that several tests of the proxy share."""

import pytest

from tests.support.client_side import Play, play_scenario


@pytest.fixture
def play() -> Play:
    """Runs a scenario on the client side of a gateway, whose engine records what it is asked."""
    return play_scenario
