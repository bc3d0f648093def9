"""Fixtures of the tests on real gateways."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from click.testing import CliRunner

from rushroad.bench.cli import main

RunCommand = Callable[..., dict[str, Any]]


@pytest.fixture
def run_command() -> RunCommand:
    """Run a subcommand that must succeed; returns the record that it prints behind its table."""

    def run_command(*words: str) -> dict[str, Any]:
        done = CliRunner().invoke(main, words, catch_exceptions=False)
        assert done.exit_code == 0, done.output
        (line,) = [line for line in done.stdout.splitlines() if line.startswith("{")]
        record: dict[str, Any] = json.loads(line)
        return record

    return run_command
