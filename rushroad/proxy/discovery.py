"""The watch on the local discovery agent: a connection that receives endpoint updates, and its reconnects."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import cast

import h11
from msgspec import structs

from rushroad.policy.events import EndpointState, EndpointUpdate, UpdateKind
from rushroad.policy.settings_reader import ProxySettings
from rushroad.proxy.address import Address
from rushroad.proxy.backoff import Backoff
from rushroad.proxy.endpoint_decoder import (
    DEFAULT_MEMORY_LIMIT_BYTES,
    UNEXPECTED_JSON_ERRORS,
    EndpointDecoder,
    ListedEndpoint,
    ListPart,
    MalformedEndpointListError,
)
from rushroad.proxy.nonblocking_log import log

# Time without data after which another watch is opened: more than two heartbeat intervals. It leaves time to
# receive an update from the other watch, as the gateway counts as notified of an update 6 s after the agent
# has it, even if it has not arrived.
SILENCE_TIMEOUT_S = 4.2
RESPONSE_TIMEOUT_S = 0.3  # for the local agent to establish a watch, before another one is opened
# The reconnect delays are short because a drain may be missed meanwhile, and the drain grace is short.
INITIAL_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 0.2
MAX_PENDING_WATCHES = 16  # watches not established yet; one of them is closed for each further one
# A pending watch is kept for at least this time, as the gateway counts as notified of an update after it.
MIN_PENDING_TIME_S = 6.0
# By this time an agent that lags behind has caught up, as what discovery has to tell counts as notified. One
# whose versions are still older has begun to count anew.
RENUMBERING_TIME_S = 6.0
UpdateHandler = Callable[[EndpointUpdate, list[ListedEndpoint]], None]


class WatchConnection(asyncio.Protocol):
    """One watch request, from connecting until it is closed."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery
        self.address_number = discovery.address_number
        self.opened_at_s = discovery.loop.time()
        self._http = h11.Connection(h11.CLIENT)
        self._decoder = EndpointDecoder(discovery.settings, discovery.memory_limit)
        self._received_data = False  # part of the response body has arrived
        self._parts_pending = False  # received parts wait to be processed in later event loop iterations
        self._response_ended = False
        self._error: Exception | None = None  # reported after the pending parts have been processed
        self._silence_timer: asyncio.TimerHandle | None = None
        self._closed = False
        self.transport: asyncio.Transport | None = None
        self._established = False  # entries of a list, or a heartbeat, have been received
        self.established_or_ended: asyncio.Future[None] = discovery.loop.create_future()
        self.silent_or_ended: asyncio.Future[None] = discovery.loop.create_future()
        self._connect_task = discovery.loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await self._discovery.loop.create_connection(lambda: self, *self._discovery.address)
        except (OSError, ValueError):
            self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request the updates after the current version."""
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        if self._closed:  # closed while connecting
            self.close()
            return
        target = f"/v1/servers?watch=1&from={self._discovery.version}"
        host = ":".join(map(str, self._discovery.address))
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        transport.write((self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        """Process endpoint lists, and blank lines as heartbeats; any other data ends the watch."""
        if self._closed:
            return
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._silence_timer = self._discovery.loop.call_later(
            SILENCE_TIMEOUT_S, self._resolve, self.silent_or_ended
        )
        try:
            self._http.receive_data(data)
            self._read_response()
        except (h11.RemoteProtocolError, ValueError) as error:
            self._response_ended, self._error = True, error
        if not self._parts_pending:
            self._process_next_part()

    def _read_response(self) -> None:
        while not self._response_ended:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Response) and event.status_code != 200:
                raise ValueError(f"expected status 200, got {event.status_code}")
            if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed) or event is h11.PAUSED:
                self._response_ended = True
            if isinstance(event, h11.Data):
                self._decoder.feed(bytes(event.data))
                self._received_data = True

    def _process_next_part(self) -> None:
        """Process one part; further parts wait for later event loop iterations, with reading paused."""
        if self._closed:
            return
        try:
            part = self._next_part()
            if part is not None:
                self._discovery.handle_part(part)
        except (RecursionError, *UNEXPECTED_JSON_ERRORS) as error:
            self._fail(error)
            return
        if (
            not self._established
            and self._received_data
            and (part is not None or self._decoder.received_entries_or_heartbeat())
        ):
            self._established = True
            self._discovery.watch_established(self)
            self._resolve(self.established_or_ended)
        self._continue_processing()

    def _next_part(self) -> ListPart | None:
        part = self._decoder.next_part()
        if part is None and self._decoder.needs_data and self._decoder.is_truncated():
            raise MalformedEndpointListError("endpoint list is truncated: blank line before its end")
        return part

    def _continue_processing(self) -> None:
        has_more = not self._decoder.needs_data
        if has_more:
            self._discovery.loop.call_soon(self._process_next_part)
        elif self._error is not None:
            self._fail(self._error)
        elif self._response_ended:
            self.close()
        if (
            has_more is not self._parts_pending
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            (self.transport.pause_reading if has_more else self.transport.resume_reading)()
        self._parts_pending = has_more

    def _fail(self, error: Exception) -> None:
        log(f"discovery sent a watch response that can't be read; closing it and opening another: {error!r}")
        self.close()

    @staticmethod
    def _resolve(future: asyncio.Future[None]) -> None:
        if not future.done():
            future.set_result(None)

    def close(self) -> None:
        """Close the connection, or stop connecting."""
        self._closed = True
        if self.transport is not None:
            self.transport.abort()
        self._connect_task.cancel()
        self.connection_lost(None)

    def connection_lost(self, _: Exception | None) -> None:
        """Report the end of the watch, after which Discovery opens another."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._resolve(self.established_or_ended)
        self._resolve(self.silent_or_ended)


class Discovery:
    """Keeps one watch established. The previous one is read until a newer one is established."""

    def __init__(
        self,
        address: Address,
        version: int,
        settings: ProxySettings,
        on_update: UpdateHandler,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        memory_limit: int = DEFAULT_MEMORY_LIMIT_BYTES,
    ) -> None:
        """Start the first watch.

        version: of the current endpoint list, 0 if there is none; rng: for the jitter; memory_limit: bytes.
        """
        self.loop = loop
        self.version = version
        self.address, self.settings, self.memory_limit = address, settings, memory_limit
        self.address_number = 0  # counts the address changes
        self.list_received = asyncio.Event()  # a complete list has been received since the start
        self._on_update = on_update
        self._backoff = Backoff(INITIAL_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S, rng)
        self._newest_seen_version = version  # the newest version of which at least one part was received
        self._not_ready: set[str] = set()  # endpoints that this version's parts list as draining or removed
        self._renumbering_timer: asyncio.TimerHandle | None = None  # runs since an older snapshot
        self._watch: WatchConnection | None = None  # the last one that was established
        self._pending_watches: list[WatchConnection] = []  # not established yet
        self._task = loop.create_task(self._maintain_watch())

    def set_address(self, address: Address) -> None:
        """Watch at another address, from the current version.

        Until a watch at it is established, the requests that have been sent to earlier addresses stay open:
        an agent that is slow to respond may still do so.
        """
        if address == self.address:
            return
        self.address = address
        self.address_number += 1
        self._task.cancel()
        self._close_pending([watch for watch in self._pending_watches if watch.transport is None])
        self._task = self.loop.create_task(self._maintain_watch())

    def handle_part(self, part: ListPart) -> None:
        """Pass on a part of a list from any watch, unless its version is older than the current one."""
        update, listed, ends_list = part
        if update.version < self.version:
            self._handle_older_part(part)
            return
        self._stop_renumbering_timer()
        changes_table = bool(listed) or (ends_list and update.kind is UpdateKind.SNAPSHOT)
        if update.version < self._newest_seen_version:
            listed = self._without_stale_ready(listed)
            update = structs.replace(update, endpoints=tuple(endpoint for endpoint, _ in listed))
        else:
            self._record_not_ready(update, ends_list)
        if changes_table:
            self._on_update(update, listed)
        if ends_list:
            self.version = update.version
            self._backoff.reset()
            self.list_received.set()

    def _handle_older_part(self, part: ListPart) -> None:
        """Pass over a part of an older list; a snapshot may be the first of a new numbering."""
        update, listed, ends_list = part
        if ends_list:
            log(
                f"discovery sent endpoint list version {update.version}, older than {self.version}; "
                "keeping the newer one"
            )
        # An empty list is that of an agent that has not learned of any endpoint yet.
        if update.kind is UpdateKind.SNAPSHOT and listed and self._renumbering_timer is None:
            self._renumbering_timer = self.loop.call_later(RENUMBERING_TIME_S, self._accept_new_numbering)

    def _accept_new_numbering(self) -> None:
        """Request a snapshot of any version, as only older ones have come for RENUMBERING_TIME_S."""
        self._renumbering_timer = None
        log(
            f"discovery has sent nothing as new as version {self.version} for {RENUMBERING_TIME_S:g} s, "
            "but an older list: taking its versions for a new numbering"
        )
        self.version = self._newest_seen_version = 0
        self._not_ready.clear()
        if self._watch is not None:
            self._watch.close()

    def _stop_renumbering_timer(self) -> None:
        if self._renumbering_timer is not None:
            self._renumbering_timer.cancel()
            self._renumbering_timer = None

    def _without_stale_ready(self, listed: list[ListedEndpoint]) -> list[ListedEndpoint]:
        """Leave out ready endpoints that a newer but incomplete list named as draining or removed."""
        return [
            (endpoint, address)
            for endpoint, address in listed
            if endpoint.state is not EndpointState.READY or endpoint.name not in self._not_ready
        ]

    def _record_not_ready(self, update: EndpointUpdate, ends_list: bool) -> None:
        """Record drains and removals until their list is complete; an older list may follow one cut off."""
        self._newest_seen_version = update.version
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.READY:
                self._not_ready.discard(endpoint.name)
            else:
                self._not_ready.add(endpoint.name)
        if ends_list:
            self._not_ready.clear()

    def watch_established(self, watch: WatchConnection) -> None:
        """Close the other watches, except pending ones at a later address than that of this watch."""
        self._pending_watches.remove(watch)
        previous, self._watch = self._watch, watch
        if previous is not None:
            previous.close()
        self._close_pending(
            [other for other in self._pending_watches if other.address_number <= watch.address_number]
        )

    def _close_pending(self, watches: list[WatchConnection]) -> None:
        for watch in watches:
            self._pending_watches.remove(watch)
            watch.close()

    def _pending_at_address(self) -> bool:
        """Return whether a watch at the current address is pending."""
        return any(watch.address_number == self.address_number for watch in self._pending_watches)

    async def _maintain_watch(self) -> None:
        """Open watches until one is established, then wait until it ends or its silence timeout expires.

        A pending watch stays open while the next ones are tried: a slow agent responds to the earliest first,
        and one that was unreachable may respond to any of them once it is back. The gateway counts as
        notified of the updates that it sends.
        """
        while True:
            self._pending_watches = [
                watch for watch in self._pending_watches if not watch.silent_or_ended.done()
            ]
            if len(self._pending_watches) >= MAX_PENDING_WATCHES:
                self._close_pending([self._least_useful_pending()])
            watch = WatchConnection(self)
            self._pending_watches.append(watch)
            await asyncio.wait([watch.established_or_ended], timeout=RESPONSE_TIMEOUT_S)
            # The established watch may be an earlier one.
            if self._watch is not None and not self._pending_at_address():
                await asyncio.wait([self._watch.silent_or_ended])
            await asyncio.sleep(self._backoff.next_delay())

    def _least_useful_pending(self) -> WatchConnection:
        """Return the pending watch to close for another one.

        Watches at earlier addresses go first. Otherwise the times for which the remaining ones have been
        open stay spread out: the oldest is kept however long the agent takes to respond, and so is any that
        is younger than MIN_PENDING_TIME_S.
        """
        pending, now = self._pending_watches, self.loop.time()

        def age_s(watch: WatchConnection) -> float:
            return max(RESPONSE_TIMEOUT_S, now - watch.opened_at_s)

        if pending[0].address_number != self.address_number:
            return pending[0]
        inner = range(1, len(pending) - 1)
        candidates = [n for n in inner if age_s(pending[n]) >= MIN_PENDING_TIME_S] or inner

        def ratio_of_neighbours(n: int) -> float:
            """Return the ratio of the ages between which closing this watch leaves a gap."""
            return age_s(pending[n - 1]) / age_s(pending[n + 1])

        return pending[min(candidates, key=ratio_of_neighbours)]

    def close(self) -> None:
        """Close all watches at process shutdown."""
        self._task.cancel()
        self._stop_renumbering_timer()
        self._close_pending(list(self._pending_watches))
        if self._watch is not None:
            self._watch.close()
