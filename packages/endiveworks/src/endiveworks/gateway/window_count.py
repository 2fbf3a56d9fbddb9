"""Counts the events of a window that slides."""

import math

# Number of slots in which the requests of a window are counted.
SLOTS = 50


class WindowCount:
    """Number of events in the last window, counted in slots, so up to one slot too many."""

    def __init__(self, window_s: float) -> None:
        self._slot_s = window_s / SLOTS
        self._counts = [0] * (SLOTS + 1)
        self._slot = 0
        self._sum = 0

    def add(self, now_s: float) -> None:
        """Counts an event."""
        self._advance(now_s)
        self._counts[self._slot % len(self._counts)] += 1
        self._sum += 1

    def take_back(self, counted_s: float, now_s: float) -> None:
        """Takes back an event that was counted at a time, if it still counts."""
        self._advance(now_s)
        slot = int(counted_s / self._slot_s)
        place = slot % len(self._counts)
        if self._slot - slot < len(self._counts) and self._counts[place] > 0:
            self._counts[place] -= 1
            self._sum -= 1

    def count(self, now_s: float) -> int:
        """Returns the number of events in the window that ends now."""
        self._advance(now_s)
        return self._sum

    def newest(self, now_s: float, span_s: float) -> int:
        """Returns the number of events in a shorter span that ends now."""
        self._advance(now_s)
        slots = min(SLOTS, math.ceil(span_s / self._slot_s))
        size = len(self._counts)
        return sum(self._counts[(self._slot - back) % size] for back in range(slots + 1))

    def _advance(self, now_s: float) -> None:
        slot = int(now_s / self._slot_s)
        size = len(self._counts)
        for passed in range(self._slot + 1, min(slot, self._slot + size) + 1):
            self._sum -= self._counts[passed % size]
            self._counts[passed % size] = 0
        self._slot = max(self._slot, slot)
