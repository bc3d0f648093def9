"""Benchmarks of real and simulated rushroad gateways, up to the planned fleet size."""
