"""The list of servers: the watch on discovery, and its reconnects."""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, cast

import h11
import msgspec
from msgspec import structs

from rushroad.policy.events import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from rushroad.policy.settings_reader import ProxySettings
from rushroad.proxy.backoff import Backoff
from rushroad.proxy.json_splitter import Cutter, Run
from rushroad.proxy.nonblocking_log import log

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
SILENT = 4.2  # seconds: over two of the watch's heartbeats; what it misses counts as told after 6 s
ANSWER = 0.3  # seconds in which the agent on this machine answers a new watch; then another is tried too
RETRY = 0.1  # seconds, at most, before a watch that was good is opened again: its last news may lack a drain
MOST_RETRY = 0.2  # seconds; what the agent has counts as told, and a drain's grace is short; asking is free
MOST_TRIES = 6  # watches opened that have not spoken yet; of more the oldest is closed
PART = 250  # entries handled in one turn of the loop, at most: some 2 ms
MEMORY = 192 << 20  # bytes that a gateway may use where nothing else is said
TEXT_PART = 0.25  # of the memory: most text of one list, as its servers' tables take about as much as it
HELD_PART = 0.17  # of the memory: most text of one list that has to be held until its end
SERVER_MEMORY = 1024  # bytes of the memory for each entry of the longest list
MOST_VERSION = 1 << 63  # a number past that is no version, and would make all later news look old
Address = tuple[str, int]
NOWHERE: Address = ("", 0)
UNREADABLE = (ArithmeticError, AttributeError, KeyError, TypeError, ValueError)  # what odd JSON leads to
Line = tuple[Endpoint, Address]
News = Callable[[EndpointUpdate, list[Line]], None]


def read_address(text: str) -> Address:
    """A host and a port."""
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65_536:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


class Entry(msgspec.Struct, rename="camel", gc=False):
    """A server as discovery writes it."""

    instance_id: str
    lifecycle: str
    host_port: str = ""
    zone: str | None = None
    machine_type: str | None = None
    cell: int = 0
    weight: float = 1.0
    started_at_ms: int = 0


ENTRIES = msgspec.json.Decoder(list[Entry])


def _read_run(run: bytes) -> list[Any]:
    """Entries with commas between them. Where one is odd, all are plain JSON, to be read one by one."""
    text = b"[" + run + b"]"
    try:
        return ENTRIES.decode(text)
    except msgspec.DecodeError:
        return cast(list[Any], json.loads(text))


def _loosen(item: Any) -> Entry:
    """An entry of plain JSON, as far as its values can be taken for what they should be."""
    return Entry(
        instance_id=str(item["instanceId"]),
        lifecycle=item["lifecycle"],
        host_port=item.get("hostPort", ""),
        zone=item.get("zone"),
        machine_type=item.get("machineType"),
        cell=int(item.get("cell", 0)),
        weight=float(item.get("weight", 1.0)),
        started_at_ms=int(item.get("startedAtMs", 0)),
    )


def _read_entry(item: Any, names: ProxySettings) -> Line:
    """An entry. One that must be sent nothing is taken by its name alone where the rest can't be read."""
    strict = isinstance(item, Entry)
    state = STATES[item.lifecycle if strict else item["lifecycle"]]
    try:
        return _read_whole(item if strict else _loosen(item), state, names)
    except UNREADABLE:
        if state is EndpointState.READY:
            raise
        return Endpoint(str(item.instance_id if strict else item["instanceId"]), state), NOWHERE


def _read_whole(entry: Entry, state: EndpointState, names: ProxySettings) -> Line:
    if not math.isfinite(entry.weight):
        raise ValueError("weight")
    member = Endpoint(
        name=entry.instance_id,
        state=state,
        endpoint_class=names.endpoint_class_numbers.get(cast(str, entry.machine_type), 0),
        zone=names.zone_numbers.get(cast(str, entry.zone), 0),
        cell=entry.cell,
        started_at=entry.started_at_ms * 1_000,
        weight=entry.weight,
    )
    # One that is gone is sent nothing: wherever it was, the news must not be missed.
    return member, NOWHERE if state is EndpointState.REMOVED else read_address(entry.host_port)


def _read_header(frame: Any, kind: UpdateKind | None) -> tuple[UpdateKind, int]:
    """What a list is, and its version."""
    version = frame["generation"]
    if type(version) is not int or not 0 <= version < MOST_VERSION or frame["instances"] != []:
        raise ValueError("no version or no list")
    if kind is None:
        if not isinstance(frame["reset"], bool):
            raise ValueError("reset")
        kind = UpdateKind.SNAPSHOT if frame["reset"] else UpdateKind.DELTA
    return kind, version


class Part(NamedTuple):
    """Entries of a list that have come. Of changes each part is a message of its own for the module."""

    members: EndpointUpdate
    lines: list[Line]
    last: bool  # the list ends with it


class EndpointDecoder:
    """Reads lists in discovery's form out of their text as it comes, in parts of at most PART entries.

    A part is told as soon as it can be read. Where the rest of its list turns out to be spoilt, or never
    comes, what was told stays true; but such a list has no last part, so nobody is gone for want of being
    named, and its version is not taken. Where the keys come in another order than the protocol page's, the
    entries wait, as text, for the end of the list.
    """

    def __init__(
        self, names: ProxySettings, memory: int, kind: UpdateKind | None = None, within: tuple[str, ...] = ()
    ) -> None:
        """memory: bytes that the gateway may use; kind: None where each list tells it itself.

        within: the keys that lead to the list where it is part of an object.
        """
        self._cutter = Cutter((*within, "instances"))
        self._names, self._kind, self._within = names, kind, within
        self._most, self._most_held = int(memory * TEXT_PART), int(memory * HELD_PART)
        self._most_entries = memory // SERVER_MEMORY
        self.idle = True  # nothing more can be done with the text that has come
        self._begin()

    def _begin(self) -> None:
        self._header: tuple[UpdateKind, int] | None = None
        self._runs: deque[bytes] = deque()  # text that is still to be read
        self._items: list[Any] = []  # read, but not told
        self._size = 0  # bytes of this list's entries
        self._first, self._ended = True, False
        self._count = self._told = 0  # entries that came, and that could be read

    def feed(self, data: bytes) -> None:
        """More text."""
        self._cutter.feed(data)
        self.idle = False

    def speaks(self) -> bool:
        """True where entries have come, and between lists."""
        return self._size > 0 or self._cutter.empty()

    def broken_off(self) -> bool:
        """True where a blank line, which comes between lists, stands in one that is not whole."""
        return self._cutter.blank()

    def next(self) -> Part | None:
        """The next part; None where more has to come: of the text, or, if not idle, of what has come.

        Raises one of UNREADABLE for what is no list.
        """
        if self._header is None or not (self._items or self._runs or self._ended):
            run = self._cutter.next()
            self.idle = run is None
            if run is not None:
                self._take(run)
            if self._header is None or run is None:
                return None
        while self._runs and len(self._items) < PART:
            self._items += _read_run(self._runs.popleft())
        items, self._items = self._items[:PART], self._items[PART:]
        return self._part(items, self._ended and not self._items and not self._runs)

    def _take(self, run: Run) -> None:
        frame: Any = run.frame
        for key in self._within:
            frame = frame[key]
        if run.last or {"generation", "reset"} <= frame.keys():
            header = _read_header(frame, self._kind)
            if self._header not in (None, header):
                raise ValueError("a list with two versions")
            self._header = header
        self._ended = run.last
        if run.text:
            self._runs.append(run.text)
            self._size += len(run.text)
            self._bound()

    def _bound(self) -> None:
        """Guards memory against lists that are too long, or have no end."""
        if self._size > self._most or self._count > self._most_entries:
            raise ValueError(
                f"a list of over {self._most_entries} entries or {self._most} bytes: more than the memory "
                "limit allows"
            )
        if self._header is None and self._size > self._most_held:
            raise ValueError(
                f"a list of over {self._most_held} bytes with its version behind its entries, so that it has "
                "to be held: more than the memory limit allows"
            )

    def _part(self, items: list[Any], last: bool) -> Part:
        assert self._header is not None
        kind, version = self._header
        lines = []
        for item in items:
            try:
                lines.append(_read_entry(item, self._names))
            except UNREADABLE as wrong:
                log(f"discovery has an entry that can't be read: {wrong!r} in {str(item)[:200]}")
        self._count, self._told = self._count + len(items), self._told + len(lines)
        first = self._first
        self._first = first and not lines
        if last:
            if self._count and not self._told and kind is not UpdateKind.DELTA:
                raise ValueError("a whole list without an entry that can be read")
            self._begin()
        alone = kind is UpdateKind.DELTA  # the parts of a whole list belong together
        members = EndpointUpdate(
            kind, version, tuple(member for member, _ in lines), first or alone, last or alone
        )
        return Part(members, lines, last)


class _Watch(asyncio.Protocol):
    """One watch, from its connect to its end."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery
        self._http = h11.Connection(h11.CLIENT)
        self._lists = EndpointDecoder(discovery.names, discovery.memory)
        self._heard = False  # something of what it tells has come
        self._working = False  # parts that have come wait for their turns
        self._ended = False  # nothing more comes
        self._wrong: Exception | None = None  # why: what came after all that is still to be told
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
        """EndpointDecoder, and blank lines as heartbeats; anything else ends the watch."""
        if self._dropped:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._discovery.loop.call_later(SILENT, self._finish, self.over)
        try:
            self._http.receive_data(data)
            while not self._ended:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    break
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise ValueError(f"status {event.status_code}")
                if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed) or event is h11.PAUSED:
                    self._ended = True
                if isinstance(event, h11.Data):
                    self._lists.feed(bytes(event.data))
                    self._heard = True
        except (h11.RemoteProtocolError, ValueError) as wrong:
            self._ended, self._wrong = True, wrong
        if not self._working:
            self._work()

    def _refuse(self, wrong: Exception) -> None:
        log(f"discovery sent what is no watch: {wrong!r}")
        self.drop()

    def _work(self) -> None:
        """Tell or hold one part; the next has the loop's next turn, and nothing more is read meanwhile."""
        if self._dropped:
            return
        try:
            part = self._lists.next()
            if part is not None:
                self._discovery.take(part)
            elif self._lists.idle and self._lists.broken_off():
                raise ValueError("an object without an end")
        except (RecursionError, *UNREADABLE) as wrong:
            self._refuse(wrong)
            return
        if not self.spoke and self._heard and (part is not None or self._lists.speaks()):
            self.spoke = True
            self._discovery.adopt(self)
            self._finish(self.settled)
        self._go_on(not self._lists.idle)

    def _go_on(self, more: bool) -> None:
        if more:
            self._discovery.loop.call_soon(self._work)
        elif self._wrong is not None:
            self._refuse(self._wrong)
        elif self._ended:
            self.drop()
        if more is not self._working and self.transport is not None and not self.transport.is_closing():
            (self.transport.pause_reading if more else self.transport.resume_reading)()
        self._working = more

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
        names: ProxySettings,
        news: News,
        loop: asyncio.AbstractEventLoop,
        chance: random.Random,
        memory: int = MEMORY,
    ) -> None:
        """memory: bytes that the gateway may use."""
        self.loop = loop
        self._backoff = Backoff(RETRY, MOST_RETRY, chance)
        self.version = version
        self._begun = version  # the newest of which a part has come
        self._off: set[str] = set()  # servers that its parts say may be sent nothing, until all have come
        self.told = asyncio.Event()  # something has been heard since the start
        self.address, self.names, self.memory, self._news = address, names, memory, news
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

    def take(self, part: Part) -> None:
        """A part of a watch's list. One older than what is known tells nothing, whoever sends it."""
        members, lines, last = part
        if members.version < self.version:
            if last:
                log(f"discovery told of version {members.version} after {self.version}; it stays with that")
            return
        news = bool(lines) or (last and members.kind is UpdateKind.SNAPSHOT)
        if members.version < self._begun:
            lines = [
                (m, at) for m, at in lines if m.state is not EndpointState.READY or m.name not in self._off
            ]
            members = structs.replace(members, endpoints=tuple(member for member, _ in lines))
        else:
            self._note(members, last)
        if news:
            self._news(members, lines)
        if last:
            self.version = members.version
            self._backoff.reset()
            self.told.set()

    def _note(self, members: EndpointUpdate, last: bool) -> None:
        """Guards drains told by a list that breaks off: an older one that follows does not undo them."""
        self._begun = members.version
        for member in members.endpoints:
            (self._off.discard if member.state is EndpointState.READY else self._off.add)(member.name)
        if last:
            self._off.clear()

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
