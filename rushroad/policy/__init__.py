"""The policy of a gateway: turns events into actions, without I/O.

All timestamps and durations are whole microseconds.
"""
