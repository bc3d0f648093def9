"""KNOWN-RED.txt: the form of its entries."""

from pathlib import Path

import pytest

from tests.conftest import KNOWN_FAILURES_FILE
from tests.support.known_failures import MAX_ENTRY_CHARACTERS, parse_entry, read_known_failures

ENTRY = "tests/test_x.py::test_y | pytest, seed 7 | 3 of 5 requests lost | issue 31"


def test_each_entry_of_this_project_names_a_file_that_exists() -> None:
    for test in read_known_failures(KNOWN_FAILURES_FILE):
        assert (KNOWN_FAILURES_FILE.parent / test.partition("::")[0]).is_file()


def test_entry_has_a_test_a_command_what_was_seen_and_an_issue() -> None:
    entry = parse_entry(ENTRY)
    assert (entry.test, entry.issue) == ("tests/test_x.py::test_y", "issue 31")
    assert entry.reason == "pytest, seed 7 | 3 of 5 requests lost | issue 31"


@pytest.mark.parametrize(
    "line",
    [
        "",
        "tests/test_x.py::test_y",
        "tests/test_x.py::test_y | 3 of 5 requests lost | issue 31",
        ENTRY.replace("pytest, seed 7", " "),
        ENTRY.replace("issue 31", "later"),
        ENTRY.replace("tests/test_x.py::test_y", "review/6/run.sh, review/7/run.sh"),
        ENTRY.replace("tests/test_x.py::test_y", "test_y"),
        ENTRY + " | more",
        ENTRY.replace("lost", "lost " * MAX_ENTRY_CHARACTERS),
    ],
)
def test_malformed_entry_is_an_error(line: str) -> None:
    with pytest.raises(ValueError, match="expected"):
        parse_entry(line)


def test_second_entry_for_a_test_is_an_error(tmp_path: Path) -> None:
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text(f"{ENTRY}\n{ENTRY}\n")
    with pytest.raises(ValueError, match="more than one"):
        read_known_failures(file)
