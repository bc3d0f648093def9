"""The command, as a script and as a module."""

import subprocess
import sys

import pytest
from click.testing import CliRunner

from rushroad.bench.cli import main
from rushroad.bench.worker import REPOSITORY_ROOT


@pytest.mark.parametrize("words", [("cost-by-rate", "--rates", "0"), ("demo", "--size", "3")])
def test_sizes_that_make_no_sense_are_rejected_at_once(words: tuple[str, ...]) -> None:
    assert CliRunner().invoke(main, words).exit_code == 2


def test_the_package_runs_as_a_module_with_all_subcommands() -> None:
    command = [sys.executable, "-m", "rushroad.bench", "--help"]
    done = subprocess.run(command, cwd=REPOSITORY_ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.startswith("Usage: rushroad-bench ")
    assert all(f"\n  {name} " in done.stdout for name in main.commands)
