"""Discovery: an endpoint list of any size, its changes, and times of silence."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from rushroad.bench.commands import DiscoveryFigures
from rushroad.bench.stand_ins.discovery_entries import Entry, encode_message, list_entry
from rushroad.bench.stand_ins.discovery_watch import Watch

HEARTBEAT_S = 2.0  # between empty lines while nothing changes
MAX_HISTORY = 10_000  # changes that a watch can go on from; one from further back gets the whole list
BACKLOG = 4_096  # connects that wait to be accepted


class Change(NamedTuple):
    """A change of the list, as a message of the watch."""

    generation: int
    message: bytes


class Discovery:
    """The endpoint list and its watches, and `figures` of what was served."""

    def __init__(
        self,
        rate_servers: int,
        address: Callable[[int], str],
        on_removed: Callable[[list[int]], None],
        indent: int | None,
        chance: random.Random,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """`address` is of a rate server by its number; `on_removed` gets the numbers of those removed."""
        self._loop, self._address, self._on_removed = loop, address, on_removed
        self._indent, self._random = indent, chance
        self.figures = DiscoveryFigures()
        self.generation = 1
        self.silent = False
        self.watches: set[Watch] = set()
        self._waiting: list[Watch] = []  # watches that came during silence
        self._entries = {number: list_entry(number, address(number)) for number in range(rate_servers)}
        self._next_number = rate_servers  # of the next new rate server
        self._draining: deque[int] = deque()
        self._history: deque[Change] = deque(maxlen=MAX_HISTORY)
        self._removed_while_silent: list[int] = []
        self._snapshot = Change(0, b"")  # the whole list at the generation at which it was last asked for
        self._rolling: asyncio.TimerHandle | None = None
        self._listener: asyncio.Server

    async def listen(self) -> str:
        """Listen; returns the address."""
        self._listener = await self._loop.create_server(lambda: Watch(self), "127.0.0.1", 0, backlog=BACKLOG)
        self._send_heartbeats()
        host, port = self._listener.sockets[0].getsockname()
        return f"{host}:{port}"

    def snapshot(self) -> bytes:
        """The whole list as a message of the watch."""
        if self._snapshot.generation != self.generation:
            message = encode_message(self.generation, list(self._entries.values()), self._indent)
            self._snapshot = Change(self.generation, message)
        return self._snapshot.message

    def can_resume_from(self, generation: int) -> bool:
        """True where a watch can go on from there by changes alone."""
        oldest = self._history[0].generation - 1 if self._history else self.generation
        return oldest <= generation <= self.generation

    def changes_since(self, generation: int) -> list[Change]:
        """The changes after a generation."""
        return [change for change in self._history if change.generation > generation]

    def start_watch(self, watch: Watch) -> None:
        """Answer a new watch, now or when the silence is over."""
        self.figures.watches += 1
        self.watches.add(watch)
        if self.silent:
            self._waiting.append(watch)
        else:
            watch.start()

    def set_silent(self, silent: bool) -> None:
        """Send nothing from now on, or send what has changed meanwhile and go on."""
        self.silent = silent
        if silent:
            return
        waiting, self._waiting = self._waiting, []
        for watch in self.watches - set(waiting):
            watch.send_changes()
        for watch in waiting:
            watch.start()
        self._on_removed(self._removed_while_silent)
        self._removed_while_silent = []

    def remove(self, count: int, first: Iterable[int] = ()) -> list[int]:
        """Remove so many entries in one message, the `first` before others; returns their numbers."""
        order = dict.fromkeys(number for number in (*first, *self._entries) if number in self._entries)
        numbers = list(order)[:count]
        self._change(numbers, [])
        return numbers

    def roll(self, rate: float) -> None:
        """Make so many changes a second from now on: an endpoint drains, is removed, a new one is added."""
        if self._rolling is not None:
            self._rolling.cancel()
            self._rolling = None
        if rate > 0:
            self._schedule_roll(1.0 / rate, 0)

    def _schedule_roll(self, interval_s: float, step: int) -> None:
        next_step = (step + 1) % 3
        self._rolling = self._loop.call_later(interval_s, self._schedule_roll, interval_s, next_step)
        if step == 0:
            number = self._random.choice(list(self._entries))
            self._draining.append(number)
            self._entries[number] = self._entries[number] | {"lifecycle": "DRAINING"}
            self._change([], [number])
        elif step == 1:
            number = self._draining.popleft()
            self._change([number] if number in self._entries else [], [])
        else:
            number, self._next_number = self._next_number, self._next_number + 1
            self._entries[number] = list_entry(number, self._address(number), time.time_ns() // 1_000_000)
            self._change([], [number])

    def _change(self, removed: list[int], changed: list[int]) -> None:
        entries: list[Entry] = [self._entries.pop(number) | {"lifecycle": "DELETED"} for number in removed]
        entries += [self._entries[number] for number in changed]
        self.generation += 1
        self.figures.changes += 1
        message = encode_message(self.generation, entries, self._indent, reset=False)
        self._history.append(Change(self.generation, message))
        if self.silent:
            self._removed_while_silent += removed
            return
        for watch in list(self.watches):
            watch.send_changes()
        self._on_removed(removed)

    def _send_heartbeats(self) -> None:
        if not self.silent:
            for watch in self.watches:
                watch.send_heartbeat()
        self._loop.call_later(HEARTBEAT_S, self._send_heartbeats)
