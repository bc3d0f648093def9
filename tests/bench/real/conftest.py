"""Fixtures of the tests with real gateways."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from click.testing import CliRunner

from rushroad.bench.cli import main

RunCommand = Callable[..., dict[str, Any]]


@pytest.fixture
def run_command() -> RunCommand:
    """Run a subcommand, which must succeed, and return the record that it prints after its table."""

    def run_command(*arguments: str) -> dict[str, Any]:
        result = CliRunner().invoke(main, arguments, catch_exceptions=False)
        assert result.exit_code == 0, result.output
        (line,) = [line for line in result.stdout.splitlines() if line.startswith("{")]
        record: dict[str, Any] = json.loads(line)
        return record

    return run_command
