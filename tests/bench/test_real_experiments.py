"""Short forms of the experiments on real gateways: counts and bytes, no times; and that nothing is left."""

import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import psutil
import pytest
from click.testing import CliRunner

from rushroad.bench.cli import main
from rushroad.bench.real.experiments import Scene, measure, measure_changes, measure_list
from rushroad.bench.real.gateway_processes import OverBounds, Peers, RealFleet, time_limit
from rushroad.bench.simulated.fleet import size_of
from rushroad.bench.worker import ROOT

PROCESSES = 4  # of a demo of two gateways: these, the stand-ins and the clients


def play(*words: str) -> dict[str, Any]:
    """The run's line of JSON, which stands behind its table."""
    done = CliRunner().invoke(main, words, catch_exceptions=False)
    assert done.exit_code == 0, done.output
    (line,) = [line for line in done.stdout.splitlines() if line.startswith("{")]
    record: dict[str, Any] = json.loads(line)
    return record


def test_a_demo_serves_all_and_leaves_no_process() -> None:
    record = play("demo", "--size", "2/12", "--rate", "50", "--seconds", "1", "--work-ms", "1")
    (row,) = record["rows"]
    counts = {name: row[name] for name in ("requests", "served", "refused", "failed", "lost", "wrong")}
    assert counts == {"requests": 100, "served": 100, "refused": 0, "failed": 0, "lost": 0, "wrong": 0}
    assert row["attempts"] >= 100
    assert {"commit", "seed", "machine"} <= record.keys()
    assert psutil.Process().children(recursive=True) == []


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_demo_leaves_no_process(number: signal.Signals) -> None:
    words = (sys.executable, "-m", "rushroad.bench.cli", "demo", "--size", "2/12", "--seconds", "600")
    with subprocess.Popen(words, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as demo:
        bench = psutil.Process(demo.pid)
        found: list[psutil.Process] = []
        while len(found) < PROCESSES:
            assert demo.poll() is None
            found = bench.children(recursive=True)
        demo.send_signal(number)
        try:
            demo.communicate(timeout=60)
        finally:
            demo.kill()  # one that goes on fails the test, and holds up no other
        assert demo.returncode != 0
    _, left = psutil.wait_procs(found, timeout=60)
    assert left == []


@pytest.mark.parametrize("known", [True, False])
def test_a_gateway_serves_with_its_list_from_either_source(known: bool) -> None:
    row = measure_list(Scene(size_of("4900/60"), known=known, work_ms=0.0))
    assert row["serving_s"] != "never"
    assert float(row["peak_mb"]) > 0


def test_requests_are_served_through_a_burst_of_changes() -> None:
    row = measure_changes(Scene(size_of("3/60"), rate=50.0, work_ms=1.0), burst=4_042, after=0.5)
    assert (row["burst"], row["requests"], row["served"], row["wrong"]) == (30, 100, 100, 0)
    assert row["used_gone_one"] == 1
    assert int(row["used_gone_burst"]) > 0


def test_the_counter_is_called_and_changes_are_told_while_the_list_rolls() -> None:
    row = measure(Scene(size_of("3/60"), rate=50.0, seconds=1.0, tenants=9, work_ms=1.0, changes=20.0))
    assert (row["requests"], row["served"], row["syntax"], row["tenants_seen"]) == (50, 50, 0, 9)
    assert float(row["calls_request"]) > 0
    assert float(row["bytes_request"]) > float(row["calls_request"]) * len("bump 0 1.000000 1\r\nok 1\r\n")
    assert int(row["changes"]) > 0


def test_counter_bytes_has_a_row_for_each_size() -> None:
    record = play("counter-bytes", "--sizes", "1/3,2/6", "--rate", "50", "--seconds", "0.5")
    assert [(row["fleet"], row["servers"], row["requests"], row["served"]) for row in record["rows"]] == [
        (1, 3, 25, 25),
        (2, 6, 25, 25),
    ]


@pytest.mark.parametrize("words", [("cost-by-rate", "--rates", "0"), ("demo", "--size", "3")])
def test_sizes_that_make_no_sense_are_refused_at_once(words: tuple[str, ...]) -> None:
    assert CliRunner().invoke(main, words).exit_code == 2


def test_more_gateways_than_may_run_are_refused(tmp_path: Path) -> None:
    with pytest.raises(OverBounds):
        RealFleet(191, 4_900, Peers("", ""), {}, tmp_path)


def test_a_run_ends_at_its_time_limit_wherever_it_waits() -> None:
    handler = signal.getsignal(signal.SIGALRM)
    with pytest.raises(OverBounds), time_limit(0.01):
        signal.pause()
    assert signal.getsignal(signal.SIGALRM) is handler


def test_a_gateway_that_does_not_start_makes_a_row_with_its_log_and_an_exit_code(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    deploy = tmp_path / "deploy.toml"
    deploy.write_text('run = "echo no such gateway; exit 3"')
    monkeypatch.setattr("rushroad.bench.real.gateway_processes.DEPLOY_FILE", deploy)
    done = CliRunner().invoke(main, ["demo", "--size", "1/3"])
    assert done.exit_code == 1
    (line,) = [line for line in done.stdout.splitlines() if line.startswith("{")]
    assert json.loads(line)["rows"][0]["error"] == "gateway 0 ended with 3: no such gateway\n"
