"""Tracks how old the copy of the key-value entries may be."""

import time
from collections.abc import Callable


def boot_time_s() -> float:
    """Returns the seconds since the machine started, with those in which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Confirmation:
    """The latest time for which the copy is known to be complete.

    Time counts from the moment a call was sent: its reply may have waited in a socket's buffer
    while this process stood still.

    Args:
        clock_s: Returns the current time.
    """

    def __init__(self, clock_s: Callable[[], float] = boot_time_s) -> None:
        self._clock_s = clock_s
        self._asked_s = 0.0
        self._confirmed_s: float | None = None

    def ask(self) -> None:
        """Records that a call to the service or a source is about to be sent."""
        self._asked_s = self._clock_s()

    def confirm(self, source_age_s: float | None = 0.0) -> None:
        """Records that the latest call returned all changes up to when it was sent.

        Args:
            source_age_s: Age of the entries of the process that replied, 0 for the service itself;
                None if that process doesn't know it, so that nothing is confirmed.
        """
        if source_age_s is None:
            return
        confirmed_s = self._asked_s - source_age_s
        self._confirmed_s = max(confirmed_s, self._confirmed_s or confirmed_s)

    def age_s(self) -> float | None:
        """Returns the time since the copy was known to be complete; None if it never was."""
        confirmed_s = self._confirmed_s
        return None if confirmed_s is None else self._clock_s() - confirmed_s
