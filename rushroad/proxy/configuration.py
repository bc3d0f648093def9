"""The configuration file named by EDGE_CONFIG, which is read at startup and reloaded on SIGHUP."""

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
from rushroad.proxy.buffer_limit import buffer_memory
from rushroad.proxy.counter_client import CounterClient
from rushroad.proxy.discovery import Discovery, UpdateHandler
from rushroad.proxy.endpoint_decoder import (
    UNEXPECTED_JSON_ERRORS,
    EndpointDecoder,
)
from rushroad.proxy.json_splitter import JsonSplitter
from rushroad.proxy.nonblocking_log import log
from rushroad.proxy.resp import MAX_MESSAGE_BYTES
from rushroad.proxy.transient_errors import TRANSIENT_ERRORS, retry_transient

PATH_VARIABLE = "EDGE_CONFIG"  # environment variable with the path of the configuration file
READ_BYTES = 64 * 1024  # per event loop iteration
RESERVED_SOCKETS = 40  # descriptors for the counter, discovery, the event loop and the standard streams
UPSTREAM_FRACTION = 0.25  # of the other descriptors, for connections to endpoints; the rest is for clients
UPSTREAM_MEMORY_FRACTION = 0.25  # of the memory for buffers; a connection to an endpoint uses one message
MIN_UPSTREAM_CONNECTIONS = 16
RELOAD_RETRY_TIME_S = 3.0  # 4 s after SIGHUP, the gateway is expected to use the new configuration
RELOAD_RETRIED_ERRORS = TRANSIENT_ERRORS | {errno.ENOENT}  # the file may be missing while it is replaced


class ConfigurationError(ValueError):
    """The configuration is missing, incomplete or invalid; the message says what is wrong."""


class Configuration(NamedTuple):
    """The configuration of a gateway, without the cached endpoint list."""

    listen: Address
    discovery: Address
    counter: Address | None  # None if the deployment has no counter
    seed: int
    memory_limit: int  # bytes
    max_upstream_connections: int
    max_client_connections: int
    settings: Settings
    proxy_settings: ProxySettings


def _read_file() -> Iterator[bytes]:
    """Read the file in chunks, as the endpoint list in it may be long."""
    path = os.environ.get(PATH_VARIABLE)
    if path is None:
        raise ConfigurationError(f"the environment variable {PATH_VARIABLE} is not set")
    with open(path, "rb") as file:  # noqa: PTH123 - importing pathlib would delay startup
        while data := file.read(READ_BYTES):
            yield data


async def read_document() -> dict[str, Any]:
    """Read the file without the entries of its endpoint list, one chunk per event loop iteration.

    Raises ConfigurationError if it is not a single complete JSON object, and OSError if it cannot be read.
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
            raise ConfigurationError(
                f"the configuration is not a single complete JSON object: {error}"
            ) from error
        await asyncio.sleep(0)
    if len(documents) != 1 or not splitter.is_between_documents():
        raise ConfigurationError("the configuration is not a single complete JSON object")
    return documents[0]


async def read_configuration() -> Configuration:
    """Read and validate the configuration.

    Raises ConfigurationError or SettingsError if a key is missing or a value is invalid, and OSError if the
    file cannot be read.
    """
    document = await read_document()
    try:
        settings = read_settings(document["settings"])
        proxy_settings = read_proxy_settings(document["settings"])
        limits = document["limits"]
        sockets = int(limits["sockets"]) - RESERVED_SOCKETS
        memory_limit = int(limits["memory_mb"] * 1e6)
        upstream_memory = buffer_memory(memory_limit) * UPSTREAM_MEMORY_FRACTION
        max_upstream_connections = min(
            int(sockets * UPSTREAM_FRACTION),
            max(MIN_UPSTREAM_CONNECTIONS, int(upstream_memory / MAX_MESSAGE_BYTES)),
        )
        return Configuration(
            memory_limit=memory_limit,
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
    """Pass the cached endpoint list to `on_update` and return its version.

    If the list cannot be read to its end, the entries read so far stay in use and the version is 0, on which
    discovery sends a full snapshot.
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
                await asyncio.sleep(0)  # lets the policy process the part
    except UNEXPECTED_JSON_ERRORS as error:
        log(f"the cached endpoint list can't be read; waiting for discovery to send one: {error!r}")
    return version


async def _reload(discovery: Discovery, counter: CounterClient | None) -> None:
    """Apply the addresses in the new file; if one of them is invalid, none is changed."""
    try:
        document = await retry_transient(read_document, RELOAD_RETRY_TIME_S, RELOAD_RETRIED_ERRORS)
        discovery_address = parse_address(document["discovery"])
        counter_address = None if counter is None else parse_address(document["counter"])
    except (OSError, RecursionError, *UNEXPECTED_JSON_ERRORS) as error:
        log(f"the new configuration can't be read; keeping the old one: {error!r}")
        return
    discovery.set_address(discovery_address)
    if counter is not None and counter_address is not None:
        counter.set_address(counter_address)


async def _reload_on_sighup(
    sighup_event: asyncio.Event, discovery: Discovery, counter: CounterClient | None
) -> None:
    while True:
        await sighup_event.wait()
        sighup_event.clear()
        await _reload(discovery, counter)


def block_reloads() -> None:
    """Block SIGHUP until `start_reloads`, as its default action would end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def start_reloads(
    loop: asyncio.AbstractEventLoop, discovery: Discovery, counter: CounterClient | None
) -> asyncio.Task[None]:
    """Reload the configuration on each SIGHUP, one reload at a time, until the returned task is cancelled."""
    sighup_event = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, sighup_event.set)
    reload_task = loop.create_task(_reload_on_sighup(sighup_event, discovery, counter))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    return reload_task
