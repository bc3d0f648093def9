"""Runs the adapter process: `python -m rushroad.simulator`."""

import sys

from rushroad.simulator.adapter import main

if __name__ == "__main__":
    sys.exit(main())
