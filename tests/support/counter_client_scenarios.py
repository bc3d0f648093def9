"""Helpers for tests of the counter client: a client connected to a peer, and the replies that it posts."""

import asyncio
from collections.abc import Awaitable, Callable

from rushroad.policy.events import CounterReply, LateCounterReply
from rushroad.proxy.counter_client import CounterClient
from tests.support.loopback import LOOPBACK, Peer, run

SHORT_TIMEOUT_US = 50_000
LONG_TIMEOUT_US = 10_000_000


class RecordedReplies(asyncio.Queue[CounterReply]):
    """Receives the events posted by the client: a queue of replies, with a second queue for late replies."""

    def __init__(self) -> None:
        super().__init__()
        self.late: asyncio.Queue[LateCounterReply] = asyncio.Queue()

    def post(self, event: CounterReply | LateCounterReply) -> None:
        if isinstance(event, LateCounterReply):
            self.late.put_nowait(event)
        else:
            self.put_nowait(event)


def run_with_counter_client(
    scenario: Callable[[CounterClient, Peer, RecordedReplies], Awaitable[None]], timeout_us: int
) -> None:
    """Run a scenario with a client whose connections, to a peer in place of the counter, are established."""

    async def start() -> None:
        replies = RecordedReplies()
        async with Peer() as peer:
            client = CounterClient(
                (LOOPBACK, peer.port), timeout_us, replies.post, asyncio.get_running_loop()
            )
            await wait_until_connected(client)
            await scenario(client, peer, replies)
            client.close()

    run(start)


async def wait_until_connected(client: CounterClient) -> None:
    """Wait until all connections of the client are established."""
    while not all(connection is not None and connection.is_usable() for connection in client._connections):
        await asyncio.sleep(0.001)
