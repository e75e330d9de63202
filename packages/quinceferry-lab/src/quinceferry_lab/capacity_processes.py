"""Child processes of the capacity programs, and the processor time they take."""

import os
import subprocess
import sys
import time
from pathlib import Path

CHILD_TIMEOUT_SECONDS = 120.0
_USER_FIELD = 11
_SYSTEM_FIELD = 12
"""Positions in ``/proc/<pid>/stat`` after the command name."""


def run_child(module: str, *arguments: str) -> str:
    """Run a module to its end in a process of its own and return what it prints."""
    command = (sys.executable, "-m", module, *arguments)
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=CHILD_TIMEOUT_SECONDS, check=True
    )
    return done.stdout.strip()


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in steps of the kernel's clock tick."""
    if pid == os.getpid():
        return time.process_time()
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")
