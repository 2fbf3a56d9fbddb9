"""One process's share of the link between regions, used by all its senders."""

import threading
import time
from collections.abc import Callable

from .byte_budget import Limits, Traffic, full, reserve

# A short burst leaves the link free for the control messages of other processes.
_BURST_S = 2.0
_CONTROL_S = 1.0
_MAX_WAIT_S = 1.0
_SLICE_S = 0.25
_MIN_PAUSE_S = 0.01


class LinkShare:
    """Bytes that this process may send between regions.

    Control messages go at once and are paid for by later bulk. Bulk waits in the thread that sends
    it, before it is read from where it comes, so nothing is queued.

    Args:
        bytes_per_s: Rate of the share.
        clock: Returns the monotonic time in seconds.
        sleep: Pauses for some seconds.
    """

    def __init__(
        self,
        bytes_per_s: float,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._limits = Limits(
            bytes_per_s, bytes_per_s * _BURST_S, bytes_per_s * _CONTROL_S, _MAX_WAIT_S
        )
        self._slice_bytes = max(1, int(bytes_per_s * _SLICE_S))
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._budget = full(self._limits, clock())

    def spend(self, size: int) -> None:
        """Notes bytes of control, which are sent at once."""
        with self._lock:
            grant = reserve(self._limits, self._budget, Traffic.CONTROL, size, self._clock())
            self._budget = grant.budget

    def left_bytes(self) -> float:
        """Returns the bytes that may be sent now; below zero while in debt."""
        self.spend(0)
        return self._budget.level_bytes

    def wait(self, size: int, goes_on: Callable[[], bool] = lambda: True) -> bool:
        """Waits until bytes of bulk may be sent.

        Args:
            size: Number of bytes.
            goes_on: Is asked about once a second whether to wait on.

        Returns:
            Whether they may; False when the wait was ended.
        """
        while size > 0:
            part = min(size, self._slice_bytes)
            if not self._wait_part(part, goes_on):
                return False
            size -= part
        return True

    def _wait_part(self, size: int, goes_on: Callable[[], bool]) -> bool:
        while goes_on():
            with self._lock:
                grant = reserve(self._limits, self._budget, Traffic.BULK, size, self._clock())
                self._budget = grant.budget
            if grant.allowed:
                self._sleep(grant.wait_s)
                return True
            self._sleep(min(_MAX_WAIT_S, max(_MIN_PAUSE_S, grant.wait_s)))
        return False
