"""The IDs of calls that must not be forwarded again: in flight, or ended and possibly executed."""

from __future__ import annotations

from collections import OrderedDict

from rushroad.policy.settings import Idempotency, Settings


def hold_time(settings: Settings) -> int:
    """Return for how long a call that may have been executed is known after its end, in microseconds.

    Its client may send it again until the deadline, and endpoints execute it again once the deduplication
    window is over.
    """
    return max(
        (
            request_class.deadline + request_class.deduplication_window
            for request_class in settings.request_classes
            if request_class.idempotency is not Idempotency.IDEMPOTENT
        ),
        default=0,
    )


class CallIds:
    """The IDs that a new call must not have. Times are whole microseconds."""

    def __init__(self, hold_time: int, max_executed: int) -> None:
        """Keep IDs of ended calls for `hold_time`; over `max_executed` of them, the oldest is forgotten."""
        self._hold_time, self._max_executed = hold_time, max_executed
        self._in_flight: set[bytes] = set()
        self._executed: OrderedDict[bytes, int] = OrderedDict()  # when each is forgotten, the next one first

    def acquire(self, call_id: bytes, now: int) -> bool:
        """Put an ID in flight; returns False if a new call must not have it."""
        self._forget_expired(now)
        if call_id in self._in_flight or call_id in self._executed:
            return False
        self._in_flight.add(call_id)
        return True

    def release(self, call_id: bytes, may_have_run: bool, now: int) -> None:
        """End the call with this ID; no-op if it has ended.

        may_have_run: it may have been executed, and must not be executed again.
        """
        if call_id not in self._in_flight:
            return
        self._in_flight.discard(call_id)
        if may_have_run:
            self._executed[call_id] = now + self._hold_time
            if len(self._executed) > self._max_executed:
                self._executed.popitem(last=False)

    def _forget_expired(self, now: int) -> None:
        executed = self._executed
        while executed and next(iter(executed.values())) <= now:
            executed.popitem(last=False)
