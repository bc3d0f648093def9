"""`python -m rushroad.bench COMMAND`, the same as the script `rushroad-bench`."""

from rushroad.bench.cli import main

if __name__ == "__main__":
    main(prog_name="rushroad-bench")
