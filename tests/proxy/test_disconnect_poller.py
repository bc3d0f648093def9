"""Detection of clients that disconnect while reading is paused."""

import asyncio

import pytest

from rushroad.proxy.client_connection import MAX_UNANSWERED
from tests.support.client_side import ClientSide, RunScenario
from tests.support.loopback import call

NO_READ_AHEAD = -1  # bytes; reading pauses whenever commands are blocked


@pytest.mark.parametrize("max_unanswered", [1, MAX_UNANSWERED])
@pytest.mark.parametrize("abrupt", [True, False])
def test_disconnect_is_detected_while_reading_is_paused(
    run_scenario: RunScenario, max_unanswered: int, abrupt: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Otherwise its commands, including those that are still unread, would be forwarded.
    monkeypatch.setattr("rushroad.proxy.client_connection.MAX_UNANSWERED", max_unanswered)

    async def scenario(gateway: ClientSide) -> None:
        gateway.connections.buffers.max_read_ahead_bytes = NO_READ_AHEAD
        _, writer = await gateway.connect()
        writer.write(b"".join(call(number) for number in range(200)))
        for _ in range(max_unanswered):
            command = await gateway.engine.calls.get()
        while command.connection.transport.is_reading():
            await asyncio.sleep(0)
        if abrupt:
            writer.transport.abort()
        else:
            writer.close()
        cancelled = {await gateway.engine.disconnected.get() for _ in range(max_unanswered)}
        assert cancelled == set(range(1, max_unanswered + 1))
        while gateway.connections.open:
            await asyncio.sleep(0)
        assert gateway.engine.calls.empty()

    run_scenario(scenario)


@pytest.mark.parametrize("reads_ahead", [True, False])
def test_disconnect_is_detected_while_answers_are_unread(
    run_scenario: RunScenario, reads_ahead: bool
) -> None:
    async def scenario(gateway: ClientSide) -> None:
        if not reads_ahead:
            gateway.connections.buffers.max_read_ahead_bytes = NO_READ_AHEAD
        _, writer = await gateway.connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(call(1) + call(2))
        first, second = await gateway.engine.calls.get(), await gateway.engine.calls.get()
        first.succeed(b"x" * (64 << 20))  # more than the sockets' buffers hold
        assert second.connection.transport.is_reading() is reads_ahead
        writer.write_eof()
        assert await gateway.engine.disconnected.get() == 2

    run_scenario(scenario)
