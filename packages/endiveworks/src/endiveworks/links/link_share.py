"""One process's share of the link between regions, common to all its threads."""

import threading
import time
from collections.abc import Callable

from .byte_budget import LinkLimits, TrafficClass, full_byte_budget, reserve

# A short burst leaves bandwidth for the control messages of other processes.
_BURST_S = 2.0
_CONTROL_RESERVE_S = 1.0
_MAX_WAIT_S = 1.0
_SLICE_S = 0.25
_MIN_PAUSE_S = 0.01


class LinkShare:
    """Limits the rate at which this process sends to other regions.

    Control messages are sent at once, and the bytes they use delay later bulk. The thread that
    sends bulk waits before it reads the data from its source, so no data is queued in memory.

    Args:
        bytes_per_s: Rate that this process may use.
        clock: Returns the monotonic time in seconds.
        sleep: Sleeps for a number of seconds.
    """

    def __init__(
        self,
        bytes_per_s: float,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._limits = LinkLimits(
            bytes_per_s, bytes_per_s * _BURST_S, bytes_per_s * _CONTROL_RESERVE_S, _MAX_WAIT_S
        )
        self._slice_bytes = max(1, int(bytes_per_s * _SLICE_S))
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._budget = full_byte_budget(self._limits, clock())

    def record_control(self, size: int) -> None:
        """Records bytes of control traffic, which is sent at once."""
        with self._lock:
            reservation = reserve(
                self._limits, self._budget, TrafficClass.CONTROL, size, self._clock()
            )
            self._budget = reservation.budget

    def available_bytes(self) -> float:
        """Returns the bytes that may be sent now; negative while in debt."""
        self.record_control(0)
        return self._budget.level_bytes

    def wait(self, size: int, should_continue: Callable[[], bool] = lambda: True) -> bool:
        """Blocks until bulk bytes may be sent.

        Args:
            size: Number of bytes.
            should_continue: Called about once a second while waiting; False ends the wait.

        Returns:
            True if the bytes may be sent, False if should_continue ended the wait.
        """
        while size > 0:
            slice_bytes = min(size, self._slice_bytes)
            if not self._wait_slice(slice_bytes, should_continue):
                return False
            size -= slice_bytes
        return True

    def _wait_slice(self, size: int, should_continue: Callable[[], bool]) -> bool:
        while should_continue():
            with self._lock:
                reservation = reserve(
                    self._limits, self._budget, TrafficClass.BULK, size, self._clock()
                )
                self._budget = reservation.budget
            if reservation.allowed:
                self._sleep(reservation.wait_s)
                return True
            self._sleep(min(_MAX_WAIT_S, max(_MIN_PAUSE_S, reservation.wait_s)))
        return False
