"""What an entry makes of the age of the others' numbers."""

import math

from .rate_limit import LimitedLoad

# Age of news at the time that it is heard, after a report up a tree of depth 2 and back.
NEWS_S = 0.7
# Age of the last news up to which nothing is wrong: the period of the reports.
USUAL_AGE_S = 0.2
# Age of the last news from which an entry may be cut off, as a report is missing.
LATE_S = 0.3


def is_late(load: LimitedLoad) -> bool:
    """Returns whether a report of the others is missing."""
    return load.age_s >= LATE_S


class MeanShare:
    """The mean share of the demand that was let through in about the time that news takes."""

    def __init__(self) -> None:
        self._mean = 1.0
        self._updated_s = -math.inf

    def record(self, share: float, now_s: float) -> None:
        """Records the share in force."""
        kept = math.exp(-max(0.0, now_s - self._updated_s) / NEWS_S)
        self._mean, self._updated_s = share + (self._mean - share) * kept, now_s

    def rise(self, load: LimitedLoad) -> float:
        """Returns by how many requests the others' use has risen since their numbers were taken."""
        sent_per_s = self._mean * load.others.offered_per_s
        return max(0.0, sent_per_s - load.others.sent_per_s) * (NEWS_S + load.age_s)
