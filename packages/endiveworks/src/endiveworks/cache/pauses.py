"""Histogram of the tool pauses of each tool, and the expected rest of a pause."""

import math
from typing import NamedTuple

BUCKETS = 24
FIRST_BUCKET_S = 0.05
HALF_COUNT = 512.0


class Pauses(NamedTuple):
    """Counts of pauses in buckets that double in length, older ones weighing less."""

    counts: tuple[float, ...] = (0.0,) * BUCKETS

    @property
    def total(self) -> float:
        """Weight of all pauses seen."""
        return sum(self.counts)


def bucket(pause_s: float) -> int:
    """Returns the bucket of a pause."""
    if pause_s <= FIRST_BUCKET_S:
        return 0
    return min(BUCKETS - 1, math.ceil(math.log2(pause_s / FIRST_BUCKET_S)))


def add(pauses: Pauses, pause_s: float) -> Pauses:
    """Counts a pause that has ended."""
    counts = list(pauses.counts)
    counts[bucket(pause_s)] += 1.0
    if sum(counts) > HALF_COUNT:
        counts = [count / 2 for count in counts]
    return Pauses(tuple(counts))


def quantile_s(pauses: Pauses, share: float, elapsed_s: float = 0.0) -> float:
    """Returns the pause that a share of those longer than elapsed_s do not pass.

    Infinite when no pause that long was ever seen.
    """
    first = bucket(elapsed_s) if elapsed_s > 0 else 0
    left = sum(pauses.counts[first:])
    if left <= 0:
        return math.inf
    seen = 0.0
    for at in range(first, BUCKETS):
        seen += pauses.counts[at]
        if seen >= share * left:
            return FIRST_BUCKET_S * 2.0**at
    return math.inf
