"""What tests of attempts share: responses, endpoint updates, and requests of any size."""

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from rushroad.policy.events import Endpoint, EndpointState
from rushroad.policy.settings import Limits
from tests.support.gateway_driver import IDEMPOTENT, SETTINGS
from tests.support.loopback import LOCAL, resp

OK = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$18\r\ninflight=7,queue=2\r\n"
LONG = 10_000_000  # microseconds
FAST = replace(SETTINGS, limits=Limits(max_attempts=4, connect_timeout=250_000))


class SizedCall:
    """A client's call with a command of any size."""

    def __init__(self, size: int = 10, class_index: int = IDEMPOTENT) -> None:
        self.size, self.class_index = size, class_index

    def has_left(self) -> bool:
        return False

    def command(self, _wait: int) -> bytes:
        return resp(b"CALL.GET", b"x" * self.size)


def request_in_flight(size: int, class_index: int) -> Any:
    """A request with a command of any size, as far as an attempt needs one."""
    return SimpleNamespace(call=SizedCall(size, class_index))


def endpoint_at(
    port: int, state: EndpointState = EndpointState.READY, started: int = 0
) -> list[tuple[Endpoint, tuple[str, int]]]:
    """An update of the endpoint list with one endpoint, s-1, at this port of the loopback device."""
    return [(Endpoint("s-1", state, started_at=started), (LOCAL, port))]
