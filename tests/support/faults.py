"""Environments in which system calls of a gateway process fail, or its wall clock is wrong."""

import errno
import functools
import os
import subprocess
import tempfile
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
UNLIMITED = 1 << 30  # as the last call of a rule: there is none


@functools.cache
def compiled_library() -> str:
    """The path of the library for LD_PRELOAD."""
    library = Path(tempfile.mkdtemp(prefix="faults")) / "faults.so"
    subprocess.run(
        ["cc", "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"], check=True
    )
    return str(library)


def fault(call: str, error: str, first: int, last: int | None = None, every: int = 1) -> str:
    """Of the calls numbered `first` to `last`, every `every`-th fails; only the first of them by default."""
    return f"{call}:{getattr(errno, error)}:{first}:{first if last is None else last}:{every}"


def faulty_environment(
    *faults: str, clock_step: int = 0, file: str = "", switch: Path | None = None
) -> dict[str, str]:
    """The environment of a gateway whose calls fail so.

    clock_step: seconds by which its wall clock is wrong; file: the end of the name of the file whose opening
    may fail; switch: calls fail only while this file exists.
    """
    environment = {
        "LD_PRELOAD": compiled_library(),
        "FAULTS": ",".join(faults),
        "CLOCK_STEP": str(clock_step),
    }
    if file:
        environment["FAULTS_FILE"] = file
    if switch is not None:
        environment["FAULTS_AT"] = os.fspath(switch)
    return environment
