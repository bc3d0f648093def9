"""Environments in which system calls of a gateway process fail, or its wall clock is offset."""

import errno
import functools
import os
import subprocess
import tempfile
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
UNLIMITED = 1 << 30  # as the last call of a rule: it applies to all further calls


@functools.cache
def compiled_library() -> str:
    """Compile the library for LD_PRELOAD; return its path."""
    library = Path(tempfile.mkdtemp(prefix="faults")) / "faults.so"
    subprocess.run(
        ["cc", "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"], check=True
    )
    return str(library)


def fault_rule(call: str, error: str, first: int, last: int | None = None, every: int = 1) -> str:
    """Return a rule: of the calls `first` to `last`, by default only `first`, every `every`-th fails."""
    return f"{call}:{getattr(errno, error)}:{first}:{first if last is None else last}:{every}"


def faulty_environment(
    *rules: str, clock_offset_s: int = 0, file_suffix: str = "", switch_file: Path | None = None
) -> dict[str, str]:
    """Return the environment of a gateway process whose system calls fail by these rules.

    clock_offset_s: offset of its wall clock; file_suffix: rules for `open` apply to files whose names end
    with it; switch_file: calls fail only while this file exists.
    """
    environment = {
        "LD_PRELOAD": compiled_library(),
        "FAULTS": ",".join(rules),
        "CLOCK_OFFSET_S": str(clock_offset_s),
    }
    if file_suffix:
        environment["FAULTS_OPEN_SUFFIX"] = file_suffix
    if switch_file is not None:
        environment["FAULTS_SWITCH_FILE"] = os.fspath(switch_file)
    return environment
