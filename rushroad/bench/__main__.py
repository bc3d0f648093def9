"""Runs the command `rushroad-bench` as a module: `python -m rushroad.bench COMMAND`."""

from rushroad.bench.cli import main

if __name__ == "__main__":
    main(prog_name="rushroad-bench")
