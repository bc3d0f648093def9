"""The log of a gateway process: if nobody reads it, lines are dropped and requests are still served."""

import asyncio
import fcntl
import os
import signal
from pathlib import Path

from tests.support.gateway_cluster import GatewayCluster, request_command
from tests.support.loopback import run

PIPE_BYTES = 4_096
LINES = 120  # more than a pipe of PIPE_BYTES holds
EXPECTED_LINE = b"the new configuration can't be read"


async def read_until(descriptor: int, end: bytes) -> bytes:
    """Read from a pipe until the data contains `end`."""
    data = b""
    os.set_blocking(descriptor, False)
    async with asyncio.timeout(5.0):
        while end not in data:
            try:
                data += os.read(descriptor, 1 << 16)
            except BlockingIOError:
                await asyncio.sleep(0.01)
    return data


def test_log_pipe_without_a_reader_drops_lines_and_does_not_block_the_gateway(tmp_path: Path) -> None:
    async def scenario() -> None:
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        async with GatewayCluster(tmp_path, servers=2, stderr=writer) as cluster:
            process = cluster.start()
            os.close(writer)
            await cluster.wait_until_ready()
            client = await cluster.connect()
            cluster.configuration_file(0).write_text("{nope")
            for request_id in range(1, LINES):
                process.send_signal(signal.SIGHUP)
                client.writer.write(request_command(request_id, 2_000))
                async with asyncio.timeout(2.0):
                    assert await client.read_answer() == b"%016x" % request_id
                if request_id % 20 == 0:
                    await asyncio.sleep(1.0)  # the log accepts a limited number of lines per second
            log = await read_until(reader, b"dropped")
            assert EXPECTED_LINE in log
            assert await cluster.stop() == 0
        os.close(reader)

    run(scenario)
