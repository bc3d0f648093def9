"""The PINGs that look for stalls, before a gateway that answers as the test says."""

import asyncio

from rushroad.bench.pings import Pings
from tests.support.loopback import LOCAL, run


def test_pings_follow_each_other_and_one_in_flight_counts_in_the_longest() -> None:
    async def scenario() -> None:
        pings_received = 0
        third_received = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal pings_received
            while await reader.readuntil(b"PING\r\n"):
                pings_received += 1
                if pings_received == 3:
                    third_received.set()
                    return  # without an answer
                writer.write(b"+PONG\r\n")

        async with await asyncio.start_server(serve, LOCAL, 0) as server:
            port = server.sockets[0].getsockname()[1]
            _, pings = await asyncio.get_running_loop().create_connection(Pings, LOCAL, port)
            await third_received.wait()
            assert pings.take_longest().answers == 2
            assert pings.take_longest().seconds > 0

    run(scenario)
