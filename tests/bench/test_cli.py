"""The command `rushroad-bench`, as a script and as a module."""

import subprocess
import sys

import pytest
from click.testing import CliRunner

from rushroad.bench.cli import main
from rushroad.bench.worker import REPOSITORY_ROOT


@pytest.mark.parametrize("arguments", [("cost-by-rate", "--rates", "0"), ("demo", "--size", "3")])
def test_invalid_rates_and_sizes_are_usage_errors(arguments: tuple[str, ...]) -> None:
    assert CliRunner().invoke(main, arguments).exit_code == 2


def test_module_lists_all_subcommands_in_its_help() -> None:
    command = [sys.executable, "-m", "rushroad.bench", "--help"]
    done = subprocess.run(command, cwd=REPOSITORY_ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.startswith("Usage: rushroad-bench ")
    assert all(f"\n  {name} " in done.stdout for name in main.commands)
