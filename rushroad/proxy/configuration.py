"""The configuration file that EDGE_CONFIG names: read at the start, and again at each SIGHUP."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
from collections.abc import Iterator
from typing import Any, NamedTuple

from rushroad.policy.events import UpdateKind
from rushroad.policy.settings import Settings, SettingsError
from rushroad.policy.settings_reader import ProxySettings, read_proxy_settings, read_settings
from rushroad.proxy.address import Address, parse_address
from rushroad.proxy.counter_client import CounterClient
from rushroad.proxy.discovery import Discovery, UpdateHandler
from rushroad.proxy.endpoint_decoder import (
    UNEXPECTED_JSON_ERRORS,
    EndpointDecoder,
)
from rushroad.proxy.json_splitter import JsonSplitter
from rushroad.proxy.nonblocking_log import log
from rushroad.proxy.transient_errors import TRANSIENT_ERRORS, retry_transient

PATH_VARIABLE = "EDGE_CONFIG"  # environment variable with the path of the configuration file
READ_BYTES = 64 * 1024  # read in one turn of the event loop
RESERVED_SOCKETS = 32  # descriptors for the counter, discovery, the event loop and the standard streams
UPSTREAM_SHARE = 0.25  # of the other descriptors, for connections to endpoints; the rest is for clients
RELOAD_RETRY_TIME = 3.0  # seconds; a new configuration counts as notified 4 s after SIGHUP
RELOAD_RETRIED_ERRORS = TRANSIENT_ERRORS | {errno.ENOENT}  # a file that is being replaced may be missing


class ConfigurationError(ValueError):
    """The configuration is missing, incomplete or invalid; the message says what is wrong."""


class Configuration(NamedTuple):
    """What a gateway is configured with, apart from the endpoint list."""

    listen: Address
    discovery: Address
    counter: Address | None  # None where the deployment has no counter
    seed: int
    memory_limit: int  # bytes
    max_upstream_connections: int
    max_client_connections: int
    settings: Settings
    proxy_settings: ProxySettings


def _read_file() -> Iterator[bytes]:
    """The file as it stands now, in pieces: most of it is the endpoint list, and it may be long."""
    path = os.environ.get(PATH_VARIABLE)
    if path is None:
        raise ConfigurationError(f"the environment variable {PATH_VARIABLE} is not set")
    with open(path, "rb") as file:  # noqa: PTH123 (importing pathlib would delay the start)
        while data := file.read(READ_BYTES):
            yield data


async def read_document() -> dict[str, Any]:
    """Read the file, with an empty endpoint list; each piece has a turn of the event loop.

    Raises ConfigurationError where it is not one whole JSON object, and OSError where it can't be read.
    """
    splitter = JsonSplitter(("known", "instances"))
    documents = []
    for data in _read_file():
        splitter.feed(data)
        try:
            while (run := splitter.next_run()) is not None:
                if run.ends_document:
                    documents.append(run.document)
        except ValueError as error:
            raise ConfigurationError(f"the configuration is not one whole JSON object: {error}") from error
        await asyncio.sleep(0)
    if len(documents) != 1 or not splitter.is_between_documents():
        raise ConfigurationError("the configuration is not one whole JSON object")
    return documents[0]


async def read_configuration() -> Configuration:
    """Read and check the whole configuration.

    Raises ConfigurationError or SettingsError where a key is missing or a value is invalid, and OSError where
    the file can't be read.
    """
    document = await read_document()
    try:
        settings = read_settings(document["settings"])
        proxy_settings = read_proxy_settings(document["settings"])
        limits = document["limits"]
        sockets = int(limits["sockets"]) - RESERVED_SOCKETS
        max_upstream_connections = int(sockets * UPSTREAM_SHARE)
        return Configuration(
            memory_limit=int(limits["memory_mb"] * 1e6),
            max_upstream_connections=max_upstream_connections,
            max_client_connections=sockets - max_upstream_connections,
            listen=parse_address(document["listen"]),
            discovery=parse_address(document["discovery"]),
            seed=int(document["seed"], 16),
            counter=parse_address(document["counter"]) if settings.counter is not None else None,
            settings=settings,
            proxy_settings=proxy_settings,
        )
    except SettingsError:
        raise
    except KeyError as missing:
        raise ConfigurationError(f"the configuration lacks the key {missing.args[0]!r}") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigurationError(f"the configuration has an invalid value: {error}") from error


async def read_cached_endpoints(
    proxy_settings: ProxySettings, memory_limit: int, on_update: UpdateHandler
) -> int:
    """Pass on the endpoint list as this gateway last had it; return its version.

    Where it can't be read, that is 0: discovery then sends a full list. What was read of it stays valid.
    """
    decoder = EndpointDecoder(proxy_settings, memory_limit, UpdateKind.CACHED_SNAPSHOT, path=("known",))
    version = 0
    try:
        for data in _read_file():
            decoder.feed(data)
            while not decoder.needs_data:
                if (part := decoder.next_part()) is not None:
                    on_update(part.update, part.listed)
                    version = part.update.version if part.ends_list else version
                await asyncio.sleep(0)  # the policy takes the part in
    except UNEXPECTED_JSON_ERRORS as error:
        log(f"the cached endpoint list can't be read; waiting for discovery to send one: {error!r}")
    return version


async def _reload(discovery: Discovery, counter: CounterClient | None) -> None:
    """Use the addresses in the new file. Where one of them can't be read, nothing changes."""
    try:
        document = await retry_transient(read_document, RELOAD_RETRY_TIME, RELOAD_RETRIED_ERRORS)
        discovery_address = parse_address(document["discovery"])
        counter_address = None if counter is None else parse_address(document["counter"])
    except (OSError, RecursionError, *UNEXPECTED_JSON_ERRORS) as error:
        log(f"the new configuration can't be read; keeping the old one: {error!r}")
        return
    discovery.set_address(discovery_address)
    if counter is not None and counter_address is not None:
        counter.set_address(counter_address)


async def _reload_at_each(hangup: asyncio.Event, discovery: Discovery, counter: CounterClient | None) -> None:
    while True:
        await hangup.wait()
        hangup.clear()
        await _reload(discovery, counter)


def block_reloads() -> None:
    """Let a SIGHUP wait until `start_reloads`: its default would end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def start_reloads(
    loop: asyncio.AbstractEventLoop, discovery: Discovery, counter: CounterClient | None
) -> asyncio.Task[None]:
    """Reload the configuration at each SIGHUP from now on, one by one, until the task is cancelled."""
    hangup = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    reloads = loop.create_task(_reload_at_each(hangup, discovery, counter))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    return reloads
