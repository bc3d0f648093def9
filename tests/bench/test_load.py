"""The open-loop clients, before a gateway that answers as the test says."""

import asyncio
from typing import NamedTuple, cast

import pytest
from msgspec import structs

from rushroad.bench.commands import LoadResult, Outcome, StartLoad
from rushroad.bench.load import Load
from rushroad.proxy.resp import Reader
from tests.support.loopback import LOCAL, run


class Played(NamedTuple):
    result: LoadResult
    commands: list[list[bytes]]  # that came to the gateway


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


async def play(command: StartLoad) -> Played:
    """Send the load to a gateway that answers by the last digit of a request's id."""
    commands: list[list[bytes]] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = Reader(16)
        while data := await reader.read(1 << 16):
            parser.feed(data)
            while (parsed := parser.next()) is not None:
                words = cast(list[bytes], parsed)
                commands.append(words)
                request_id, value = words[2], b"%b 700" % words[2]
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
    async with await asyncio.start_server(serve, LOCAL, 0) as server:
        address = f"{LOCAL}:{server.sockets[0].getsockname()[1]}"
        Load(structs.replace(command, gateways=(address,)), done.set_result)
        return Played(await done, commands)


def test_each_request_has_one_outcome_and_a_served_one_the_value_made_for_it(start_load: StartLoad) -> None:
    async def scenario() -> None:
        result, commands = await play(start_load)
        assert result.outcomes == {
            Outcome.SERVED: 20,
            Outcome.REJECTED: 5,
            Outcome.FAILED: 5,
            Outcome.WRONG: 5,
            Outcome.LOST: 5,
        }
        assert len({words[2] for words in commands}) == 40
        assert result.tenants_seen == 5
        assert result.latency.p50 > result.added.p50  # the rate servers' 700 us are not added

    run(scenario)


def test_a_tenants_entry_points_are_gateways_in_a_row_of_which_this_is_one(start_load: StartLoad) -> None:
    async def scenario() -> None:
        _, commands = await play(start_load)
        first_entries = {words[3].rpartition(b"first=")[2] for words in commands}
        assert first_entries == {b"0", b"8", b"7"}  # of 9 gateways, 3 in a row, with number 0 among them

    run(scenario)
