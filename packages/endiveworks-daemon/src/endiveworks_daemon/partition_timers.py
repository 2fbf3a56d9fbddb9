"""Times in the upkeep of partitions: pauses after failures, and how long owners are missing."""

import random
import time
from typing import NamedTuple

from endiveworks.links.retry import backoff_s

_BASE_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 15.0


class _Failures(NamedTuple):
    """Failed openings in a row, and the monotonic time of the next attempt."""

    in_a_row: int
    until_s: float


class Backoffs:
    """Pauses between attempts that fail: each opening of a partition takes an epoch.

    Args:
        max_s: Upper bound of every pause, in seconds.
    """

    def __init__(self, max_s: float = _MAX_BACKOFF_S) -> None:
        self._max_s = max_s
        self._failures: dict[int, _Failures] = {}

    def may_try(self, partition: int) -> bool:
        """Tells whether a partition may be tried now."""
        failures = self._failures.get(partition)
        return failures is None or time.monotonic() >= failures.until_s

    def failed(self, partition: int) -> None:
        """Begins a pause, longer after each failure in a row."""
        in_a_row = self._failures.get(partition, _Failures(0, 0.0)).in_a_row + 1
        pause_s = backoff_s(in_a_row, _BASE_BACKOFF_S, self._max_s, random.random())
        self._failures[partition] = _Failures(in_a_row, time.monotonic() + pause_s)

    def succeeded(self, partition: int) -> None:
        """Forgets the failures of a partition."""
        self._failures.pop(partition, None)


class OwnerlessTimes:
    """Since when partitions have been without an owner."""

    def __init__(self) -> None:
        self._since_s: dict[int, float] = {}

    def update(self, partitions: frozenset[int]) -> dict[int, float]:
        """Takes the partitions without an owner and returns for how many seconds they have been."""
        now = time.monotonic()
        for partition in self._since_s.keys() - partitions:
            del self._since_s[partition]
        for partition in partitions:
            self._since_s.setdefault(partition, now)
        return {partition: now - since for partition, since in self._since_s.items()}
