"""Experiments that measure rushroad's gateways at the planned fleet size, real and simulated."""
