"""The deploy file lists all modules that make decisions as `policy`; no line of them is too long."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULES_WITHOUT_DECISIONS = {  # messages and settings
    "__init__.py",
    "actions.py",
    "events.py",
    "settings.py",
    "settings_reader.py",
}


def test_all_modules_with_decisions_are_listed_as_policy_and_no_line_is_too_long() -> None:
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    modules = {f"rushroad/policy/{file.name}" for file in (ROOT / "rushroad/policy").glob("*.py")}
    assert set(policy) == modules - {f"rushroad/policy/{name}" for name in MODULES_WITHOUT_DECISIONS}
    lines = [line for name in policy for line in (ROOT / name).read_text().splitlines()]
    assert max(map(len, lines)) <= 110
