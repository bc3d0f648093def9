"""Tests of the PINGs that measure stalls, against a scripted gateway."""

import asyncio

from rushroad.bench.pinger import Pinger
from tests.support.loopback import LOOPBACK, run


def test_the_longest_round_trip_includes_a_ping_in_flight() -> None:
    async def scenario() -> None:
        pings_received = 0
        third_received = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal pings_received
            while await reader.readuntil(b"PING\r\n"):
                pings_received += 1
                if pings_received == 3:
                    third_received.set()
                    return  # without a PONG
                writer.write(b"+PONG\r\n")

        async with await asyncio.start_server(serve, LOOPBACK, 0) as server:
            port = server.sockets[0].getsockname()[1]
            _, pinger = await asyncio.get_running_loop().create_connection(Pinger, LOOPBACK, port)
            await third_received.wait()
            assert pinger.take_longest().answers == 2
            assert pinger.take_longest().seconds > 0

    run(scenario)
