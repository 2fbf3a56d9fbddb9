"""How long writes to the disks take lately, which grows when a link to them is full."""

import math

# Time over which the times of writes are averaged; longer than it takes to find another way to the
# disks, or that one is lost, after which writes are as fast as before.
SMOOTHING_S = 2.0
HALF_LIFE_S = 1.0  # Half-life of the average while nothing is written.


class StoreTime:
    """Moving average of the times of writes, with those that failed."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._updated_s = -math.inf

    def record(self, took_s: float, now_s: float) -> None:
        """Takes a write into the average.

        Args:
            took_s: Time that it took, in seconds.
            now_s: Monotonic time at its end.
        """
        weight = 1.0 - math.exp((self._updated_s - now_s) / SMOOTHING_S)
        self._mean_s += weight * (took_s - self._mean_s)
        self._updated_s = now_s

    def recent_s(self, now_s: float) -> float:
        """Returns the average in seconds; it fades while there are no writes."""
        return self._mean_s * 0.5 ** ((now_s - self._updated_s) / HALF_LIFE_S)
