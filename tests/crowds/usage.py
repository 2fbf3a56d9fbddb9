"""What a process uses: memory, with the bytes that wait unread for it, and descriptors."""

import os
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

BYTES_PER_MB = 1_000_000
SAMPLE_S = 0.02
_TCP_TABLE = Path("/proc/net/tcp")
_LISTENING = "0A"  # Its queue counts connections, not bytes.
_KIB = 1024


class Usage:
    """The most that a process has used.

    Attributes:
        memory_mb: Resident memory and unread bytes, in megabytes.
        descriptors: Open file descriptors.
    """

    def __init__(self) -> None:
        self.memory_mb = 0.0
        self.descriptors = 0

    def __repr__(self) -> str:
        return f"{self.memory_mb:.1f} MB, {self.descriptors} descriptors"


def memory_mb(pid: int, address: str) -> float:
    """Returns the memory of a process and the bytes that wait at one of its addresses."""
    return (resident_bytes(pid) + unread_bytes(address)) / BYTES_PER_MB


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    found = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
    return int(found[0]) * _KIB if found else 0


def unread_bytes(address: str) -> int:
    """Returns the bytes that have arrived at "ip:port" and have not been read, see proc(5)."""
    ip, _, port = address.rpartition(":")
    (number,) = struct.unpack("=I", socket.inet_aton(ip))
    local = f"{number:08X}:{int(port):04X}"
    total = 0
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == local and fields[3] != _LISTENING:
            total += int(fields[4].partition(":")[2], 16)
    return total


def count_descriptors(pid: int) -> int:
    """Returns the open file descriptors of a process; 0 if it has ended."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


@contextmanager
def watched(find_pid: Callable[[], int], address: str) -> Iterator[Usage]:
    """Measures a process, again and again, until the context ends.

    Args:
        find_pid: Returns the id of the process.
        address: Its address for callers, as "ip:port".
    """
    usage = Usage()
    ended = threading.Event()

    def sample() -> None:
        while not ended.wait(SAMPLE_S):
            pid = find_pid()
            usage.memory_mb = max(usage.memory_mb, memory_mb(pid, address))
            usage.descriptors = max(usage.descriptors, count_descriptors(pid))

    thread = threading.Thread(target=sample, name="usage", daemon=True)
    thread.start()
    try:
        yield usage
    finally:
        ended.set()
        thread.join()
