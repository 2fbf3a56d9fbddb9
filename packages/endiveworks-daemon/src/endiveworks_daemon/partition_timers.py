"""Timers of partitions: backoff after failures, and how long each has had no owner."""

import random
import time
from typing import NamedTuple

from endiveworks.links.retry import backoff_s

_BASE_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 15.0


class _Failures(NamedTuple):
    """Number of consecutive failures, and the monotonic time of the next attempt."""

    consecutive: int
    retry_at_s: float


class Backoffs:
    """Backoff between failed attempts, because each attempt to open a partition uses up an epoch.

    Args:
        max_s: Longest backoff, in seconds.
    """

    def __init__(self, max_s: float = _MAX_BACKOFF_S) -> None:
        self._max_s = max_s
        self._failures: dict[int, _Failures] = {}

    def may_try(self, partition: int) -> bool:
        """Tells whether a partition is not in backoff."""
        failures = self._failures.get(partition)
        return failures is None or time.monotonic() >= failures.retry_at_s

    def record_failure(self, partition: int) -> None:
        """Starts a backoff, which grows with each consecutive failure."""
        consecutive = self._failures.get(partition, _Failures(0, 0.0)).consecutive + 1
        pause_s = backoff_s(consecutive, _BASE_BACKOFF_S, self._max_s, random.random())
        self._failures[partition] = _Failures(consecutive, time.monotonic() + pause_s)

    def record_success(self, partition: int) -> None:
        """Resets the backoff of a partition."""
        self._failures.pop(partition, None)


class OwnerlessTimes:
    """Tracks how long partitions have had no owner."""

    def __init__(self) -> None:
        self._since_s: dict[int, float] = {}

    def update(self, partitions: frozenset[int]) -> dict[int, float]:
        """Sets the partitions without an owner; returns for how many seconds each has had none."""
        now_s = time.monotonic()
        for partition in self._since_s.keys() - partitions:
            del self._since_s[partition]
        for partition in partitions:
            self._since_s.setdefault(partition, now_s)
        return {partition: now_s - since_s for partition, since_s in self._since_s.items()}
