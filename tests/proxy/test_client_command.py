"""Client calls: validation, parsing, forwarding and answers."""

import asyncio

import pytest

from tests.support.client_side import PING, PONG, ClientSide, RunScenario
from tests.support.loopback import TENANT, resp


def test_call_received_byte_by_byte_is_parsed_and_forwarded_with_its_time_remaining(
    run_scenario: RunScenario,
) -> None:
    async def scenario(gateway: ClientSide) -> None:
        _, writer = await gateway.connect()
        options = b"c=order,t=basic,d=480,units=1.5,spread=3,first=1,r=1,k=d=7"
        data = resp(b"CALL.POST", TENANT, b"9b1f03aa5c7e2d41", options, b"b\r\n\0dy")
        for byte in range(len(data)):
            writer.write(data[byte : byte + 1])
            await writer.drain()
            await asyncio.sleep(0)
        command = await gateway.engine.calls.get()
        assert (command.class_index, command.plan_index, command.tenant, command.units) == (1, 0, 0xAB, 1.5)
        assert (command.time_remaining_ms, command.entry_points, command.first_entry, command.is_retry) == (
            480,
            3,
            1,
            True,
        )
        assert command.forwarded_command(123_456) == data.replace(b",d=480,", b",d=123,")

    run_scenario(scenario)


@pytest.mark.parametrize(
    "arguments",
    [
        (b"GET", b"x"),
        (b"CALL.GET",),
        (b"CALL.GET", TENANT, b"1"),
        (b"CALL.POST", TENANT, b"1", b"c=order,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=nothing,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=nothing,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=\xff,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic"),
        (b"CALL.GET", TENANT, b"1", b""),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=0"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=x"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=nan"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=-1"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=inf"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=1_0"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=+1"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=4.5"),  # more than the limit per request
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,units=1e9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=+9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d= 9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=1_0"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,odd=9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,r=2"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,spread=4"),  # exceeds the fleet size
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,first=3"),
        (b"CALL.GET", TENANT, b"", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"a b", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1" * 65, b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=order,t=basic,d=9"),  # not idempotent, so CALL.POST is required
        (b"CALL.POST", TENANT, b"1", b"c=lookup,t=basic,d=9", b""),
        (b"call.get", TENANT, b"1", b"c=lookup,t=basic,d=9"),  # would be forwarded unchanged
        (b"CALL.GET", b"+0000000000000ab", b"1", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", b"0000_0000_0000ab", b"1", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,spread=0"),
        (b"CALL.GET", TENANT, b"1", b"c=lookup,t=basic,d=9,first=-1"),
        (b"CALL.GET", b"00000002000000000", b"1", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", b"0000000200000000", b"1", b"c=lookup,t=basic,d=9"),
        (b"CALL.GET", b"zz000000000000ab", b"1", b"c=lookup,t=basic,d=9"),
        (b"",),
    ],
)
def test_invalid_command_is_answered_with_an_error_and_the_connection_stays_open(
    run_scenario: RunScenario, arguments: tuple[bytes, ...]
) -> None:
    async def scenario(gateway: ClientSide) -> None:
        reader, writer = await gateway.connect()
        writer.write(resp(*arguments) + PING)
        assert (await reader.readline()).startswith(b"-ERR ")
        assert await reader.readline() == PONG
        assert gateway.engine.calls.empty()

    run_scenario(scenario)
