"""An emulator of what rushroad's gateways stand between, and the experiments that measure them at size."""
