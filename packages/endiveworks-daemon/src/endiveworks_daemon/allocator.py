"""Lets the allocator give the memory of large blocks back to the system when they are freed."""

import ctypes

from endiveworks.telemetry.logs import logger

_M_MMAP_THRESHOLD = -3  # See mallopt(3).
LARGE_BLOCK_BYTES = 256 * 1024


def return_large_blocks() -> None:
    """Maps each large block on its own.

    By default, glibc raises the size of such blocks to that of the largest one freed, and each
    thread's arena then keeps what the bodies of earlier requests took.
    """
    try:
        was_set = ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    except (OSError, AttributeError):
        was_set = 0
    if not was_set:
        logger("daemon").info("allocator_unchanged")
