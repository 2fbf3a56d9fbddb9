"""Histogram of tool pauses: the times between two calls of a program while a tool runs."""

import math
from typing import NamedTuple

BUCKET_COUNT = 24
# Upper bound of the first bucket; each further bucket is twice as long.
FIRST_BUCKET_S = 0.05
# All counts are halved when their sum exceeds this, so that recent pauses weigh more.
DECAY_COUNT = 512.0


class PauseHistogram(NamedTuple):
    """Counts of pauses in exponential buckets; the weight of older pauses decays."""

    counts: tuple[float, ...] = (0.0,) * BUCKET_COUNT

    @property
    def total(self) -> float:
        """Total weight of all recorded pauses."""
        return sum(self.counts)


def bucket_index(pause_s: float) -> int:
    """Returns the index of the bucket for a pause."""
    if pause_s <= FIRST_BUCKET_S:
        return 0
    return min(BUCKET_COUNT - 1, math.ceil(math.log2(pause_s / FIRST_BUCKET_S)))


def add_pause(pauses: PauseHistogram, pause_s: float) -> PauseHistogram:
    """Returns the histogram with a completed pause added."""
    counts = list(pauses.counts)
    counts[bucket_index(pause_s)] += 1.0
    if sum(counts) > DECAY_COUNT:
        counts = [count / 2 for count in counts]
    return PauseHistogram(tuple(counts))


def quantile_s(pauses: PauseHistogram, quantile: float, elapsed_s: float = 0.0) -> float:
    """Returns a quantile of the pauses longer than elapsed_s, in seconds.

    The result is the upper bound of a bucket, or infinite if no pause that long was recorded.

    Args:
        pauses: The histogram.
        quantile: The quantile, in (0, 1].
        elapsed_s: Time that the pause has lasted so far, in seconds.
    """
    first_index = bucket_index(elapsed_s) if elapsed_s > 0 else 0
    total = sum(pauses.counts[first_index:])
    if total <= 0:
        return math.inf
    cumulative = 0.0
    for index in range(first_index, BUCKET_COUNT):
        cumulative += pauses.counts[index]
        if cumulative >= quantile * total:
            return FIRST_BUCKET_S * 2.0**index
    return math.inf
