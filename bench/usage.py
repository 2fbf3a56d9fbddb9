"""Processor time and memory of a process."""

import os
import time
from pathlib import Path
from typing import NamedTuple

_PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """Processor time and resident memory of a process, at a monotonic time."""

    at_s: float
    cpu_s: float
    resident_kb: int


def usage_of(pid: int) -> Usage:
    """Returns what a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return Usage(time.monotonic(), cpu_s, pages * _PAGE_KB)
