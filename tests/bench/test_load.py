"""The open-loop clients: what they count, before a gateway that answers as the test says."""

import asyncio
from typing import Any

from rushroad.bench.load import Load, Pings
from rushroad.bench.stand_ins.rate_servers import LATE, RateServers, server_address
from rushroad.proxy.resp import Reader
from tests.support.loopback import LOCAL, run

ORDER = {
    "rate": 1e6,
    "count": 40,
    "tenants": 5,
    "fleet": 9,
    "numbers": [0],
    "spread": 3,
    "patience_ms": 9_000,
    "cls": "quote",
    "plan": "small",
    "seed": 3,
}


async def play(order: dict[str, Any]) -> tuple[dict[str, Any], list[list[Any]]]:
    """The load's result, and the commands; the last digit of a request's id tells what it gets."""
    came: list[list[Any]] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        commands = Reader(16)
        while data := await reader.read(1 << 16):
            commands.feed(data)
            while (words := commands.next()) is not None:
                assert isinstance(words, list) and words[2] is not None
                came.append(words)
                number, value = words[2], b"%b 700" % words[2]
                match int(number, 16) % 8:
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

    done: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
    async with await asyncio.start_server(serve, LOCAL, 0) as server:
        address = f"{LOCAL}:{server.sockets[0].getsockname()[1]}"
        Load(order | {"gateways": [address]}, done.set_result)
        return await done, came


def test_each_request_has_one_outcome_and_a_served_one_the_value_made_for_it() -> None:
    async def scenario() -> None:
        result, came = await play(ORDER)
        counts = {name: result[name] for name in ("served", "refused", "failed", "wrong", "lost")}
        assert counts == {"served": 20, "refused": 5, "failed": 5, "wrong": 5, "lost": 5}
        assert len({bytes(words[2]) for words in came}) == 40
        assert result["tenants_seen"] == 5
        assert result["latency"]["p50"] > result["added"]["p50"]  # the servers' 700 us are not added

    run(scenario)


def test_a_tenant_comes_through_gateways_in_a_row_of_which_this_is_one() -> None:
    async def scenario() -> None:
        _, came = await play(ORDER)
        firsts = {bytes(words[3]).rpartition(b"first=")[2] for words in came}
        assert firsts == {b"0", b"8", b"7"}  # of 9 gateways, 3 in a row, with number 0 among them

    run(scenario)


def test_pings_follow_each_other_and_are_counted() -> None:
    async def scenario() -> None:
        pongs = 0
        enough = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal pongs
            while await reader.readuntil(b"PING\r\n"):
                pongs += 1
                if pongs == 3:
                    enough.set()
                    return  # the third stays unanswered
                writer.write(b"+PONG\r\n")

        async with await asyncio.start_server(serve, LOCAL, 0) as server:
            port = server.sockets[0].getsockname()[1]
            _, pings = await asyncio.get_running_loop().create_connection(Pings, LOCAL, port)
            await enough.wait()
            assert pings.longest_since()["pings"] == 2
            assert pings.longest_since()["longest_s"] > 0  # the one under way counts

    run(scenario)


class Still:
    """A loop's clock that moves when the test says."""

    now = 100.0

    def time(self) -> float:
        return self.now


def test_an_attempt_is_late_only_some_time_after_its_server_was_told_as_gone() -> None:
    clock: Any = Still()
    servers = RateServers(0.0, False, clock)
    servers.told_gone([4])
    servers.count_attempt(4)
    clock.now += LATE + 0.01
    servers.count_attempt(5)
    assert servers.figures == {"attempts": 2}
    servers.count_attempt(4)
    assert servers.figures == {"attempts": 3, "late": 1}


def test_every_rate_server_has_an_address_of_its_own() -> None:
    addresses = [server_address(number, 6379) for number in range(97_000)]
    assert len(set(addresses)) == 97_000
    assert addresses[-1] == "127.65.122.231:6379"
