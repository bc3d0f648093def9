"""Support for KNOWN-RED.txt: the tests that it lists are run and reported, but cannot fail the run.

Each line is `test id | cause | issue`.
"""

from pathlib import Path

import pytest

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


def read_known_failures() -> dict[str, str]:
    """Return the cause and issue of each known failure, by test ID."""
    if not KNOWN_FAILURES_FILE.exists():
        return {}
    lines = [line.partition(" | ") for line in KNOWN_FAILURES_FILE.read_text().splitlines() if line.strip()]
    return {test.strip(): cause for test, _, cause in lines}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; a list too long or with an unknown test ends the run.

    Only a run of all tests looks for unknown ones, since other runs need not collect all listed tests.
    """
    known_failures = read_known_failures()
    if len(known_failures) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"KNOWN-RED.txt has {len(known_failures)} lines; at most {MAX_KNOWN_FAILURES} are allowed"
        )
    files = {item.nodeid.partition("::")[0] for item in items}
    for test, cause in known_failures.items():
        matching = [item for item in items if item.nodeid == test or item.nodeid.startswith(f"{test}[")]
        if not matching and test.partition("::")[0] in files and config.args == config.getini("testpaths"):
            raise pytest.UsageError(f"KNOWN-RED.txt lists a test that does not exist: {test}")
        for item in matching:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Report which listed tests failed, and which passed and can be removed from the list."""
    for outcome, label in (("xfailed", "known red, failed"), ("xpassed", "known red, passed this time")):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"{label}: {report.nodeid}: {report.wasxfail}")
