"""The policy of a gateway: turns events into actions, without I/O.

All times, timestamps as well as durations, are whole microseconds.
"""
