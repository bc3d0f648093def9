"""Lists of tens of thousands of servers: taken in parts, a turn of the loop for each, however they end."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from lynxreel import discovery as module
from lynxreel.discovery import PART, Discovery, Line
from lynxreel.log import _Log
from mothgap.interface import ListKind, Members, State
from tests.net import LOCAL, NAMES, Peer, run
from tests.test_discovery import HEAD, chunk, line

LONG = 20_000  # entries
News = list[tuple[int, Members]]  # the turn of the loop in which it came, and what


@pytest.fixture(autouse=True)
def fresh_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """What other tests have logged in the same second must not crowd out the lines of this one."""
    monkeypatch.setattr(module, "log", _Log())


def entries(count: int) -> list[dict[str, Any]]:
    """The last one drains."""
    lines = [
        {"instanceId": f"s-{n}", "hostPort": f"{LOCAL}:{n % 60_000 + 1}", "lifecycle": "SERVING"}
        for n in range(count)
    ]
    return [*lines[:-1], lines[-1] | {"lifecycle": "DRAINING"}]


def whole(count: int = LONG, reset: bool = True, indent: int | None = None) -> bytes:
    text = {"generation": 50, "reset": reset, "instances": entries(count)}
    return json.dumps(text, indent=indent).encode() + b"\n"


class Watched:
    """A watch on a peer, and what it told."""

    def __init__(self, peer: Peer, memory: int) -> None:
        loop = asyncio.get_running_loop()
        self.peer, self.news, self.turn = peer, News(), 0
        self.came = asyncio.Event()
        address, chance = (LOCAL, peer.port), random.Random(1)
        self.discovery = Discovery(address, 41, NAMES, self._note, loop, chance, memory)
        loop.call_soon(self._count_turn)

    def _count_turn(self) -> None:
        self.turn += 1
        asyncio.get_running_loop().call_soon(self._count_turn)

    def _note(self, members: Members, lines: list[Line]) -> None:
        assert members.members == tuple(member for member, _ in lines)
        self.news.append((self.turn, members))
        self.came.set()

    async def until(self, version: int) -> None:
        while self.discovery.version != version:
            self.came.clear()
            await self.came.wait()
            await asyncio.sleep(0)

    async def asked_again(self) -> bytes:
        while (heard := (await self.peer.hear())[1]) == b"":
            pass
        return heard

    def named(self) -> list[str]:
        return [member.server for _, members in self.news for member in members.members]


def play(scenario: Callable[[Watched], Awaitable[None]], memory: int = module.MEMORY) -> None:
    async def start() -> None:
        async with Peer() as peer:
            watched = Watched(peer, memory)
            await scenario(watched)
            watched.discovery.close()

    run(start)


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("reset", [True, False])
def test_a_long_list_is_told_in_parts_that_each_have_a_turn_of_their_own(
    reset: bool, indent: int | None
) -> None:
    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD + chunk(whole(reset=reset, indent=indent)))
        await watched.until(50)
        events = [members for _, members in watched.news]
        assert watched.named() == [f"s-{n}" for n in range(LONG)]
        assert max(len(members.members) for members in events) <= PART
        turns = [turn for turn, _ in watched.news]
        assert len(set(turns)) == len(turns) >= LONG / PART
        assert events[-1].last
        assert [m.server for e in events for m in e.members if m.state is State.DRAINING] == [f"s-{LONG - 1}"]
        if reset:
            assert {e.kind for e in events} == {ListKind.FULL}
            assert [e.first for e in events] == [True] + [False] * (len(events) - 1)
            assert [e.last for e in events] == [False] * (len(events) - 1) + [True]
        else:  # each is whole in itself
            assert {(e.kind, e.first, e.last) for e in events} == {(ListKind.CHANGES, True, True)}

    play(scenario)


def test_many_short_lists_at_once_have_a_turn_each() -> None:
    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD + chunk(b"".join(line(42 + n) for n in range(100))))
        await watched.until(141)
        turns = [turn for turn, _ in watched.news]
        assert len(set(turns)) == len(turns) == 100

    play(scenario)


@pytest.mark.parametrize("end", [b"zz\r\n", b"", chunk(b"\n\n"), chunk(line(51))])
def test_a_list_that_breaks_off_has_no_last_part_and_is_asked_for_again(end: bytes) -> None:
    # Nobody is gone for want of being named; but what came, also of drains, holds.
    async def scenario(watched: Watched) -> None:
        text = whole()
        cut = text[: text.index(b'{"instanceId": "s-9000"')].rstrip(b", ")
        await watched.peer.answer(HEAD + chunk(cut) + end)
        if not end:
            watched.peer.writers[0].close()
        assert b"from=41 " in await watched.asked_again()
        assert watched.named() == [f"s-{n}" for n in range(9000)]
        assert not any(members.last for _, members in watched.news)
        assert watched.discovery.version == 41

    play(scenario)


def test_one_whose_version_comes_behind_its_entries_is_held_until_then() -> None:
    async def scenario(watched: Watched) -> None:
        text = json.dumps({"instances": entries(LONG), "reset": True, "generation": 50}).encode()
        await watched.peer.answer(HEAD + chunk(text[:-20]))
        while watched.discovery._watch is None:  # it has begun to speak
            await asyncio.sleep(0)
        assert not watched.news
        watched.peer.writers[0].write(chunk(text[-20:]))
        await watched.until(50)
        assert watched.named() == [f"s-{n}" for n in range(LONG)]
        assert [(m.first, m.last) for _, m in watched.news][:: len(watched.news) - 1] == [
            (True, False), (False, True),
        ]  # fmt: skip

    play(scenario)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (whole(), 4_000),
        (json.dumps({"instances": entries(LONG), "reset": True, "generation": 50}).encode(), 0),
    ],
)
def test_one_that_is_too_long_for_the_memory_is_left_with_one_line(
    text: bytes, told: int, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD + chunk(text))
        assert b"from=41 " in await watched.asked_again()
        assert (len(watched.named()) > told) is (told > 0)
        assert len(watched.named()) < LONG / 2
        assert not any(members.last for _, members in watched.news)

    play(scenario, memory=6 << 20)
    err = capfd.readouterr().err
    assert err.count("more than the memory limit allows") == err.count("\n") == 1


def test_an_older_long_list_tells_nothing() -> None:
    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD + chunk(line(60)) + chunk(whole()) + chunk(line(61)))
        await watched.until(61)
        assert [members.version for _, members in watched.news] == [60, 61]

    play(scenario)


def test_a_watch_that_has_answered_but_told_nothing_does_not_count() -> None:
    async def scenario(watched: Watched) -> None:
        await watched.peer.answer(HEAD)
        assert b"from=41 " in await watched.asked_again()
        assert watched.discovery._watch is None

    play(scenario)
