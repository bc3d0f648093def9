"""A discovery watch on a loopback peer, and endpoint lists in discovery's JSON format."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

from rushroad.policy.events import EndpointUpdate
from rushroad.proxy.discovery import Discovery
from rushroad.proxy.endpoint_decoder import DEFAULT_MEMORY_LIMIT_BYTES, ListedEndpoint
from tests.support.loopback import LOOPBACK, PROXY_SETTINGS, Peer, run

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
CACHED_VERSION = 41  # of the endpoint list from which a watch starts
LONG_LIST_SIZE = 20_000  # endpoints
LONG_LIST_VERSION = 50


def chunk(data: bytes) -> bytes:
    """The data as a chunk of a chunked response."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def list_line(version: int, reset: bool = False, **fields: Any) -> bytes:
    """A list with one endpoint, s-1; `fields` replace fields of its entry."""
    entry = {
        "instanceId": "s-1",
        "hostPort": "127.0.0.1:81",
        "zone": "room",
        "machineType": "box",
        "cell": 3,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": 5,
    }
    text = {"generation": version, "reset": reset, "instances": [entry | fields]}
    return json.dumps(text).encode() + b"\n"


def list_entries(count: int) -> list[dict[str, Any]]:
    """Entries s-0, s-1 and so on; the last endpoint is draining, the others are ready."""
    entries = [
        {"instanceId": f"s-{n}", "hostPort": f"{LOOPBACK}:{n % 60_000 + 1}", "lifecycle": "SERVING"}
        for n in range(count)
    ]
    return [*entries[:-1], entries[-1] | {"lifecycle": "DRAINING"}]


def long_list(reset: bool = True, indent: int | None = None) -> bytes:
    """A list of LONG_LIST_SIZE endpoints."""
    text = {"generation": LONG_LIST_VERSION, "reset": reset, "instances": list_entries(LONG_LIST_SIZE)}
    return json.dumps(text, indent=indent).encode() + b"\n"


def long_list_with_its_version_last() -> bytes:
    """The same list with its keys in a different order than the protocol specifies."""
    text = {"instances": list_entries(LONG_LIST_SIZE), "reset": True, "generation": LONG_LIST_VERSION}
    return json.dumps(text).encode()


class WatchHarness:
    """A watch on a peer, and the endpoint updates that it has reported."""

    def __init__(self, peer: Peer, memory_limit: int) -> None:
        loop = asyncio.get_running_loop()
        self.peer = peer
        self.pending_updates: asyncio.Queue[tuple[EndpointUpdate, list[ListedEndpoint]]] = asyncio.Queue()
        self.updates: list[EndpointUpdate] = []
        self.update_iterations: list[int] = []  # event loop iteration of each update
        self.loop_iteration = 0
        address, rng = (LOOPBACK, peer.port), random.Random(1)
        self.discovery = Discovery(
            address, CACHED_VERSION, PROXY_SETTINGS, self.on_update, loop, rng, memory_limit
        )

    def count_loop_iterations(self) -> None:
        """Count iterations of the event loop from now on."""
        self.loop_iteration += 1
        asyncio.get_running_loop().call_soon(self.count_loop_iterations)

    def on_update(self, update: EndpointUpdate, listed: list[ListedEndpoint]) -> None:
        """Record an update."""
        assert update.endpoints == tuple(endpoint for endpoint, _ in listed)
        self.updates.append(update)
        self.update_iterations.append(self.loop_iteration)
        self.pending_updates.put_nowait((update, listed))

    async def next_update(self) -> EndpointUpdate:
        """Wait for the next update."""
        return (await self.pending_updates.get())[0]

    async def wait_for_version(self, version: int) -> None:
        """Wait until a list of this version is complete."""
        while self.discovery.version != version:
            await self.pending_updates.get()
            await asyncio.sleep(0)

    async def next_request(self) -> bytes:
        """Wait for the next request to the peer, ignoring connections that close before it."""
        while (data := (await self.peer.receive())[1]) == b"":
            pass
        return data

    def endpoint_names(self) -> list[str]:
        """The names of the endpoints in all updates."""
        return [endpoint.name for update in self.updates for endpoint in update.endpoints]


def run_watch_scenario(
    scenario: Callable[[WatchHarness], Awaitable[None]], memory_limit: int = DEFAULT_MEMORY_LIMIT_BYTES
) -> None:
    """Run a scenario with a new watch."""

    async def start() -> None:
        async with Peer() as peer:
            watch = WatchHarness(peer, memory_limit)
            await scenario(watch)
            watch.discovery.close()

    run(start)
