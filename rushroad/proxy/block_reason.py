"""Why the commands of a client connection are not processed."""

from __future__ import annotations


class BlockReason:
    """Bit flags, as several reasons can hold at once."""

    PIPELINE_FULL = 1
    AWAITING_TURN = 2  # other connections are served first
    ANSWERS_UNREAD = 4
    INVALID_COMMAND = 8  # for a pause
