"""Keeps the limit on requests that a replica names for all entries together, without a coordinator.

Each entry measures the requests for which a limited replica is the first choice and learns the sum
of what the others measure. All entries let the same share of these requests through, the one with
which the sum keeps to the limit. So the callers of each entry get capacity in proportion to their
requests. The decisions answer a load that exceeds what the replicas of a service accept.

Entries that are not known to share their numbers may send as well. Each entry therefore counts on
the part of a limit that belongs to the entries whose numbers it has; one that has none counts on
its own part.
"""

import math
from typing import NamedTuple

# Share of a limit that is used; the rest covers requests that others have not reported yet.
USED_SHARE = 0.95
# Time constant of the reported rate of offered requests.
OFFERED_WINDOW_S = 1.0
# Time constant of the reported rate of sent requests, which corrects what a sudden rise of the
# offered ones has let through.
SENT_WINDOW_S = 2.0
# Time constant of the rate of an entry's own requests where they are too few for the window above.
OWN_WINDOW_S = 5.0
# Exponent with which the excess of sent requests reduces the share that is let through.
EXCESS_EXPONENT = 4.0
# Largest number of requests that were sent although the limit was reached and are made up for.
MAX_DEBT_REQUESTS = 8.0
# A sighting of a limit has to be newer by more than the time that it takes between two processes;
# otherwise two processes that tell each other would renew it without end.
MIN_NEWER_S = 0.1
# Time for which it is passed on that a replica names no limit any more.
UNLIMITED_SHARED_S = 5.0


class LimitSighting(NamedTuple):
    """The limit that a response of a replica named.

    Attributes:
        limit_per_s: Requests per second; 0 for no limit.
        age_s: Time since the response, in seconds.
    """

    limit_per_s: float
    age_s: float


class Rates(NamedTuple):
    """Requests per second for a limited replica.

    Attributes:
        offered_per_s: Requests for which it is the first choice.
        sent_per_s: Requests sent to it.
    """

    offered_per_s: float
    sent_per_s: float

    def __add__(self, other: object) -> "Rates":
        """Returns the sums."""
        if not isinstance(other, Rates):
            return NotImplemented
        return Rates(self.offered_per_s + other.offered_per_s, self.sent_per_s + other.sent_per_s)


NO_RATES = Rates(0.0, 0.0)


class LimitedLoad(NamedTuple):
    """What an entry knows of the requests of all entries for a limited replica.

    Attributes:
        others: Requests of the other entries that report.
        coverage: Share of all entries whose requests are known, including this one.
        age_s: Time since the others were last heard, in seconds.
    """

    others: Rates
    coverage: float
    age_s: float = 0.0


class RateMeter:
    """Rate of events, weighted by their age with a time constant in seconds."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._per_s = 0.0
        self._updated_s = 0.0

    def per_s(self, now_s: float) -> float:
        """Returns the rate at a time, in events per second."""
        return self._per_s * math.exp(-max(0.0, now_s - self._updated_s) / self._window_s)

    def add(self, now_s: float, amount: float = 1.0) -> None:
        """Counts an event, or several."""
        self._per_s = self.per_s(now_s) + amount / self._window_s
        self._updated_s = now_s


class RateLimit:
    """The limit of one replica, and the requests of this entry that count against it.

    Args:
        phase: Random number in [0, 1), so that entries with few requests don't send at one moment.

    Attributes:
        limit_per_s: Requests per second of all entries; 0 for no limit.
    """

    def __init__(self, phase: float) -> None:
        self.limit_per_s = 0.0
        self._seen_s = -math.inf
        self._credit = phase
        self._offered = RateMeter(OFFERED_WINDOW_S)
        self._offered_long = RateMeter(OWN_WINDOW_S)
        self._sent = RateMeter(SENT_WINDOW_S)

    def observe(self, limit_per_s: float, now_s: float) -> bool:
        """Records the limit named in a response; returns whether it differs from the one before."""
        changed = self.limit_per_s != limit_per_s
        self.limit_per_s, self._seen_s = limit_per_s, now_s
        return changed

    def adopt(self, sighting: LimitSighting, now_s: float) -> bool:
        """Takes over what another entry saw if it is newer; returns whether the limit changed."""
        seen_s = now_s - sighting.age_s
        if seen_s <= self._seen_s + MIN_NEWER_S:
            return False
        return self.observe(sighting.limit_per_s, seen_s)

    def sighting(self, now_s: float) -> LimitSighting | None:
        """Returns what other entries should know; None if there is nothing to tell."""
        age_s = now_s - self._seen_s
        if not self.limit_per_s and age_s > UNLIMITED_SHARED_S:
            return None
        return LimitSighting(self.limit_per_s, age_s)

    def rates(self, now_s: float) -> Rates:
        """Returns the rates of this entry's requests."""
        return Rates(self._offered.per_s(now_s), self._sent.per_s(now_s))

    def admit(self, load: LimitedLoad, now_s: float) -> bool:
        """Decides on a request for which the replica is the first choice, and counts it."""
        share = self._share(load, now_s)
        self._count_offered(now_s)
        self._credit += share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        self._sent.add(now_s)
        return True

    def charge(self, now_s: float) -> None:
        """Counts a request that is sent without a decision, such as a resumed stream."""
        self._count_offered(now_s)
        self._sent.add(now_s)
        self._credit = max(-MAX_DEBT_REQUESTS, self._credit - 1.0)

    def available_per_s(self, load: LimitedLoad, now_s: float) -> float:
        """Returns the requests per second that this entry can expect to send."""
        allowed_per_s = self._allowed_per_s(load)
        others_per_s = load.others.offered_per_s
        # Counts one more request, so that an entry without any has a share as well.
        own_per_s = self._own_per_s(now_s) + 1.0 / OWN_WINDOW_S
        proportional_per_s = allowed_per_s * own_per_s / (own_per_s + others_per_s)
        return max(proportional_per_s, allowed_per_s - others_per_s)

    def _share(self, load: LimitedLoad, now_s: float) -> float:
        if not self.limit_per_s:
            return 1.0
        allowed_per_s = self._allowed_per_s(load)
        offered_per_s = self._own_per_s(now_s) + load.others.offered_per_s
        sent_per_s = self._sent.per_s(now_s) + load.others.sent_per_s
        share = allowed_per_s / max(allowed_per_s, offered_per_s)
        return share * (allowed_per_s / max(allowed_per_s, sent_per_s)) ** EXCESS_EXPONENT

    def _allowed_per_s(self, load: LimitedLoad) -> float:
        return USED_SHARE * self.limit_per_s * load.coverage

    def _own_per_s(self, now_s: float) -> float:
        return max(self._offered.per_s(now_s), self._offered_long.per_s(now_s))

    def _count_offered(self, now_s: float) -> None:
        self._offered.add(now_s)
        self._offered_long.add(now_s)


def limited_slots(limit_per_s: float, mean_response_s: float) -> float:
    """Returns how many slots of a replica all entries together use within its limit.

    Args:
        limit_per_s: Its limit in requests per second; 0 for none.
        mean_response_s: Mean time of a request there, in seconds.
    """
    return limit_per_s * mean_response_s if limit_per_s else math.inf
