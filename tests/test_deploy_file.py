"""What the deploy file names as `policy`: all that decides, in lines that can be read."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
NO_DECISIONS = {
    "__init__.py",
    "actions.py",
    "events.py",
    "settings.py",
    "settings_reader.py",
}  # messages, settings


def test_all_that_decides_is_named_as_policy_and_no_line_is_too_long() -> None:
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    decides = {f"rushroad/policy/{file.name}" for file in (ROOT / "rushroad/policy").glob("*.py")}
    assert set(policy) == decides - {f"rushroad/policy/{name}" for name in NO_DECISIONS}
    lines = [line for name in policy for line in (ROOT / name).read_text().splitlines()]
    assert max(map(len, lines)) <= 110
