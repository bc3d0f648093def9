"""The gateway's program: reads EDGE_CONFIG, again at SIGHUP, and ends after SIGTERM when all is answered."""

from __future__ import annotations

import asyncio
import errno
import gc
import os
import random
import signal
import sys
import time
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import uvloop

from rushroad.policy.events import EndpointUpdate, UpdateKind
from rushroad.policy.settings_reader import ProxySettings, read_proxy_settings, read_settings
from rushroad.proxy.address import read_address
from rushroad.proxy.client_command import CommandSchema
from rushroad.proxy.client_listener import ClientListener
from rushroad.proxy.counter_client import CounterClient
from rushroad.proxy.discovery import Discovery, UpdateHandler
from rushroad.proxy.endpoint_decoder import (
    UNEXPECTED_JSON_ERRORS,
    EndpointDecoder,
    ListedEndpoint,
    MalformedEndpointListError,
)
from rushroad.proxy.engine import Engine
from rushroad.proxy.json_splitter import JsonSplitter
from rushroad.proxy.nonblocking_log import log
from rushroad.proxy.transient_errors import AGAIN, START_RETRY_TIME, TRANSIENT_ERRORS, retry_transient
from rushroad.proxy.upstream import Upstream

FIRST_NEWS = 0.3  # seconds that a start waits for discovery before it goes by the list it had last
FREEZE = 10_000  # entries of the list: a collection that looks at them takes some 2 ms
PIECE = 64 * 1024  # bytes of the configuration read at once
ACCEPT = 0.5  # seconds that new connections are taken after SIGTERM
KILL_LEAST = 3.0  # seconds: the longest deadline, counted so where it is longer; SIGKILL comes 0.7 s later
MOVE_PATIENCE = 3.0  # seconds that a new configuration is tried to be read; its news count as told after 4
MOVE_PASSING = TRANSIENT_ERRORS | {errno.ENOENT}  # one that is being replaced may be missing for a moment
KILL_SPARE = 0.5  # seconds after it when all is answered: SIGKILL may come soon
OWN_SOCKETS = 32  # descriptors for the counter, discovery, the loop and the standard streams
SERVER_PART = 0.25  # of the other descriptors; the rest is for clients


def read_file() -> Iterator[bytes]:
    """The configuration as it stands now, in pieces: most of it is the list of servers."""
    with open(os.environ["EDGE_CONFIG"], "rb") as file:
        while data := file.read(PIECE):
            yield data


async def read_config() -> dict[str, Any]:
    """The configuration but its list of servers. Each piece has a turn of the loop to itself."""
    splitter = JsonSplitter(("known", "instances"))
    objects = []
    for data in read_file():
        splitter.feed(data)
        while (run := splitter.next_run()) is not None:
            if run.ends_document:
                objects.append(run.document)
        await asyncio.sleep(0)
    if len(objects) != 1 or not splitter.is_between_documents():
        raise ValueError("the configuration is not one whole JSON object")
    return objects[0]


async def move(discovery: Discovery, counter: CounterClient | None) -> None:
    """Go by the addresses in the new file. One that can't be read changes nothing."""
    try:
        config = await retry_transient(read_config, MOVE_PATIENCE, MOVE_PASSING)
        discovery_at = read_address(config["discovery"])
        counter_at = None if counter is None else read_address(config["counter"])
    except (OSError, RecursionError, *UNEXPECTED_JSON_ERRORS) as wrong:
        log(f"the new configuration can't be read; keeping the old one: {wrong!r}")
        return
    discovery.move(discovery_at)
    if counter is not None and counter_at is not None:
        counter.move(counter_at)


async def follow(hangup: asyncio.Event, discovery: Discovery, counter: CounterClient | None) -> None:
    """Each SIGHUP, one after the other."""
    while True:
        await hangup.wait()
        hangup.clear()
        await move(discovery, counter)


class Freezer:
    """Guards the loop: collections would look again and again at what is held of each server there is."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._taken = 0

    def note(self, entries: int) -> None:
        """So many entries have been taken in: after some thousands they are left out of collections.

        Garbage in cycles that waits for a collection then stays for good: little, and seldom.
        """
        self._taken += entries
        if self._taken >= FREEZE:
            self._taken = 0
            self._loop.call_soon(gc.freeze)  # behind the module, which has them next


async def read_known(names: ProxySettings, memory: int, news: UpdateHandler) -> int:
    """Tell the list as this gateway last had it; its version, or 0 where discovery has to tell all of it."""
    lists = EndpointDecoder(names, memory, UpdateKind.CACHED_SNAPSHOT, ("known",))
    version = 0
    try:
        for data in read_file():
            lists.feed(data)
            while not lists.needs_data:
                if (part := lists.next_part()) is not None:
                    news(part.update, part.listed)
                    version = part.update.version if part.ends_list else version
                await asyncio.sleep(0)  # the module takes it in
    except MalformedEndpointListError as error:
        log(
            "the cached endpoint list in the configuration can't be read; requesting one from discovery: "
            f"{error!r}"
        )
    return version


async def serve() -> None:
    """Serve until SIGTERM."""
    loop = asyncio.get_running_loop()
    stop, hangup = asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.set_exception_handler(log.handle_loop_exception)
    config = await retry_transient(read_config)
    settings, names = read_settings(config["settings"]), read_proxy_settings(config["settings"])
    sockets = int(config["limits"]["sockets"]) - OWN_SOCKETS
    memory = int(config["limits"]["memory_mb"] * 1e6)
    most = int(sockets * SERVER_PART)
    listen, discovery_at = read_address(config["listen"]), read_address(config["discovery"])

    seed = int(config["seed"], 16)
    engine = Engine(settings, seed, loop)
    servers = engine.backend = Upstream(engine, settings, names.idle_timeout, most, loop)
    counter = None
    if settings.counter is not None:
        counter = CounterClient(read_address(config["counter"]), settings.counter.timeout, engine.post, loop)
        engine.counter = counter
    clients = ClientListener(engine, CommandSchema.from_settings(settings, names), sockets - most, loop)

    freezer = Freezer(loop)

    def news(members: EndpointUpdate, lines: list[ListedEndpoint]) -> None:
        servers.update_endpoints(lines, members.kind is not UpdateKind.DELTA, members.first, members.last)
        engine.endpoints_updated(members)
        freezer.note(len(lines))

    version = await retry_transient(lambda: read_known(names, memory, news))
    discovery = Discovery(discovery_at, version, names, news, loop, random.Random(seed), memory)
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    moves = loop.create_task(follow(hangup, discovery, counter))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    with suppress(TimeoutError):
        async with asyncio.timeout(FIRST_NEWS):
            await discovery.updated.wait()
    await retry_transient(lambda: clients.listen(*listen))
    gc.freeze()  # what the start has made lives on: collections need not look at it again

    await stop.wait()
    longest = max(cls.deadline for cls in settings.request_classes) / 1e6
    await clients.stop(ACCEPT, min(longest, KILL_LEAST) + KILL_SPARE)
    # There is nothing left to move or to stop, and the loop's end gives signals their defaults back.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
    moves.cancel()
    discovery.close()
    servers.close()
    if counter is not None:
        counter.close()


def new_loop() -> asyncio.AbstractEventLoop:
    """The event loop; tried again while the system has no descriptors or memory for it."""
    last = time.monotonic() + START_RETRY_TIME
    while True:
        try:
            return uvloop.new_event_loop()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() > last:
                raise
        time.sleep(AGAIN)


def main() -> int:
    """0 after SIGTERM; 2, with one line on standard error, where the configuration is missing or wrong."""
    # One that comes before there is anything to move waits: its default would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(serve())
    except KeyError as missing:
        log(f"missing in the environment or the configuration: {missing.args[0]}")
    except (OSError, ValueError, TypeError, AttributeError) as wrong:
        log(f"can't start: {wrong}")
    else:
        return 0
    return 2


if __name__ == "__main__":
    sys.exit(main())
