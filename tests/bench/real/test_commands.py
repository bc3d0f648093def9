"""Tests of the subcommands on real gateways, in short runs."""

import json
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import psutil
import pytest
from click.testing import CliRunner

from rushroad.bench.cli import main
from rushroad.bench.worker import REPOSITORY_ROOT

PROCESSES = 4  # of a demo with two gateways: these, the stand-ins and the clients


def test_a_demo_serves_all_requests_and_leaves_no_process(run_command: Callable[..., dict[str, Any]]) -> None:
    record = run_command("demo", "--size", "2/12", "--rate", "50", "--seconds", "1", "--work-ms", "1")
    (row,) = record["rows"]
    counts = {name: row[name] for name in ("requests", "served", "refused", "failed", "lost", "wrong")}
    assert counts == {"requests": 100, "served": 100, "refused": 0, "failed": 0, "lost": 0, "wrong": 0}
    assert row["attempts"] >= 100
    assert {"commit", "seed", "machine"} <= record.keys()
    assert psutil.Process().children(recursive=True) == []


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_demo_leaves_no_process(signal_number: signal.Signals) -> None:
    command = (sys.executable, "-m", "rushroad.bench.cli", "demo", "--size", "2/12", "--seconds", "600")
    with subprocess.Popen(
        command, cwd=REPOSITORY_ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as demo:
        bench = psutil.Process(demo.pid)
        processes: list[psutil.Process] = []
        while len(processes) < PROCESSES:
            assert demo.poll() is None
            processes = bench.children(recursive=True)
        demo.send_signal(signal_number)
        try:
            demo.communicate(timeout=60)
        finally:
            demo.kill()  # a demo that is still running fails this test and must not disturb others
        assert demo.returncode != 0
    _, remaining = psutil.wait_procs(processes, timeout=60)
    assert remaining == []


def test_counter_bytes_has_a_row_for_each_size(run_command: Callable[..., dict[str, Any]]) -> None:
    record = run_command("counter-bytes", "--sizes", "1/3,2/6", "--rate", "50", "--seconds", "0.5")
    assert [(row["fleet"], row["servers"], row["requests"], row["served"]) for row in record["rows"]] == [
        (1, 3, 25, 25),
        (2, 6, 25, 25),
    ]


def test_a_gateway_that_does_not_start_is_reported_in_an_error_row_and_the_exit_status(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    deploy_file = tmp_path / "deploy.toml"
    deploy_file.write_text('run = "echo no such gateway; exit 3"')
    monkeypatch.setattr("rushroad.bench.real.gateway_processes.DEPLOY_FILE", deploy_file)
    result = CliRunner().invoke(main, ["demo", "--size", "1/3"])
    assert result.exit_code == 1
    (line,) = [line for line in result.stdout.splitlines() if line.startswith("{")]
    assert json.loads(line)["rows"][0]["error"] == "gateway 0 exited with status 3: no such gateway\n"


def test_flood_measures_usual_requests_without_and_beside_flooding_clients(
    run_command: Callable[..., dict[str, Any]],
) -> None:
    record = run_command("flood", "--floods", "0x1,4x20", "--size", "1/3", "--seconds", "1", "--work-ms", "1")
    without, beside = record["rows"]
    for row in (without, beside):
        assert row["requests"] == 20
        assert row["served"] + row["refused"] + row["failed"] + row["lost"] + row["wrong"] == 20
    assert without["flood_answers_s"] == 0
    assert beside["flood_answers_s"] > 0


def test_malformed_flood_size_is_refused() -> None:
    result = CliRunner().invoke(main, ["flood", "--floods", "340"])
    assert result.exit_code == 2
    assert "expected CONNECTIONSxCOMMANDS, got '340'" in result.output
