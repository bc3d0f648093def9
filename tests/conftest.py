"""Support for KNOWN-RED.txt: the tests that it lists are run and reported, but cannot fail the run."""

from pathlib import Path

import pytest

from tests.support.known_failures import read_known_failures

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; a malformed entry or an unknown test ends the run.

    Only a run of all tests looks for unknown ones, since other runs need not collect all listed tests.
    """
    try:
        known_failures = read_known_failures(KNOWN_FAILURES_FILE)
    except ValueError as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from error
    files = {item.nodeid.partition("::")[0] for item in items}
    for test, failure in known_failures.items():
        matching = [item for item in items if item.nodeid == test or item.nodeid.startswith(f"{test}[")]
        if not matching and test.partition("::")[0] in files and config.args == config.getini("testpaths"):
            raise pytest.UsageError(f"KNOWN-RED.txt lists a test that does not exist: {test}")
        for item in matching:
            item.add_marker(pytest.mark.xfail(reason=failure.reason, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Report which listed tests failed, and which passed and can be removed from the list."""
    for outcome, label in (("xfailed", "known red, failed"), ("xpassed", "known red, passed this time")):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"{label}: {report.nodeid}: {report.wasxfail}")
