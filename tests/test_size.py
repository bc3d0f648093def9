"""The users' limits on the decision module: all files that the deploy file names as `policy`."""

import tomllib
from pathlib import Path

import mothgap.rules
import mothgap.subset

ROOT = Path(__file__).parent.parent


def test_the_module_stays_within_its_limits() -> None:
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    files = [(ROOT / name).resolve() for name in policy]
    for module in (mothgap.rules, mothgap.subset):  # whatever decides is named there
        assert Path(str(module.__file__)).resolve() in files
    lines = [line for file in files for line in file.read_text().splitlines()]
    assert len([line for line in lines if line.strip()]) <= 1_200
    assert max(map(len, lines)) <= 110
