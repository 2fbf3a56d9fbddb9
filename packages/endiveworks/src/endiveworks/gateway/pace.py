"""How fast replicas answer, from what their answers took; finds the slow ones without probes."""

import statistics
from collections.abc import Sequence
from typing import NamedTuple

ANSWER_WEIGHT = 0.2  # Weight of the newest whole answer in the mean.
# Weight of the newest event of a stream; a dozen of them, as one answer has, weigh a little more.
EVENT_WEIGHT = 0.08
# Time in which a replica that gets no requests is taken to be at the usual pace again by half.
FORGET_HALF_LIFE_S = 3.0
MIN_SLOWNESS = 1.5  # Smaller differences are due to the requests, not to the replica.
MAX_SLOWNESS = 10.0  # A replica that is slower still is avoided as much.


class Pace(NamedTuple):
    """Mean time of a unit of work at a replica; 0 before the first one."""

    mean_s: float = 0.0
    noted_s: float = 0.0


def note(pace: Pace, took_s: float, now_s: float, weight: float = ANSWER_WEIGHT) -> Pace:
    """Returns the pace after one more unit of work."""
    mean_s = pace.mean_s + weight * (took_s - pace.mean_s) if pace.mean_s else took_s
    return Pace(mean_s, now_s)


def note_events(pace: Pace, took_s: float, count: int, now_s: float) -> Pace:
    """Returns the pace after events that came together, so long after those before them."""
    weight = 1.0 - (1.0 - EVENT_WEIGHT) ** count
    return note(pace, took_s / count, now_s, weight)


def slowness(pace: Pace, all_paces: Sequence[Pace], now_s: float) -> float:
    """Returns how much slower than the middle replica one is; 1 for a usual one.

    Args:
        pace: The replica's.
        all_paces: Those of all replicas of its service.
        now_s: Steady time; what was seen long ago counts less.
    """
    known = [other.mean_s for other in all_paces if other.mean_s]
    if not pace.mean_s or len(known) < 2:
        return 1.0
    # The lower of two middle ones, so that of two replicas the slow one is seen.
    ratio = pace.mean_s / max(1e-6, statistics.median_low(known))
    if ratio < MIN_SLOWNESS:
        return 1.0
    remembered = 0.5 ** ((now_s - pace.noted_s) / FORGET_HALF_LIFE_S)
    return 1.0 + (min(ratio, MAX_SLOWNESS) - 1.0) * remembered
