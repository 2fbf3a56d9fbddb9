"""Estimates when the programs that use an engine will need their prefixes again."""

import threading
import time
from collections.abc import Callable

from endiveworks.cache.eviction import expected_return_s
from endiveworks.cache.pauses import PauseHistogram, add_pause

_MAX_PROGRAMS = 65_536


class ReturnEstimator:
    """Tracks tool pauses and active programs, and estimates when a program returns.

    Args:
        now_s: Returns the monotonic time in seconds.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._pauses = PauseHistogram()
        self._paused_since_s: dict[str, float] = {}
        self._active: set[str] = set()

    def record_arrival(self, program: str) -> None:
        """Records that a program's next call has arrived, which ends its pause."""
        with self._lock:
            since_s = self._paused_since_s.pop(program, None)
            if since_s is not None:
                self._pauses = add_pause(self._pauses, self._now_s() - since_s)
            self._active.add(program)

    def record_requeue(self, program: str) -> None:
        """Records that a program's call was queued again before it had ended; this is no pause."""
        with self._lock:
            self._paused_since_s.pop(program, None)
            self._active.add(program)

    def record_pause(self, program: str) -> None:
        """Records that a program's call has ended or left the queue, which starts a pause."""
        with self._lock:
            self._active.discard(program)
            self._paused_since_s[program] = self._now_s()
            if len(self._paused_since_s) > _MAX_PROGRAMS:
                self._paused_since_s.pop(next(iter(self._paused_since_s)))

    def return_s(self, program: str) -> float:
        """Returns the seconds until a program is expected to need its prefix."""
        with self._lock:
            if program in self._active:
                return 0.0
            since_s = self._paused_since_s.get(program)
            elapsed_s = self._now_s() - since_s if since_s is not None else 0.0
            return expected_return_s(self._pauses, elapsed_s)
