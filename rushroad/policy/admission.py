"""The outcomes of admission."""

from __future__ import annotations

from enum import Enum, auto


class Admission(Enum):
    """The decision on a request, including the reason for a rejection."""

    ADMIT = auto()
    WAIT_FOR_COUNTER = auto()
    REJECT_OVER_QUOTA = auto()  # by the shared total, or known without a call to the counter
    REJECT_OVER_ESTIMATE = auto()  # by this gateway's estimate, without a shared total
    REJECT_OVER_CONCURRENCY = auto()
