"""Tests of the processes of real gateways."""

import os
import subprocess

import pytest

from rushroad.bench.real.gateway_processes import killed_with_parent


@pytest.mark.parametrize(("is_parent", "output"), [(True, b"started\n"), (False, b"")])
def test_a_command_does_not_start_if_its_parent_has_exited(is_parent: bool, output: bytes) -> None:
    parent = os.getpid() if is_parent else os.getppid()
    result = subprocess.run(killed_with_parent("echo started", parent), capture_output=True, check=False)
    assert (result.stdout, result.returncode) == (output, 0 if is_parent else 1)
