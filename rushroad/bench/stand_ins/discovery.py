"""Discovery: a list of any size, its changes, and times of silence."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import h11

HEARTBEAT = 2.0  # seconds between empty lines while nothing changes
CHUNK = 1 << 16  # bytes of one chunk of an answer
HISTORY = 10_000  # changes that a watch can go on from; one from further back gets the whole list
KINDS = ("full", "slow")
ZONES = ("room-a", "room-b", "room-c")
BACKLOG = 4_096  # connects that wait to be accepted
Entry = dict[str, Any]


def entry(server: int, address: str, started_at_ms: int = 0) -> Entry:
    """The list's line for a rate server that serves."""
    return {
        "instanceId": f"s-{server:08x}",
        "hostPort": address,
        "zone": ZONES[server % len(ZONES)],
        "machineType": KINDS[server % len(KINDS)],
        "cell": server % 7,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": started_at_ms,
    }


def whole_list(generation: int, entries: list[Entry], indent: int | None, reset: bool = True) -> bytes:
    """An object of the watch, on one line, or over many where indented."""
    data = {"generation": generation, "reset": reset, "instances": entries}
    return json.dumps(data, indent=indent, separators=(",", ": " if indent else ":")).encode() + b"\n"


class _Watch(asyncio.Protocol):
    """One connection: a watch, or a call for the whole list."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport
        self._told = -1  # the generation it has been told; -1 before its request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A gateway has come."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        """It has left."""
        self._discovery.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        """A request; anything else ends the connection."""
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError:
            self._transport.abort()
            return
        if isinstance(event, h11.Request):
            self._answer(urlsplit(event.target.decode()))

    def _answer(self, url: Any) -> None:
        query = parse_qs(url.query)
        if url.path != "/v1/servers":
            self._respond(404)
            self._transport.close()
        elif "watch" in query:
            self._discovery.figures["watches"] += 1
            self._told = int(query.get("from", ["0"])[0])
            self._discovery.watches.add(self)
            self._discovery.greet(self)
        elif not self._discovery.silent:
            self._respond(200)
            self._write(self._discovery.whole())
            self._transport.write(self._http.send(h11.EndOfMessage()) or b"")

    def _respond(self, status: int) -> None:
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        self._transport.write(self._http.send(h11.Response(status_code=status, headers=headers)) or b"")

    def _write(self, text: bytes) -> None:
        self._discovery.figures["bytes"] += len(text)
        for at in range(0, len(text), CHUNK):
            self._transport.write(self._http.send(h11.Data(data=text[at : at + CHUNK])) or b"")

    def greet(self) -> None:
        """The first object: what has changed since the generation it named, or the whole list."""
        self._respond(200)
        if self._discovery.reaches(self._told):
            self.tell()
        else:
            self._write(self._discovery.whole())
            self._told = self._discovery.generation

    def tell(self) -> None:
        """What has changed since it was last told, or an empty line."""
        if self._told == self._discovery.generation:
            self.beat()
        for generation, text in self._discovery.since(self._told):
            self._write(text)
            self._told = generation

    def beat(self) -> None:
        """An empty line."""
        self._write(b"\n")


class Discovery:
    """The list and its watches. `figures` counts watches, bytes and changes; `gone` hears who is gone."""

    def __init__(
        self,
        servers: int,
        address: Callable[[int], str],
        gone: Callable[[list[int]], None],
        indent: int | None,
        chance: random.Random,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._loop, self._address, self._gone = loop, address, gone
        self._indent, self._chance = indent, chance
        self.figures: Counter[str] = Counter()
        self.generation = 1
        self.silent = False
        self.watches: set[_Watch] = set()
        self._waiting: list[_Watch] = []  # watches that came during silence
        self._entries = {number: entry(number, address(number)) for number in range(servers)}
        self._next = servers  # the number of the next new server
        self._draining: deque[int] = deque()
        self._history: deque[tuple[int, bytes]] = deque(maxlen=HISTORY)
        self._unsaid: list[int] = []  # gone during silence
        self._whole: tuple[int, bytes] = (0, b"")
        self._rolling: asyncio.TimerHandle | None = None
        self._listener: asyncio.Server

    async def listen(self) -> str:
        """Listen; returns the address."""
        self._listener = await self._loop.create_server(lambda: _Watch(self), "127.0.0.1", 0, backlog=BACKLOG)
        self._beat()
        host, port = self._listener.sockets[0].getsockname()
        return f"{host}:{port}"

    def whole(self) -> bytes:
        """The whole list as an object of the watch."""
        if self._whole[0] != self.generation:
            entries = list(self._entries.values())
            self._whole = (self.generation, whole_list(self.generation, entries, self._indent))
        return self._whole[1]

    def reaches(self, generation: int) -> bool:
        """A watch can go on from there by changes alone."""
        oldest = self._history[0][0] - 1 if self._history else self.generation
        return oldest <= generation <= self.generation

    def since(self, generation: int) -> list[tuple[int, bytes]]:
        """The changes after a generation, as objects of the watch."""
        return [change for change in self._history if change[0] > generation]

    def greet(self, watch: _Watch) -> None:
        """Answer a new watch, now or when the silence is over."""
        if self.silent:
            self._waiting.append(watch)
        else:
            watch.greet()

    def silence(self, on: bool) -> None:
        """Say nothing more, or tell what has changed meanwhile and go on."""
        self.silent = on
        if on:
            return
        waiting, self._waiting = self._waiting, []
        for watch in self.watches - set(waiting):
            watch.tell()
        for watch in waiting:
            watch.greet()
        self._gone(self._unsaid)
        self._unsaid = []

    def remove(self, count: int, first: Iterable[int] = ()) -> list[int]:
        """So many entries are gone in one message: these first, then the list's; returns their numbers."""
        order = dict.fromkeys(number for number in (*first, *self._entries) if number in self._entries)
        numbers = list(order)[:count]
        self._change(numbers, [])
        return numbers

    def roll(self, rate: float) -> None:
        """From now on so many changes a second: a server drains, is gone, and a new one is in its place."""
        if self._rolling is not None:
            self._rolling.cancel()
            self._rolling = None
        if rate > 0:
            self._roll(1.0 / rate, 0)

    def _roll(self, pause: float, step: int) -> None:
        self._rolling = self._loop.call_later(pause, self._roll, pause, (step + 1) % 3)
        if step == 0:
            number = self._chance.choice(list(self._entries))
            self._draining.append(number)
            self._entries[number] = self._entries[number] | {"lifecycle": "DRAINING"}
            self._change([], [number])
        elif step == 1:
            self._change([number for number in [self._draining.popleft()] if number in self._entries], [])
        else:
            number, self._next = self._next, self._next + 1
            self._entries[number] = entry(number, self._address(number), time.time_ns() // 1_000_000)
            self._change([], [number])

    def _change(self, gone: list[int], changed: list[int]) -> None:
        lines = [self._entries.pop(number) | {"lifecycle": "DELETED"} for number in gone]
        lines += [self._entries[number] for number in changed]
        self.generation += 1
        self.figures["changes"] += 1
        self._history.append((self.generation, whole_list(self.generation, lines, self._indent, reset=False)))
        if self.silent:
            self._unsaid += gone
            return
        for watch in list(self.watches):
            watch.tell()
        self._gone(gone)

    def _beat(self) -> None:
        if not self.silent:
            for watch in self.watches:
                watch.beat()
        self._loop.call_later(HEARTBEAT, self._beat)
