"""Whether a request may be forwarded."""

from __future__ import annotations

from enum import Enum, auto


class Admission(Enum):
    """The decision on a request, with the reason of a rejection."""

    ADMIT = auto()
    WAIT_FOR_COUNTER = auto()
    REJECT_OVER_QUOTA = auto()  # by the shared total, or known before any call
    REJECT_OVER_ESTIMATE = auto()  # by this gateway's own estimate, without a total
    REJECT_OVER_CONCURRENCY = auto()
