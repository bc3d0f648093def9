"""Stand-in for discovery: an endpoint list of any size, which can change, and output that can be stopped."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from rushroad.bench.commands import DiscoveryStats
from rushroad.bench.stand_ins.discovery_entries import Entry, encode_message, endpoint_entry
from rushroad.bench.stand_ins.discovery_watch import Watch

HEARTBEAT_INTERVAL_S = 2.0  # between the empty lines that are sent on every watch
MAX_HISTORY = 10_000  # changes kept for resuming watches; a watch from an older generation gets a snapshot
BACKLOG = 4_096  # connections waiting to be accepted


class Change(NamedTuple):
    """A message of the watch, and the generation of the list after it."""

    generation: int
    message: bytes


class Discovery:
    """The endpoint list, its watches and statistics of what was sent."""

    def __init__(
        self,
        rate_servers: int,
        address: Callable[[int], str],
        on_removed: Callable[[list[int]], None],
        indent: int | None,
        rng: random.Random,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a list of `rate_servers` endpoints.

        `address` returns the address of a rate server by its index; `on_removed` is called with the indices
        of endpoints whose removal has just been published.
        """
        self._loop, self._address, self._on_removed = loop, address, on_removed
        self._indent, self._rng = indent, rng
        self.stats = DiscoveryStats()
        self.generation = 1
        self.silent = False
        self.watches: set[Watch] = set()
        self._pending_watches: list[Watch] = []  # opened while silent, without a response yet
        self._entries = {index: endpoint_entry(index, address(index)) for index in range(rate_servers)}
        self._next_index = rate_servers  # index of the next rate server to be added
        self._draining: deque[int] = deque()  # indices of rate servers, to be removed by the churn
        self._history: deque[Change] = deque(maxlen=MAX_HISTORY)
        self._removed_while_silent: list[int] = []  # indices, not reported to on_removed yet
        self._snapshot = Change(0, b"")  # cached; encoded anew when requested at another generation
        self._churn_timer: asyncio.TimerHandle | None = None
        self._listener: asyncio.Server

    async def listen(self) -> str:
        """Start listening, and return the address."""
        self._listener = await self._loop.create_server(lambda: Watch(self), "127.0.0.1", 0, backlog=BACKLOG)
        self._send_heartbeats()
        host, port = self._listener.sockets[0].getsockname()
        return f"{host}:{port}"

    def snapshot(self) -> bytes:
        """Return the whole list as a message of the watch."""
        if self._snapshot.generation != self.generation:
            message = encode_message(self.generation, list(self._entries.values()), self._indent)
            self._snapshot = Change(self.generation, message)
        return self._snapshot.message

    def can_resume_from(self, generation: int) -> bool:
        """Return whether the history holds every change after this generation."""
        oldest = self._history[0].generation - 1 if self._history else self.generation
        return oldest <= generation <= self.generation

    def changes_since(self, generation: int) -> list[Change]:
        """Return the changes after a generation."""
        return [change for change in self._history if change.generation > generation]

    def start_watch(self, watch: Watch) -> None:
        """Register a new watch, and start its response now or, while silent, when output resumes."""
        self.stats.watches += 1
        self.watches.add(watch)
        if self.silent:
            self._pending_watches.append(watch)
        else:
            watch.start()

    def set_silent(self, silent: bool) -> None:
        """Stop all output, or resume it and send the changes made in the meantime."""
        self.silent = silent
        if silent:
            return
        pending, self._pending_watches = self._pending_watches, []
        for watch in self.watches - set(pending):
            watch.send_changes()
        for watch in pending:
            watch.start()
        self._on_removed(self._removed_while_silent)
        self._removed_while_silent = []

    def remove(self, count: int, first: Iterable[int] = ()) -> list[int]:
        """Remove `count` endpoints in one message, those in `first` before others; returns their indices."""
        order = dict.fromkeys(index for index in (*first, *self._entries) if index in self._entries)
        indices = list(order)[:count]
        self._publish_change(indices, [])
        return indices

    def set_churn(self, changes_per_s: float) -> None:
        """Change the list at this rate: in turn, an endpoint drains, is removed, and a new one is added."""
        if self._churn_timer is not None:
            self._churn_timer.cancel()
            self._churn_timer = None
        if changes_per_s > 0:
            self._apply_churn_step(1.0 / changes_per_s, 0)

    def _apply_churn_step(self, interval_s: float, step: int) -> None:
        next_step = (step + 1) % 3
        self._churn_timer = self._loop.call_later(interval_s, self._apply_churn_step, interval_s, next_step)
        if step == 0:
            index = self._rng.choice(list(self._entries))
            self._draining.append(index)
            self._entries[index] = self._entries[index] | {"lifecycle": "DRAINING"}
            self._publish_change([], [index])
        elif step == 1:
            index = self._draining.popleft()
            self._publish_change([index] if index in self._entries else [], [])
        else:
            index, self._next_index = self._next_index, self._next_index + 1
            self._entries[index] = endpoint_entry(index, self._address(index), time.time_ns() // 1_000_000)
            self._publish_change([], [index])

    def _publish_change(self, removed: list[int], changed: list[int]) -> None:
        entries: list[Entry] = [self._entries.pop(index) | {"lifecycle": "DELETED"} for index in removed]
        entries += [self._entries[index] for index in changed]
        self.generation += 1
        self.stats.changes += 1
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
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeats)
