"""Values of 64 KiB, the largest that the protocol allows, forwarded by a real gateway."""

from rushroad.bench.real.gateway_settings import gateway_settings
from tests.support.gateway_cluster import RunningCluster, request_command
from tests.support.loopback import run

MAX_VALUE_BYTES = 64 * 1024
ORDER_CLASS = gateway_settings(1, 0)["classes"][0] | {"name": "order", "effect": "once"}


def test_value_of_64_kib_passes_in_both_directions_and_one_byte_more_does_not(
    running_cluster: RunningCluster,
) -> None:
    async def scenario() -> None:
        async with running_cluster(servers=1, settings={"classes": [ORDER_CLASS]}) as cluster:
            client, server = await cluster.connect(), cluster.rate_servers[0]
            server.value = bytes(range(256)) * (MAX_VALUE_BYTES // 256)
            client.writer.write(request_command(1, 5_000, class_name=b"order", body=b"b" * MAX_VALUE_BYTES))
            assert await client.read_answer() == server.value
            client.writer.write(
                request_command(2, 5_000, class_name=b"order", body=b"b" * (MAX_VALUE_BYTES + 1))
            )
            assert (await client.read_answer()).startswith(b"-ERR Protocol error")
            assert await client.read_answer() == b""
            client = await cluster.connect()
            server.value += b"!"
            client.writer.write(request_command(3, 5_000, class_name=b"order"))
            assert await client.read_answer() == b"-ERR failed"
            assert [attempt.request_id for attempt in server.attempts] == [b"%016x" % 1, b"%016x" % 3]

    run(scenario)
