"""KNOWN-RED.txt: tests that fail for a known fault are run and told, and do not fail the run."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_KNOWN = 3


def read_known() -> dict[str, str]:
    """Tests by their id, and the rest of their line: cause and issue."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.partition(" | ") for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {test.strip(): why for test, _, why in lines}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark what is listed. A line that names no test, or one line too many, ends the run."""
    known = read_known()
    if len(known) > MOST_KNOWN:
        raise pytest.UsageError(f"KNOWN-RED.txt has {len(known)} lines, {MOST_KNOWN} at most")
    files = {item.nodeid.partition("::")[0] for item in items}
    for test, why in known.items():
        named = [item for item in items if item.nodeid == test or item.nodeid.startswith(f"{test}[")]
        if not named and test.partition("::")[0] in files and config.args == config.getini("testpaths"):
            raise pytest.UsageError(f"KNOWN-RED.txt names no test of this tree: {test}")
        for item in named:
            item.add_marker(pytest.mark.xfail(reason=why, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Say which listed tests failed, and which passed and can come off the list."""
    for outcome, words in (("xfailed", "known red, failed"), ("xpassed", "known red, passed this time")):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"{words}: {report.nodeid}: {report.wasxfail}")
