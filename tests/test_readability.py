"""Checks that keep the code readable: no former names, no large files, no long functions."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Former names of packages and programs, split so that this file does not contain them.
FORMER_NAMES = ("moth" + "gap", "lynx" + "reel", "fleet" + "bench")
MAX_FILE_LINES = 400
MAX_FUNCTION_LINES = 40
PRODUCT_FILES = sorted(path.relative_to(ROOT) for path in (ROOT / "rushroad").rglob("*.py"))


@pytest.mark.parametrize("former_name", FORMER_NAMES)
def test_no_file_contains_a_former_name(former_name: str) -> None:
    pages = [*(ROOT / "docs").glob("*.md"), *(ROOT / "deploy").rglob("*.*"), *ROOT.glob("*.*")]
    code = [path for directory in ("rushroad", "tests") for path in (ROOT / directory).rglob("*.*")]
    texts = [path for path in (*pages, *code, ROOT / ".ci/run") if path.is_file() and path.suffix != ".pyc"]
    assert [str(path) for path in texts if former_name in path.read_text().lower() + path.name.lower()] == []


@pytest.mark.parametrize("path", PRODUCT_FILES, ids=str)
def test_product_file_and_its_functions_are_short(path: Path) -> None:
    text = (ROOT / path).read_text()
    assert text.count("\n") <= MAX_FILE_LINES
    functions = (
        node for node in ast.walk(ast.parse(text)) if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    )
    lengths = {node.name: (node.end_lineno or 0) - node.lineno + 1 for node in functions}
    assert {name: length for name, length in lengths.items() if length > MAX_FUNCTION_LINES} == {}
