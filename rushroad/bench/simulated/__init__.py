"""Experiments on simulated fleets: the decision policy without sockets, on a virtual clock."""
