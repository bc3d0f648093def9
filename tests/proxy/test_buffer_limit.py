"""The limit on the buffers of all client connections: who is restricted, and who goes on."""

import asyncio

from rushroad.proxy.buffer_limit import (
    FREE_BYTES,
    MAX_EXEMPT,
    MIN_LIMIT_BYTES,
    READ_BYTES,
    REDUCED_READ_BYTES,
)
from rushroad.proxy.resp import MAX_MESSAGE_BYTES
from tests.support.client_side import ClientSide, RunScenario
from tests.support.loopback import TENANT, call, resp

BODY = b"x" * 60_000
FLOODERS, COMMANDS = 60, 10


def long_command(request_id: int) -> bytes:
    return resp(b"CALL.POST", TENANT, b"%016x" % request_id, b"c=order,t=basic,d=900", BODY)


def test_over_the_limit_long_commands_are_rejected_and_short_ones_are_served(
    run_scenario: RunScenario,
) -> None:
    # Guards against: clients that send much at once exhaust the memory, or take the service from others.
    async def scenario(gateway: ClientSide) -> None:
        buffers = gateway.connections.buffers
        flooders = [await gateway.connect() for _ in range(FLOODERS)]
        for number, (_, writer) in enumerate(flooders):
            writer.write(b"".join(long_command(number * COMMANDS + index) for index in range(COMMANDS)))
        while not buffers.is_exceeded():
            await asyncio.sleep(0)
        submitted = [await gateway.engine.calls.get() for _ in range(gateway.engine.calls.qsize())]

        reader, writer = await gateway.connect()
        writer.write(call(1_000))
        while (command := await gateway.engine.calls.get()).id != b"%016x" % 1_000:
            submitted.append(command)
        command.succeed(b"served")
        assert await reader.readline() == b"$6\r\n"
        per_connection = FREE_BYTES + REDUCED_READ_BYTES
        incomplete_commands = READ_BYTES + MAX_EXEMPT * MAX_MESSAGE_BYTES
        assert buffers.used_bytes <= MIN_LIMIT_BYTES + incomplete_commands + FLOODERS * per_connection

        async def read_answers(reader: asyncio.StreamReader) -> list[bytes]:
            return [await reader.readline() for _ in range(COMMANDS)]

        answers = asyncio.gather(*(read_answers(reader) for reader, _ in flooders))
        while not answers.done():
            submitted += [gateway.engine.calls.get_nowait() for _ in range(gateway.engine.calls.qsize())]
            while submitted:
                submitted.pop().fail()
            await asyncio.sleep(0)
        assert {answer for lines in await answers for answer in lines} == {b"-BUSY\r\n", b"-ERR failed\r\n"}

    run_scenario(scenario, max_connections=FLOODERS + 1, memory_limit=0)
