"""The graceful shutdown after SIGTERM or SIGINT: answer what is in flight, then close all connections."""

from __future__ import annotations

import asyncio
import signal

from rushroad.policy.settings import Settings
from rushroad.proxy.client_listener import ClientListener
from rushroad.proxy.counter_client import CounterClient
from rushroad.proxy.discovery import Discovery
from rushroad.proxy.upstream import Upstream

ACCEPT_TIME_S = 0.5  # seconds after SIGTERM in which new connections are still accepted
MAX_REQUEST_TIME_S = (
    3.0  # seconds after SIGTERM that requests may take, also where their deadlines are longer
)
LAST_ANSWERS_TIME_S = 0.5  # seconds after that in which the rest is answered; SIGKILL comes after 0.7
TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def termination_event(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    terminated = asyncio.Event()
    for number in TERMINATION_SIGNALS:
        loop.add_signal_handler(number, terminated.set)
    return terminated


async def shut_down(
    listener: ClientListener,
    settings: Settings,
    reloads: asyncio.Task[None],
    discovery: Discovery,
    upstream: Upstream,
    counter: CounterClient | None,
) -> None:
    """Let requests finish within the time left before SIGKILL, then stop everything else."""
    longest_deadline_s = max(request_class.deadline for request_class in settings.request_classes) / 1e6
    await listener.stop(ACCEPT_TIME_S, min(longest_deadline_s, MAX_REQUEST_TIME_S) + LAST_ANSWERS_TIME_S)
    # The end of the event loop restores the signals' defaults, which would end the process by a signal.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, *TERMINATION_SIGNALS})
    reloads.cancel()
    discovery.close()
    upstream.close()
    if counter is not None:
        counter.close()
