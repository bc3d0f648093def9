"""The list of servers: the watch on discovery, and its reconnects."""

from __future__ import annotations

import asyncio
import json
import math
import random
import re
from collections.abc import Callable
from typing import Any, cast

import h11

from lynxreel.backoff import Backoff
from lynxreel.log import log
from mothgap.interface import ListKind, Member, Members, State
from mothgap.settings import Names

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
SILENT = 4.2  # seconds: over two of the watch's heartbeats; what it misses counts as told after 6 s
ANSWER = 0.3  # seconds in which the agent on this machine answers a new watch; then another is tried too
RETRY = 0.1  # seconds, at most, before a watch that was good is opened again: its last news may lack a drain
MOST_RETRY = 0.2  # seconds; what the agent has counts as told, and a drain's grace is short; asking is free
MOST_TRIES = 6  # watches opened that have not spoken yet; of more the oldest is closed
MOST_OBJECT = 4 * 1024 * 1024  # bytes of one object; more is no list
MOST_VERSION = 1 << 63  # a number past that is no version, and would make all later news look old
BLANK_LINE = re.compile(rb"\n[ \t\r]*\n")
Address = tuple[str, int]
NOWHERE: Address = ("", 0)
UNREADABLE = (ArithmeticError, AttributeError, KeyError, TypeError, ValueError)  # what odd JSON leads to
News = Callable[[Members, list[tuple[Member, Address]]], None]


def read_address(text: str) -> Address:
    """A host and a port."""
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65_536:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def _read_entry(item: Any, names: Names) -> tuple[Member, Address]:
    """An entry. One that must be sent nothing is taken by its name alone where the rest can't be read."""
    state = STATES[item["lifecycle"]]
    try:
        return _read_whole(item, state, names)
    except UNREADABLE:
        if state is State.READY:
            raise
        return Member(str(item["instanceId"]), state), NOWHERE


def _read_whole(item: Any, state: State, names: Names) -> tuple[Member, Address]:
    weight = float(item.get("weight", 1.0))
    if not math.isfinite(weight):
        raise ValueError("weight")
    member = Member(
        server=str(item["instanceId"]),
        state=state,
        kind=names.kinds.get(item.get("machineType"), 0),
        zone=names.zones.get(item.get("zone"), 0),
        cell=int(item.get("cell", 0)),
        started_at=int(item.get("startedAtMs", 0)) * 1_000,
        weight=weight,
    )
    # One that is gone is sent nothing: wherever it was, the news must not be missed.
    return member, NOWHERE if state is State.GONE else read_address(item["hostPort"])


def read_list(
    data: Any, names: Names, kind: ListKind | None = None
) -> tuple[Members, list[tuple[Member, Address]]]:
    """A list in discovery's form: the module's event, and each server's address.

    An entry that can't be read is left out: it must not keep the others from being told, at each retry again.
    """
    version, items = data["generation"], data["instances"]
    if type(version) is not int or not 0 <= version < MOST_VERSION or not isinstance(items, list):
        raise ValueError("no version or no list")
    if kind is None:
        if not isinstance(data["reset"], bool):
            raise ValueError("reset")
        kind = ListKind.FULL if data["reset"] else ListKind.CHANGES
    lines = []
    for item in items:
        try:
            lines.append(_read_entry(item, names))
        except UNREADABLE as wrong:
            log(f"discovery has an entry that can't be read: {wrong!r} in {str(item)[:200]}")
    if items and not lines and kind is not ListKind.CHANGES:
        raise ValueError("a whole list without an entry that can be read")
    return Members(kind, version, tuple(member for member, _ in lines)), lines


class _Objects:
    """Cuts the watch's text into JSON objects: one a line or indented over many, blank lines between them."""

    def __init__(self) -> None:
        self._text = b""
        self._json = json.JSONDecoder()

    def empty(self) -> bool:
        """True between objects."""
        return not self._text

    def feed(self, data: bytes) -> list[Any]:
        """The objects that are whole now. ValueError where the text is no object, or one was broken off."""
        self._text += data
        end = max(self._text.rfind(b"}\n"), self._text.rfind(b"}\r")) + 1  # an object may be whole only there
        if self._text.endswith(b"}"):
            end = len(self._text)
        found = self._cut(self._text[:end].decode()) if end else []
        self._text = self._text.lstrip()
        if self._text and (not self._text.startswith(b"{") or BLANK_LINE.search(self._text)):
            raise ValueError("an object without an end")
        if len(self._text) > MOST_OBJECT:
            raise ValueError("too much for one object")
        return found

    def _cut(self, text: str) -> list[Any]:
        """Take whole objects off the text."""
        found, at = [], 0
        while rest := text[at:].lstrip():
            at = len(text) - len(rest)
            try:
                item, at = self._json.raw_decode(text, at)
            except json.JSONDecodeError as wrong:
                if wrong.pos < len(text) and not wrong.msg.startswith("Unterminated string"):
                    raise
                break  # more of it is to come
            found.append(item)
        self._text = self._text[len(text[:at].encode()) :]
        return found


class _Watch(asyncio.Protocol):
    """One watch, from its connect to its end."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery
        self._http = h11.Connection(h11.CLIENT)
        self._objects = _Objects()
        self._timer: asyncio.TimerHandle | None = None
        self._dropped = False
        self.transport: asyncio.Transport | None = None
        self.spoke = False  # it has told something, if only that nothing has changed
        self.settled: asyncio.Future[None] = discovery.loop.create_future()  # it has spoken, or is over
        self.over: asyncio.Future[None] = discovery.loop.create_future()  # it has ended, or fallen silent
        self._task = discovery.loop.create_task(self._open())

    async def _open(self) -> None:
        try:
            await self._discovery.loop.create_connection(lambda: self, *self._discovery.address)
        except (OSError, ValueError):
            self.drop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for what changed after the version at hand."""
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        if self._dropped:  # while it came up
            self.drop()
            return
        target = f"/v1/servers?watch=1&from={self._discovery.version}"
        host = ":".join(map(str, self._discovery.address))
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        transport.write((self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        """Objects, and blank lines as heartbeats; anything else ends the watch."""
        if self._dropped:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._discovery.loop.call_later(SILENT, self._finish, self.over)
        try:
            self._http.receive_data(data)
            while not self._dropped:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    break
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise ValueError(f"status {event.status_code}")
                if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed) or event is h11.PAUSED:
                    self.drop()
                    break
                if isinstance(event, h11.Data):
                    self._read(bytes(event.data))
        except (h11.RemoteProtocolError, RecursionError, *UNREADABLE) as wrong:
            log(f"discovery sent what is no watch: {wrong!r}")
            self.drop()

    def _read(self, data: bytes) -> None:
        found = self._objects.feed(data)
        for item in found:
            self._discovery.take(item)
        if not self.spoke and (found or self._objects.empty()):
            self.spoke = True
            self._discovery.adopt(self)
            self._finish(self.settled)

    @staticmethod
    def _finish(future: asyncio.Future[None]) -> None:
        if not future.done():
            future.set_result(None)

    def drop(self) -> None:
        """Close, or give its connect up: it is over, replaced, or garbage."""
        self._dropped = True
        if self.transport is not None:
            self.transport.abort()
        self._task.cancel()
        self.connection_lost(None)

    def connection_lost(self, error: Exception | None) -> None:
        """Over; another follows."""
        if self._timer is not None:
            self._timer.cancel()
        self._finish(self.settled)
        self._finish(self.over)


class Discovery:
    """Keeps one watch open that speaks. An older one tells on until a newer one has spoken."""

    def __init__(
        self,
        address: Address,
        version: int,
        names: Names,
        news: News,
        loop: asyncio.AbstractEventLoop,
        chance: random.Random,
    ) -> None:
        self.loop = loop
        self._backoff = Backoff(RETRY, MOST_RETRY, chance)
        self.version = version
        self.told = asyncio.Event()  # something has been heard since the start
        self.address, self._names, self._news = address, names, news
        self._watch: _Watch | None = None  # the last one that has spoken
        self._tries: list[_Watch] = []  # those that have not spoken yet
        self._task = loop.create_task(self._keep())

    def move(self, address: Address) -> None:
        """Watch at another address, from the version at hand. The old one tells on until one there speaks."""
        if address == self.address:
            return
        self.address = address
        self._task.cancel()
        self._drop_tries()
        self._task = self.loop.create_task(self._keep())

    def take(self, data: Any) -> None:
        """One object of a watch. One older than what is known tells nothing, whoever sends it."""
        members, lines = read_list(data, self._names)
        if members.version < self.version:
            log(f"discovery told of version {members.version} after {self.version}; it stays with that")
            return
        self.version = members.version
        self._backoff.reset()
        if lines or members.kind is ListKind.FULL:
            self._news(members, lines)
        self.told.set()

    def adopt(self, watch: _Watch) -> None:
        """This one speaks: the others are not needed any more."""
        self._tries.remove(watch)
        before, self._watch = self._watch, watch
        if before is not None:
            before.drop()
        self._drop_tries()

    def _drop_tries(self) -> None:
        for watch in self._tries:
            watch.drop()
        self._tries.clear()

    async def _keep(self) -> None:
        """Open watches until one speaks, then wait until it is over or silent.

        One that doesn't answer at once is left open beside the next: an agent that has been silent may answer
        any of them when it is back, and what it has then counts as told.
        """
        while True:
            self._tries = [watch for watch in self._tries if not watch.over.done()]
            if len(self._tries) >= MOST_TRIES:
                self._tries.pop(0).drop()
            watch = _Watch(self)
            self._tries.append(watch)
            await asyncio.wait([watch.settled], timeout=ANSWER)
            # Another of them may have been the one to speak.
            if self._watch is not None and not self._tries:
                await asyncio.wait([self._watch.over])
            await asyncio.sleep(self._backoff.pause())

    def close(self) -> None:
        """The end of the process."""
        self._task.cancel()
        self._drop_tries()
        if self._watch is not None:
            self._watch.drop()
