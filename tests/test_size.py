"""What the deploy file names as `policy`: all that decides, in lines that can be read."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
NO_DECISIONS = {"__init__.py", "drill.py", "interface.py", "settings.py"}  # adapter, messages, settings


def test_all_that_decides_is_named_as_policy_and_no_line_is_too_long() -> None:
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    decides = {f"mothgap/{file.name}" for file in (ROOT / "mothgap").glob("*.py")}
    assert set(policy) == decides - {f"mothgap/{name}" for name in NO_DECISIONS}
    lines = [line for name in policy for line in (ROOT / name).read_text().splitlines()]
    assert max(map(len, lines)) <= 110
