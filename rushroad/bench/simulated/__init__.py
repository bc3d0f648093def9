"""Experiments on simulated fleets: the decision policy without sockets, on a virtual clock.

Times are in microseconds of the virtual clock unless a name carries another unit.
"""
