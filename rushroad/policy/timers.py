"""The timers that the policy has set, each with its typed purpose."""

from __future__ import annotations

from typing import Final, TypeAlias

import msgspec

from rushroad.policy.actions import SetTimer
from rushroad.policy.outbox import Outbox

TOKEN_MASK = 0xFFFFFFFF  # tokens have 32 bits on the simulator's wire


class CounterWaitOver(msgspec.Struct, frozen=True, gc=False):
    """A request has waited for its counter reply for as long as it may."""

    request_id: int


class AttemptCheckDue(msgspec.Struct, frozen=True, gc=False):
    """An attempt has used its part of the time; its endpoint may be silent."""

    request_id: int
    attempt: int


class WatchRetryDue:
    """A failed call to the discovery service may be made again."""


class SubsetReviewDue:
    """The next part of the endpoint list is due for a review of the subset."""


TimerPurpose: TypeAlias = CounterWaitOver | AttemptCheckDue | WatchRetryDue | SubsetReviewDue

WATCH_RETRY: Final = WatchRetryDue()
SUBSET_REVIEW: Final = SubsetReviewDue()
# Purposes with at most one timer each have tokens of their own; all others are numbered from 1.
FIXED_TOKENS: dict[WatchRetryDue | SubsetReviewDue, int] = {WATCH_RETRY: 0, SUBSET_REVIEW: TOKEN_MASK}
FIXED_PURPOSES = {token: purpose for purpose, token in FIXED_TOKENS.items()}


class Timers:
    """Sets timers, and tells what a timer that has fired was for."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._purposes: dict[int, TimerPurpose] = {}
        self._last_token = 0

    def __len__(self) -> int:
        """Count the timers of requests that have not fired."""
        return len(self._purposes)

    def start(self, delay: int, purpose: CounterWaitOver | AttemptCheckDue) -> None:
        """Set a timer for a request, to fire after `delay` microseconds."""
        self._last_token = (self._last_token + 1) & TOKEN_MASK
        self._purposes[self._last_token] = purpose
        self._outbox.add(SetTimer(delay, self._last_token))

    def start_single(self, delay: int, purpose: WatchRetryDue | SubsetReviewDue) -> None:
        """Set the one timer of this purpose, to fire after `delay` microseconds."""
        self._outbox.add(SetTimer(delay, FIXED_TOKENS[purpose]))

    def fired(self, token: int) -> TimerPurpose | None:
        """Return what the timer was for; None where that is not known."""
        return FIXED_PURPOSES.get(token) or self._purposes.pop(token, None)
