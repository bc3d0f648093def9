"""Tests of the open-loop load generator, against a scripted gateway."""

import asyncio
from typing import NamedTuple, cast

import pytest
from msgspec import structs

from rushroad.bench.commands import LoadResult, Outcome, StartLoad
from rushroad.bench.load import LoadGenerator
from rushroad.proxy.resp import Reader
from tests.support.loopback import LOOPBACK, run


class LoadRun(NamedTuple):
    result: LoadResult
    commands: list[list[bytes]]  # received by the gateway


@pytest.fixture
def start_load() -> StartLoad:
    return StartLoad(
        gateways=(),
        gateway_indices=(0,),
        fleet_size=9,
        request_rate=1e6,
        requests=40,
        tenants=5,
        entry_points=3,
        deadline_ms=9_000,
        request_class="quote",
        plan="small",
        seed=3,
    )


async def run_load(command: StartLoad) -> LoadRun:
    """Run a load against a gateway that chooses its answer by the lowest bits of the request's ID."""
    commands: list[list[bytes]] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = Reader(16)
        while data := await reader.read(1 << 16):
            parser.feed(data)
            while (parsed := parser.next()) is not None:
                arguments = cast(list[bytes], parsed)
                commands.append(arguments)
                request_id, value = arguments[2], b"%b 700" % arguments[2]
                match int(request_id, 16) % 8:
                    case 0:
                        writer.write(b"-BUSY 20\r\n")
                    case 1:
                        writer.write(b"-ERR failed\r\n")
                    case 2:
                        writer.write(b"$3\r\nabc\r\n")
                    case 3:
                        writer.close()
                        return
                    case _:
                        writer.write(b"$%d\r\n%b\r\n" % (len(value), value))

    done: asyncio.Future[LoadResult] = asyncio.get_running_loop().create_future()
    async with await asyncio.start_server(serve, LOOPBACK, 0) as server:
        address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        LoadGenerator(structs.replace(command, gateways=(address,)), done.set_result)
        return LoadRun(await done, commands)


def test_each_request_is_counted_under_one_outcome_by_its_answer(start_load: StartLoad) -> None:
    async def scenario() -> None:
        result, commands = await run_load(start_load)
        assert result.outcomes == {
            Outcome.SERVED: 20,
            Outcome.REJECTED: 5,
            Outcome.FAILED: 5,
            Outcome.WRONG: 5,
            Outcome.LOST: 5,
        }
        assert len({arguments[2] for arguments in commands}) == 40
        assert result.tenants_seen == 5
        assert result.latency.p50 > result.added.p50  # without the 700 us of service time

    run(scenario)


def test_the_entry_points_of_a_tenant_are_consecutive_gateways_that_include_this_one(
    start_load: StartLoad,
) -> None:
    async def scenario() -> None:
        _, commands = await run_load(start_load)
        first_entries = {arguments[3].rpartition(b"first=")[2] for arguments in commands}
        assert first_entries == {b"0", b"8", b"7"}  # 3 consecutive gateways of 9, which include index 0

    run(scenario)
