"""The entry point of the gateway process: creates and connects its components, and runs until SIGTERM."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from contextlib import suppress

import uvloop

from rushroad.policy.events import EndpointUpdate, UpdateKind
from rushroad.proxy.client_command import CommandSchema
from rushroad.proxy.client_listener import ClientListener
from rushroad.proxy.configuration import (
    Configuration,
    block_reloads,
    read_cached_endpoints,
    read_configuration,
    start_reloads,
)
from rushroad.proxy.counter_client import CounterClient
from rushroad.proxy.discovery import Discovery, UpdateHandler
from rushroad.proxy.endpoint_decoder import ListedEndpoint
from rushroad.proxy.engine import Engine
from rushroad.proxy.garbage_collection import EndpointFreezer, freeze_startup_objects
from rushroad.proxy.nonblocking_log import log
from rushroad.proxy.shutdown import shut_down, termination_event
from rushroad.proxy.table_limits import TableLimits
from rushroad.proxy.transient_errors import (
    RETRY_INTERVAL_S,
    START_RETRY_TIME_S,
    TRANSIENT_ERRORS,
    retry_transient,
)
from rushroad.proxy.upstream import Upstream

FIRST_UPDATE_TIMEOUT_S = 0.3  # wait for discovery at startup; after it, the cached endpoint list is used
EXIT_OK, EXIT_START_FAILED = 0, 2


def _update_handler(engine: Engine, upstream: Upstream, loop: asyncio.AbstractEventLoop) -> UpdateHandler:
    """Return the handler that passes endpoint updates to all components that use them."""
    freezer = EndpointFreezer(loop)

    def apply_update(update: EndpointUpdate, listed: list[ListedEndpoint]) -> None:
        is_snapshot = update.kind is not UpdateKind.DELTA
        upstream.update_endpoints(listed, is_snapshot, update.is_first_part, update.is_last_part)
        engine.endpoints_updated(update)
        freezer.entries_added(len(listed))

    return apply_update


def _connect_counter(
    configuration: Configuration, engine: Engine, loop: asyncio.AbstractEventLoop
) -> CounterClient | None:
    """Connect the engine to the counter; return None if the deployment has none."""
    settings = configuration.settings.counter
    if settings is None or configuration.counter is None:
        return None
    counter = CounterClient(configuration.counter, settings.timeout, engine.post, loop)
    engine.counter = counter
    return counter


async def serve() -> None:
    """Serve until SIGTERM or SIGINT.

    Raises the errors of `read_configuration`, and OSError if listening fails.
    """
    loop = asyncio.get_running_loop()
    terminated = termination_event(loop)
    loop.set_exception_handler(log.handle_loop_exception)
    configuration = await retry_transient(read_configuration)
    settings, proxy_settings = configuration.settings, configuration.proxy_settings
    memory_limit = configuration.memory_limit

    engine = Engine(settings, configuration.seed, loop, TableLimits.of_gateway(memory_limit))
    upstream = Upstream(
        engine, settings, proxy_settings.idle_timeout, configuration.max_upstream_connections, loop
    )
    engine.backend = upstream
    counter = _connect_counter(configuration, engine, loop)
    schema = CommandSchema.from_settings(settings, proxy_settings)
    listener = ClientListener(engine, schema, configuration.max_client_connections, memory_limit, loop)

    apply_update = _update_handler(engine, upstream, loop)
    cached_version = await retry_transient(
        lambda: read_cached_endpoints(proxy_settings, memory_limit, apply_update)
    )
    rng = random.Random(configuration.seed)
    discovery = Discovery(
        configuration.discovery, cached_version, proxy_settings, apply_update, loop, rng, memory_limit
    )
    reload_task = start_reloads(loop, discovery, counter)
    with suppress(TimeoutError):
        async with asyncio.timeout(FIRST_UPDATE_TIMEOUT_S):
            await discovery.list_received.wait()
    await retry_transient(lambda: listener.listen(*configuration.listen))
    freeze_startup_objects()

    await terminated.wait()
    await shut_down(listener, settings, reload_task, discovery, upstream, counter)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Create the event loop, retrying while the system lacks descriptors or memory."""
    retry_until = time.monotonic() + START_RETRY_TIME_S
    while True:
        try:
            return uvloop.new_event_loop()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() > retry_until:
                raise
        time.sleep(RETRY_INTERVAL_S)


def main() -> int:
    """Run the gateway; return 0 after a shutdown, or 2 after logging an error if it cannot start."""
    block_reloads()
    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(serve())
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        log(f"can't start: {error}")
        return EXIT_START_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
