"""Units of time for the policy, in microseconds."""

SECOND = 1_000_000
