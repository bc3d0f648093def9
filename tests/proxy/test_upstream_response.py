"""Endpoints' responses on loopback sockets: the result, value, load report and actual units of each."""

from dataclasses import replace

import pytest

from rushroad.policy.events import Result
from tests.support.attempts import ATTEMPT_SETTINGS, OK, UpstreamHarness, run_upstream_scenario
from tests.support.loopback import Peer


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (OK, (Result.OK, b"value", (2.0, 7.0))),
        (b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", (Result.OK, b"", ())),
        (b"-ERR failed\r\n", (Result.ERROR, b"", ())),
        (b"-ERR failed inflight=1,queue=3\r\n", (Result.ERROR, b"", (3.0, 1.0))),
        (b"-BUSY\r\n", (Result.OVERLOADED, b"", ())),
        (b"-BUSY inflight=1,queue=3\r\n", (Result.OVERLOADED, b"", (3.0, 1.0))),
        (b"-BUSY inflight=nan,queue=3\r\n", (Result.OVERLOADED, b"", ())),
        (b"-BUSY inflight=-1,queue=3\r\n", (Result.OVERLOADED, b"", ())),
        (b"-BUSY used=37,cost=4\r\n", (Result.OVERLOADED, b"", ())),
        (b"-BUSY used=x inflight=1,queue=3\r\n", (Result.OVERLOADED, b"", (3.0, 1.0))),
        (b"-ERR failed cost=4\r\n", (Result.ERROR, b"", ())),
        (b"-used=3\r\n", (Result.ERROR, b"", ())),
        (b"-BUSY odd used=3\r\n", (Result.ERROR, b"", ())),
        (b"-BUSYX\r\n", (Result.ERROR, b"", ())),
        (b"-BUSY \xff\r\n", (Result.ERROR, b"", ())),
        (b"-BUSY at all\r\n", (Result.ERROR, b"", ())),
        (b"*3\r\n$5\r\nvalue\r\n:7\r\n$9\r\ninflight=\r\n", (Result.OK, b"value", ())),
        (b"*3\r\n$5\r\nvalue\r\n$-1\r\n$20\r\ninflight=inf,queue=2\r\n", (Result.OK, b"value", ())),
        (b"*3\r\n$3\r\nvalue\r\n$-1\r\n$-1\r\n", (Result.ERROR, b"", ())),
        (b"*3\r\n$3000000000\r\n", (Result.ERROR, b"", ())),
        (b"*1\r\n$5\r\nvalue\r\n", (Result.ERROR, b"", ())),
        (b"-" + b"x" * 600, (Result.ERROR, b"", ())),
        (b"-SYNTAX\r\n", (Result.ERROR, b"", ())),
        (b"$5\r\nvalue\r\n", (Result.ERROR, b"", ())),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", (Result.ERROR, b"", ())),
        (b"what is this\r\n", (Result.ERROR, b"", ())),
        (b"$-1\r\n", (Result.ERROR, b"", ())),
    ],
)
def test_response_is_decoded_into_result_value_and_load_report(
    response: bytes, expected: tuple[Result, bytes, tuple[float, ...]]
) -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        await peer.respond(response)
        assert (await harness.engine.outcomes.get())[1:] == expected

    run_upstream_scenario(scenario)


@pytest.mark.parametrize(
    ("usage", "units"),
    [
        (b"used=37,cost=4", 4.0),
        (b"cost=1.5", 1.5),
        (b"used=37", None),
        (b"cost=-1", None),
        (b"cost=9", None),
        (b"cost=nan", None),
        (b"costly=2", None),
        (b"\xff\x00", None),
        (b"cost=0", None),
    ],
)
def test_usage_figures_are_decoded_into_actual_units_or_none(usage: bytes, units: float | None) -> None:
    async def scenario(harness: UpstreamHarness, peer: Peer) -> None:
        harness.send()
        await peer.respond(b"*3\r\n$5\r\nvalue\r\n$%d\r\n%b\r\n$-1\r\n" % (len(usage), usage))
        await harness.engine.outcomes.get()
        assert harness.engine.actual_units == [units]
        harness.upstream.close()

    run_upstream_scenario(scenario, settings=replace(ATTEMPT_SETTINGS, uses_actual_units=True))
