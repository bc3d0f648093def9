"""Units of time."""

SECOND = 1_000_000  # microseconds
