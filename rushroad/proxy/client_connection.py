"""The clients' side: the listener, their calls, and the answers in each connection's order."""

from __future__ import annotations

import asyncio
import math
import re
import select
import socket
from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import cast

from rushroad.policy.settings import Idempotency, Settings
from rushroad.policy.settings_reader import ProxySettings
from rushroad.proxy import resp
from rushroad.proxy.arrival_times import Arrivals
from rushroad.proxy.engine import Engine
from rushroad.proxy.transient_errors import AGAIN, RESOURCES, look, readable

ARITY = {b"CALL.GET": 4, b"CALL.POST": 5}
MOST_WORDS = 16  # in a command; longer than any that clients and their libraries send
TENANTS = 1 << 33
BACKLOG = 1_024
ACCEPT_TURN = 16  # connections taken in one turn of the loop: they have descriptors before others make room
TAKE_TRIES = 3  # of what makes a connection out of a socket that was accepted
LAST_ACCEPTS = 50  # failed tries to take what waits when the listener closes, before what is left is given up
HALF_READ = 1.0  # seconds that a stop waits for a first command or the rest of one: they are under way
ROUND = 0.01  # seconds between a stop's looks at the connections that are left
LINGER = 0.3  # seconds that a stop leaves the other end to close, which then has read all answers
LEFT_OVER = 256 * 1024  # bytes read after the last answer: unread ones would reset what was answered before
BEAT = 0.05  # seconds between marks of the loop's time: if one is late the loop was held up, and bytes waited
HELD_READS = 0.05  # seconds after such a mark in which what is read may have waited
BEAT_SLACK = 0.005  # seconds by which a mark may be late
LOOK = 0.03  # seconds between looks for clients that left connections which are not read; 0.1 are allowed
MOST_OPEN = 64  # commands of one connection that wait for their answers; more are not taken yet
READ_AHEAD = 8 * 1024  # bytes of commands that wait to be taken; of more, when they came is not known so well
TURN = 64  # commands taken from one connection before others have their turn
PAUSE = 0.05  # seconds without reading after a command that is no call: repeats must not take the others' CPU
PATIENCE = 2.0  # seconds for a first command and for the rest of one
MOST_UNREAD = 8 << 20  # bytes of answers that all clients together may leave unread while they still wait
SWEEP = 0.25  # seconds between looks for connections that have used that up
IDLE_LEAST = 2.0  # seconds that one stays open after its last answer
IDLE_PART = 0.25  # of the connections; of more that have idled for so long, the oldest are closed
NEW_PART = 0.25  # of the connections; more that have said nothing make room among themselves
TENANT = re.compile(rb"[0-9a-f]{16}")
ID = re.compile(rb"[0-9A-Za-z._:-]{1,64}")
WORD = re.compile(rb"[^\0- ]{1,128}")
NUMBER = re.compile(rb"\d{1,9}")
TERMS = {  # what may stand in a call's list, and how its value is spelt
    b"c": WORD,
    b"t": WORD,
    b"k": WORD,
    b"d": NUMBER,
    b"r": re.compile(rb"[01]"),
    b"units": re.compile(rb"\d{1,6}(\.\d{1,9})?"),
    b"spread": NUMBER,
    b"first": NUMBER,
}


class BadCall(ValueError):
    """What a client sent is no call; the text is its answer."""


@dataclass(frozen=True, slots=True)
class Terms:
    """What a call of this deployment may name."""

    classes: dict[bytes, int]
    unsafe: tuple[bool, ...]  # by class
    plans: dict[bytes, int]
    most_units: float
    gateways: int
    longest: float = 0.0  # seconds that a client waits for its answer at the most

    @classmethod
    def of(cls, settings: Settings, names: ProxySettings) -> Terms:
        """Of these settings."""
        return cls(
            {name.encode(): number for name, number in names.class_indexes.items()},
            tuple(c.idempotency is not Idempotency.IDEMPOTENT for c in settings.request_classes),
            {name.encode(): number for name, number in names.plan_indexes.items()},
            settings.max_units,
            settings.fleet_size,
            max(cls.deadline for cls in settings.request_classes) / 1e6,
        )


class Call:
    """One command of a client, from its reading to its answer."""

    __slots__ = (
        "arrived",
        "class_index",
        "connection",
        "tenant",
        "first",
        "id",
        "patience",
        "plan",
        "reply",
        "request",
        "retry",
        "spread",
        "units",
        "words",
    )

    def __init__(self, connection: Connection, arrived: float) -> None:
        self.connection = connection
        self.arrived = arrived  # when its last byte came, at the latest; seconds of the loop's clock
        self.reply: bytes | None = None
        self.request = 0  # the engine's number for it; 0 where the engine never saw it
        self.words: list[bytes] = []

    def read(self, words: list[bytes], terms: Terms) -> None:
        """Take a command's words, or raise BadCall. Servers are sent nothing that is not checked here."""
        if len(words) != ARITY[words[0]]:
            raise BadCall("wrong number of arguments")
        given: dict[bytes, bytes] = {}
        for item in words[3].split(b","):
            name, _, value = item.partition(b"=")
            if name in given or (form := TERMS.get(name)) is None or not form.fullmatch(value):
                raise BadCall("bad list")
            given[name] = value
        try:
            self.class_index, self.plan = terms.classes[given[b"c"]], terms.plans[given[b"t"]]
            self.patience = int(given[b"d"])
        except KeyError:
            raise BadCall("missing or unknown class, plan or d") from None
        if terms.unsafe[self.class_index] is not (words[0] == b"CALL.POST"):
            raise BadCall("wrong command for the class")
        if not TENANT.fullmatch(words[1]) or (tenant := int(words[1], 16)) >= TENANTS:
            raise BadCall("bad customer")
        if not ID.fullmatch(words[2]):
            raise BadCall("bad id")
        self.tenant, self.id, self.words = tenant, words[2], words
        self.units = float(given.get(b"units", 1))
        self.spread, self.first = int(given.get(b"spread", 1)), int(given.get(b"first", 0))
        self.retry = given.get(b"r") == b"1"
        known = 1 <= self.spread <= terms.gateways and self.first < terms.gateways
        if not (0 < self.units <= terms.most_units and self.patience > 0 and known):
            raise BadCall("number out of range")

    def has_left(self) -> bool:
        """Whether its client has closed; the engine is told of all that goes with it."""
        return self.connection.has_left()

    def command(self, wait: int) -> bytes:
        """The command for a server, which is told how long the gateway waits."""
        patience = b"d=%d" % max(1, wait // 1_000)
        terms = b",".join([patience if t.startswith(b"d=") else t for t in self.words[3].split(b",")])
        return resp.pack([*self.words[:3], terms, *self.words[4:]])

    def served(self, value: bytes) -> None:
        """Answer with a server's value."""
        self._answer(b"$%d\r\n%b\r\n" % (len(value), value))

    def refused(self, wait: int) -> None:
        """Answer that it may come again, after so many microseconds if not 0."""
        self._answer(b"-BUSY %d\r\n" % math.ceil(wait / 1_000) if wait > 0 else b"-BUSY\r\n")

    def failed(self) -> None:
        """Answer that it failed."""
        self._answer(b"-ERR failed\r\n")

    def _answer(self, reply: bytes) -> None:
        self.reply, self.request = reply, 0
        self.connection.flush()


class Connection(asyncio.Protocol):
    """One client connection."""

    FULL, PACED, UNREAD = 1, 2, 4  # why nothing is taken from it for now

    def __init__(self, clients: ClientListener, descriptor: int, waited_since: float | None = None) -> None:
        """waited_since: when it may have come, where it could not be accepted at once."""
        self._clients, self.descriptor = clients, descriptor
        self._reader = resp.Reader(MOST_WORDS)
        self._arrivals = Arrivals()
        if waited_since is not None:
            self._arrivals.paused(waited_since)  # and is read as soon as it is made
        self._holds = 0
        self._paused = False  # it is not read
        self._ending = False  # nothing more is taken; ended once all is answered
        self._fresh = True  # nothing has come on it yet
        self.unread_since = 0.0  # since when its client has not read what was answered
        self._left_over = 0  # bytes that came after it was ended
        self.ended_at: float | None = None  # when it was told that no more answers come
        self.queue: deque[Call] = deque()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has come."""
        self.transport = cast(asyncio.Transport, transport)
        self._clients.add(self)

    def data_received(self, data: bytes) -> None:
        """Read what is whole; keep the rest, within bounds."""
        self._fresh = False
        if not self._ending:
            self._arrivals.came(len(data), self._clients.here_since())
            self._reader.feed(data)
            if not self._holds:
                self._read()
            elif self._reader.waiting > READ_AHEAD:
                self._pause()
            return
        self._left_over += len(data)
        if self._left_over > LEFT_OVER:
            self.cut()

    def _read(self) -> None:
        """Take what is whole, as long as there is room for more answers."""
        taken, bad, words = 0, False, None
        try:
            while taken < TURN and len(self.queue) < MOST_OPEN:
                if (words := self._reader.next()) is None:
                    break
                bad |= not self._take(cast(list[bytes], words))
                taken += 1
        except resp.Malformed as wrong:
            self.reject(f"Protocol error: {wrong}")
            return
        if self._ending:
            return
        if words is None and not self._reader.empty():
            self._clients.wait_for(self, again=taken > 0)
        elif taken:
            self._clients.waiting.pop(self, None)
            if not self.queue:
                self._clients.rest(self)
        if len(self.queue) >= MOST_OPEN:
            self._hold(self.FULL)
        if bad or taken >= TURN:
            # Guards the other clients: one that only sends what is turned away gets no more than its turn.
            self._hold(self.PACED)
            self._clients.loop.call_later(PAUSE if bad else 0, self._release, self.PACED)

    def _take(self, words: list[bytes]) -> bool:
        """One command; false where it is none that is known."""
        call = Call(self, self._arrivals.of(self._reader.consumed))
        self.queue.append(call)
        self._clients.idle.pop(self, None)
        try:
            if words[0] in ARITY:
                call.read(words, self._clients.terms)
                if self._clients.closing:
                    call.refused(0)  # else a busy connection would never run empty
                    return True
                call.request = self._clients.engine.submit(call)
                if not call.request:
                    # Guards rule 2: at a server, the id of an open request is a second copy of that one.
                    raise BadCall("the id is taken")
                return True
            if words[0].upper() != b"PING":
                raise BadCall("unknown command")
            call.reply = b"+PONG\r\n"
        except BadCall as bad:
            call.reply = b"-ERR %b\r\n" % str(bad).encode()
        self.flush()
        return call.reply == b"+PONG\r\n"

    def reject(self, why: str) -> None:
        """What follows can't be told apart, or never comes: the end, after what is owed."""
        self._ending = True
        self._reader = resp.Reader(MOST_WORDS)
        self._hold(self.FULL)
        self._pause()
        call = Call(self, self._clients.loop.time())
        call.reply = b"-ERR %b\r\n" % why.encode()
        self.queue.append(call)
        self.flush()

    def flush(self) -> None:
        """Write the answers whose turn it is."""
        ready = []
        while self.queue and (reply := self.queue[0].reply) is not None:
            self.queue.popleft()
            ready.append(reply)
        if ready and not self.transport.is_closing():
            self.transport.write(b"".join(ready))
        if not self.queue:
            self._clients.rest(self)
            if self._ending or self._clients.closing:
                self.end()
        if self._holds & self.FULL and not self._ending and len(self.queue) <= MOST_OPEN // 2:
            self._release(self.FULL)

    def _hold(self, why: int) -> None:
        """Take nothing for now. Only one that is full is still read, so that it shows when commands came."""
        self._holds |= why
        if self._holds & ~self.FULL or self._reader.waiting > READ_AHEAD:
            self._pause()

    def _pause(self) -> None:
        if not self._paused and not self.transport.is_closing():
            self._paused = True
            self._arrivals.paused(self._clients.loop.time())
            self.transport.pause_reading()
            self._clients.watch(self)

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self._arrivals.resumed(readable(self.descriptor))
            self._clients.unwatch(self)
            self.transport.resume_reading()

    def _release(self, why: int) -> None:
        """One reason less to take nothing; what has come meanwhile is first."""
        self._holds &= ~why
        if self._ending or self._holds or self.transport.is_closing() or self.has_left():
            return
        self._read()
        if not self._holds and not self._ending:
            self._resume()

    def end(self, patient: bool = True) -> None:
        """Once nothing is owed and, for the patient, nothing is under way: say that no more answers come.

        Then it is read until the other end closes, too, or its time is up: to close it with something unread
        would reset it, and with it answers that the client has not read yet.
        """
        if self.queue or self.ended_at is not None or self.transport.is_closing():
            return
        if self._ending or not patient or (self._reader.empty() and not self._fresh):
            self._ending = True
            self.ended_at = self._clients.loop.time()
            self._reader = resp.Reader(MOST_WORDS)
            self._clients.idle.pop(self, None)
            self._clients.wait_for(self, again=True)
            self.transport.write_eof()
            self._holds = 0
            self._resume()

    def cut(self) -> None:
        """Close at once."""
        self._clients.unwatch(self)
        self.transport.abort()

    def has_left(self) -> bool:
        """Whether the client has closed, also where that still waits to be read. It leaves then."""
        if not self.transport.is_closing():
            hangup = select.poll()
            hangup.register(self.descriptor, select.POLLRDHUP)
            if not look(hangup):
                return False
        self.leave()
        return True

    def leave(self) -> None:
        """The client has gone; nothing is owed to it any more."""
        self._ending = True
        queue, self.queue = self.queue, deque()
        for call in queue:
            if call.request:
                self._clients.engine.client_disconnected(call.request)

    def eof_received(self) -> None:
        """The client has closed. What has been answered is still written, then the transport closes."""
        self.leave()
        if self.transport.get_write_buffer_size():
            self._clients.wait_for(self, again=True)  # cut off when it never reads that
        else:
            self._clients.forget(self)

    def overdue(self) -> None:
        """It has had its time for a command, or for reading its answers."""
        if self._holds & self.UNREAD and self.ended_at is None and self._clients.may_read_later(self):
            self._clients.wait_for(self, again=True)
        elif self._holds & self.UNREAD or self.ended_at is not None or self.transport.is_closing():
            self.cut()
        elif self._reader.empty():
            self.end(patient=False)
        else:
            self.reject("the rest of the command did not come")

    def pause_writing(self) -> None:
        """Guards memory: a client that does not read its answers is not read either."""
        self._hold(self.UNREAD)
        self.unread_since = self._clients.loop.time()
        self._clients.wait_for(self, again=True)

    def resume_writing(self) -> None:
        """It reads again. One that was ended meanwhile still owes its close."""
        if self.ended_at is None:
            self._clients.waiting.pop(self, None)
        self._release(self.UNREAD)

    def connection_lost(self, error: Exception | None) -> None:
        """Closed, by either end."""
        self._clients.forget(self)
        self.leave()


class ClientListener:
    """The listener and all its connections."""

    def __init__(self, engine: Engine, terms: Terms, most: int, loop: asyncio.AbstractEventLoop) -> None:
        self.engine, self.terms, self.loop = engine, terms, loop
        self.connections: set[Connection] = set()
        self.waiting: dict[Connection, float] = {}  # who owes a command, or to read answers; since when
        self.idle: dict[Connection, float] = {}  # who has been answered, and when; the oldest first
        self._most = most
        self._held: dict[int, Connection] = {}  # those that are not read for now, by descriptor
        self._hangups = select.poll()
        self._looking = False
        self._beat_at = loop.time()  # the last mark
        self._held_since, self._held_until = 0.0, 0.0  # what is read until then may have waited since then
        self._listener: socket.socket
        self._taking: set[asyncio.Task[None]] = set()  # sockets that were accepted and become connections
        self._short_since: float | None = None  # since when connections wait for room in the system
        self.port = 0
        self.closing = False  # each connection ends as soon as nothing is owed on it

    async def listen(self, host: str, port: int) -> None:
        """Take connections from now on.

        They are accepted here and not by the loop, which shuts them unread where no descriptor is free.
        """
        self._listener = socket.create_server((host, port), backlog=BACKLOG)
        try:
            self._listener.setblocking(False)
            self.port = self._listener.getsockname()[1]
            self.loop.add_reader(self._listener, self._accept)
        except OSError:
            self._listener.close()  # a further try takes the same address
            raise
        self._beat()
        self.sweep()

    def _beat(self) -> None:
        now, due = self.loop.time(), self._beat_at + BEAT
        if now - due > BEAT_SLACK:
            self._held_since, self._held_until = due, now + HELD_READS
        self._beat_at = now
        self.loop.call_later(BEAT, self._beat)

    def here_since(self) -> float:
        """Since when what is read now may have waited: the loop may just have been held up."""
        now = self.loop.time()
        return self._held_since if now <= self._held_until else min(now, self._beat_at + BEAT)

    def _accept(self) -> None:
        """Take what waits. What the system has no room for goes on waiting, and is taken a little later."""
        for _ in range(ACCEPT_TURN):
            try:
                self._take_in(self._listener.accept()[0])
            except BlockingIOError:
                self._short_since = None
                return
            except OSError as error:
                if error.errno in RESOURCES:
                    self._accept_later()
                    return
                # That one connection has failed before it was taken.

    def _accept_later(self) -> None:
        if self._short_since is None:
            self._short_since = self.loop.time()
        self.loop.remove_reader(self._listener)
        self.loop.call_later(AGAIN, self._accept_again)

    def _accept_again(self) -> None:
        if self._listener.fileno() < 0:
            return
        try:
            self.loop.add_reader(self._listener, self._accept)
        except OSError:
            self.loop.call_later(AGAIN, self._accept_again)

    def _take_in(self, accepted: socket.socket) -> None:
        waited_since = self._short_since
        if waited_since is None and self.here_since() < self.loop.time():
            waited_since = self.here_since()
        task = self.loop.create_task(self._connect(accepted, waited_since))
        self._taking.add(task)
        task.add_done_callback(self._taking.discard)

    async def _connect(self, accepted: socket.socket, waited_since: float | None) -> None:
        """Make a connection out of a socket. Nothing is read before that, so a failed try loses nothing."""
        descriptor = accepted.fileno()

        def new_connection() -> Connection:
            return Connection(self, descriptor, waited_since)

        for _ in range(TAKE_TRIES):
            try:
                await self.loop.connect_accepted_socket(new_connection, accepted)
            except OSError:
                if accepted.fileno() < 0:
                    return
            else:
                return
        accepted.close()

    def add(self, connection: Connection) -> None:
        """Take a new connection in. Guards the limit on descriptors: another one makes room.

        That is the one idle for longest, as closing it may cross a request; but the oldest of those that have
        said nothing, where these have become many: they can't drive out clients that are served.
        """
        self.connections.add(connection)
        self.wait_for(connection)
        if len(self.connections) <= self._most:
            return
        silent = next((c for c in self.waiting if not c.queue), connection)
        crowded = len(self.waiting) > max(1, self._most * NEW_PART)
        victim = silent if crowded else next(iter(self.idle), silent)
        self.forget(victim)
        victim.cut()

    def wait_for(self, connection: Connection, again: bool = False) -> None:
        """It owes something: since now, also where it did before but that has come."""
        if again:
            self.waiting.pop(connection, None)
        self.waiting.setdefault(connection, self.loop.time())

    def may_read_later(self, connection: Connection) -> bool:
        """Its client may still wait for what it does not read, and all such answers take little memory."""
        held = sum(other.transport.get_write_buffer_size() for other in self.waiting)
        held += connection.transport.get_write_buffer_size()
        return self.loop.time() - connection.unread_since < self.terms.longest and held <= MOST_UNREAD

    def rest(self, connection: Connection) -> None:
        """All is answered on it."""
        self.idle.pop(connection, None)
        if connection in self.connections and connection not in self.waiting:
            self.idle[connection] = self.loop.time()

    def forget(self, connection: Connection) -> None:
        """It is closed."""
        self.connections.discard(connection)
        self.waiting.pop(connection, None)
        self.idle.pop(connection, None)
        self.unwatch(connection)

    def watch(self, connection: Connection) -> None:
        """It is not read for now, and so would not show that its client leaves."""
        self._held[connection.descriptor] = connection
        self._hangups.register(connection.descriptor, select.POLLRDHUP)
        if not self._looking:
            self._looking = True
            self.loop.call_later(LOOK, self._look)

    def unwatch(self, connection: Connection) -> None:
        """It is read again, or closed."""
        if self._held.get(connection.descriptor) is connection:
            del self._held[connection.descriptor]
            self._hangups.unregister(connection.descriptor)

    def _look(self) -> None:
        """Guards the servers against requests of clients that left while their connection was not read."""
        for descriptor, _ in look(self._hangups) or ():
            connection = self._held[descriptor]
            connection.leave()
            connection.cut()
        self._looking = bool(self._held)
        if self._looking:
            self.loop.call_later(LOOK, self._look)

    def sweep(self) -> None:
        """End the connections whose time for what they owe is up, and those that have idled long, if many.

        Some clients ask once and keep their connection for good: the others must find room before it is full.
        """
        late = self.loop.time() - PATIENCE
        for connection, since in list(self.waiting.items()):
            if since > late:
                break
            del self.waiting[connection]
            connection.overdue()
        late = self.loop.time() - IDLE_LEAST
        most = len(self.idle) - int(self._most * IDLE_PART)
        for connection, since in list(islice(self.idle.items(), max(0, most))):
            if since > late:
                break
            del self.idle[connection]
            connection.end()
        self.loop.call_later(SWEEP, self.sweep)

    async def stop(self, accept: float, most: float) -> None:
        """Go on for a while, then close the listener and each connection as soon as nothing is owed on it.

        What comes on connections that stay busy is refused from then on. `most` seconds after the beginning
        what is still open gets its answer, and what is left is cut off: the process may be killed soon.
        """
        last = self.loop.time() + most
        await asyncio.sleep(accept)
        self.closing = True
        await self._close_listener()
        patience = self.loop.time() + HALF_READ
        await self._end_all(patience, last)
        self.engine.give_up()
        await self._end_all(0.0, self.loop.time() + LINGER)
        for connection in list(self.connections):
            connection.cut()  # guards the stop against a peer that never reads

    async def _close_listener(self) -> None:
        """Close it, after the connections that have come and that were not taken yet."""
        self.loop.remove_reader(self._listener)
        failed = 0
        while failed < LAST_ACCEPTS:
            try:
                self._take_in(self._listener.accept()[0])
            except BlockingIOError:
                break
            except OSError as error:
                failed += 1
                if error.errno in RESOURCES:
                    await asyncio.sleep(AGAIN / 10)
        self._listener.close()
        if self._taking:
            await asyncio.wait(self._taking)

    async def _end_all(self, patience: float, last: float) -> None:
        """End connections until there are none, or until `last`; what has come on them is read first."""
        while self.connections and (now := self.loop.time()) < last:
            unread = select.poll()
            for connection in self.connections:
                unread.register(connection.descriptor, select.POLLIN)
            ready = look(unread)  # where that can't be told, it may be true of each
            waiting = {c.descriptor for c in self.connections} if ready is None else {at for at, _ in ready}
            for connection in list(self.connections):
                if connection.ended_at is not None and now - connection.ended_at > LINGER:
                    connection.cut()
                elif connection.descriptor not in waiting or now >= patience:
                    connection.end(now < patience)
            await asyncio.sleep(ROUND)
