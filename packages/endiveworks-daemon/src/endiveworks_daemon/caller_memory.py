"""Bounds the bytes of requests and responses that a threaded server holds for its callers."""

import os
import threading

from endiveworks.gateway.memory_budget import BYTES_PER_MB, Claim, claim_of, has_room

# Share of the host's memory that callers, or programs, may take if no setting says how much.
DEFAULT_SHARE = 0.25
# Share of callers' memory that requests and responses may take; the rest is for connections,
# threads and the allocator.
HELD_SHARE = 0.5
# Copies of a body that exist at once: as received, decoded, and encoded for the next process.
BODY_COPIES = 3


def bound_bytes(caller_memory_mb: int) -> float:
    """Returns the most bytes that may be held.

    Args:
        caller_memory_mb: Memory for callers in megabytes; 0 for the default.
    """
    return _memory_bytes(caller_memory_mb) * HELD_SHARE


def program_memory_bytes(program_memory_mb: int) -> float:
    """Returns the memory for programs in bytes.

    Args:
        program_memory_mb: The same in megabytes; 0 for the default.
    """
    return _memory_bytes(program_memory_mb)


def _memory_bytes(megabytes: int) -> float:
    if megabytes:
        return megabytes * BYTES_PER_MB
    host_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return host_bytes * DEFAULT_SHARE


class CallerMemory:
    """The bytes that are held for all callers.

    Args:
        bound: The most bytes that may be held.
    """

    def __init__(self, bound: float) -> None:
        self._bound = bound
        self._held = 0
        self._lock = threading.Lock()

    def held(self) -> int:
        """Returns the bytes that are held."""
        with self._lock:
            return self._held

    def claim(self, size: int, claim: Claim) -> bool:
        """Adds bytes if there is room; returns whether there was."""
        with self._lock:
            if not has_room(claim, size, self._held, self._bound):
                return False
            self._held += size
            return True

    def add(self, size: int) -> None:
        """Adds bytes whether there is room or not, or takes them off if negative."""
        with self._lock:
            self._held += size


class RequestMemory:
    """The bytes that are held for one request and its response.

    Args:
        memory: The memory of the process.
    """

    def __init__(self, memory: CallerMemory) -> None:
        self._memory = memory
        self._held = 0

    def claim_body(self, size: int) -> bool:
        """Adds bytes of the body and its copies if there is room; returns whether there was."""
        extra = size * BODY_COPIES
        if not self._memory.claim(extra, claim_of(Claim.NEW, self._held + extra)):
            return False
        self._held += extra
        return True

    def hold_response(self, size: int) -> None:
        """Adds bytes of the response."""
        self._memory.add(size)
        self._held += size

    def release(self) -> None:
        """Releases everything."""
        held, self._held = self._held, 0
        self._memory.add(-held)
