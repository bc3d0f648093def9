"""Graceful shutdown on SIGTERM or SIGINT: answers the requests in flight, then closes all connections."""

from __future__ import annotations

import asyncio
import signal

from rushroad.policy.settings import Settings
from rushroad.proxy.client_listener import ClientListener
from rushroad.proxy.counter_client import CounterClient
from rushroad.proxy.discovery import Discovery
from rushroad.proxy.upstream import Upstream

ACCEPT_TIME_S = 0.5  # new connections are accepted for this time after SIGTERM
# After SIGTERM, requests may take until the longest deadline, but at most MAX_REQUEST_TIME_S. SIGKILL may
# follow 0.7 s after that, so the remaining requests are answered within LAST_ANSWERS_TIME_S.
MAX_REQUEST_TIME_S = 3.0
LAST_ANSWERS_TIME_S = 0.5
TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def termination_event(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    """Return an event that is set on SIGTERM or SIGINT."""
    terminated = asyncio.Event()
    for signal_number in TERMINATION_SIGNALS:
        loop.add_signal_handler(signal_number, terminated.set)
    return terminated


async def shut_down(
    listener: ClientListener,
    settings: Settings,
    reload_task: asyncio.Task[None],
    discovery: Discovery,
    upstream: Upstream,
    counter: CounterClient | None,
) -> None:
    """Let requests finish within the time before SIGKILL, then close all other components."""
    longest_deadline_s = max(request_class.deadline for request_class in settings.request_classes) / 1e6
    await listener.stop(ACCEPT_TIME_S, min(longest_deadline_s, MAX_REQUEST_TIME_S) + LAST_ANSWERS_TIME_S)
    # Closing the event loop restores the default signal handlers, by which a signal would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, *TERMINATION_SIGNALS})
    reload_task.cancel()
    discovery.close()
    upstream.close()
    if counter is not None:
        counter.close()
