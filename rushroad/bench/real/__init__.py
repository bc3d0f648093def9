"""Experiments on real gateway processes, with stand-ins for their peers on loopback."""
