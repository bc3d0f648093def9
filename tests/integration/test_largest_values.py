"""Values of 64 KiB, the largest that the protocol allows, through a real gateway."""

from pathlib import Path

from rushroad.bench.real.gateway_settings import gateway_settings
from tests.support.gateway_cluster import World, call
from tests.support.loopback import run

LARGEST = 64 * 1024
ORDER = gateway_settings(1, 0)["classes"][0] | {"name": "order", "effect": "once"}


def test_a_value_of_64_kib_passes_whole_in_both_directions_and_one_byte_more_does_not(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(tmp_path, servers=1, settings={"classes": [ORDER]}) as world:
            world.start()
            await world.ready()
            client, server = await world.connect(), world.rate_servers[0]
            server.value = bytes(range(256)) * (LARGEST // 256)
            client.writer.write(call(1, 5_000, name=b"order", body=b"b" * LARGEST))
            assert await client.answer() == server.value
            client.writer.write(call(2, 5_000, name=b"order", body=b"b" * (LARGEST + 1)))
            assert (await client.answer()).startswith(b"-ERR Protocol error")
            assert await client.answer() == b""
            client = await world.connect()
            server.value += b"!"
            client.writer.write(call(3, 5_000, name=b"order"))
            assert await client.answer() == b"-ERR failed"
            assert [attempt.request for attempt in server.attempts] == [b"%016x" % 1, b"%016x" % 3]

    run(scenario)
