"""The timers that the policy has set, and what each is for. Times are whole microseconds."""

from __future__ import annotations

from typing import Final, TypeAlias

import msgspec

from rushroad.policy.actions import SetTimer
from rushroad.policy.outbox import Outbox

TOKEN_MASK = 0xFFFFFFFF  # tokens are 32 bits wide in the simulator's records


class CounterWaitExpired(msgspec.Struct, frozen=True, gc=False):
    """A request has waited the maximum time for its counter reply."""

    request_id: int


class AttemptCheckDue(msgspec.Struct, frozen=True, gc=False):
    """An attempt has taken its share of the time to the latency objective; its endpoint may be silent."""

    request_id: int
    attempt: int


class WatchRetryDue:
    """A failed call to the discovery service may be retried."""


class SubsetReviewDue:
    """The next batch of the endpoint list is due for review after a change of the subset size."""


TimerPurpose: TypeAlias = CounterWaitExpired | AttemptCheckDue | WatchRetryDue | SubsetReviewDue

WATCH_RETRY: Final = WatchRetryDue()
SUBSET_REVIEW: Final = SubsetReviewDue()
# A purpose with at most one timer at a time has a fixed token; tokens of request timers count up from 1.
FIXED_TOKENS: dict[WatchRetryDue | SubsetReviewDue, int] = {WATCH_RETRY: 0, SUBSET_REVIEW: TOKEN_MASK}
FIXED_PURPOSES = {token: purpose for purpose, token in FIXED_TOKENS.items()}


class Timers:
    """Sets timers, and maps the token of a timer that has fired to its purpose."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._purposes: dict[int, TimerPurpose] = {}
        self._last_token = 0

    def __len__(self) -> int:
        """Return the number of request timers that have not fired."""
        return len(self._purposes)

    def start(self, delay: int, purpose: CounterWaitExpired | AttemptCheckDue) -> None:
        """Set a timer for a request."""
        self._last_token = (self._last_token + 1) & TOKEN_MASK
        self._purposes[self._last_token] = purpose
        self._outbox.add(SetTimer(delay, self._last_token))

    def start_single(self, delay: int, purpose: WatchRetryDue | SubsetReviewDue) -> None:
        """Set the timer of a purpose that has at most one at a time."""
        self._outbox.add(SetTimer(delay, FIXED_TOKENS[purpose]))

    def take_purpose(self, token: int) -> TimerPurpose | None:
        """Return the purpose of the timer that has fired; None if the token is unknown."""
        return FIXED_PURPOSES.get(token) or self._purposes.pop(token, None)
