"""Experiments on real gateway processes before stand-ins on loopback."""
