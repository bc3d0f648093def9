"""System calls that fail in one gateway's process, and a wall clock that is wrong there."""

import errno
import functools
import os
import subprocess
import tempfile
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
FOR_EVER = 1 << 30


@functools.cache
def library() -> str:
    """The compiled library."""
    folder = Path(tempfile.mkdtemp(prefix="faults"))
    compiled = folder / "faults.so"
    subprocess.run(
        ["cc", "-shared", "-fPIC", "-O1", "-Wall", "-o", str(compiled), str(SOURCE), "-ldl"], check=True
    )
    return str(compiled)


def rule(call: str, error: str, first: int, last: int | None = None, every: int = 1) -> str:
    """Of the calls numbered `first` to `last`, every `every`-th fails; only the first of them by default."""
    return f"{call}:{getattr(errno, error)}:{first}:{first if last is None else last}:{every}"


def faults(*rules: str, step: int = 0, file: str = "", switch: Path | None = None) -> dict[str, str]:
    """The environment of a gateway whose calls fail so.

    step: seconds by which its wall clock is wrong; file: the end of the name of the file whose opening may
    fail; switch: the rules hold only while this file exists.
    """
    env = {"LD_PRELOAD": library(), "FAULTS": ",".join(rules), "CLOCK_STEP": str(step)}
    if file:
        env["FAULTS_FILE"] = file
    if switch is not None:
        env["FAULTS_AT"] = os.fspath(switch)
    return env
