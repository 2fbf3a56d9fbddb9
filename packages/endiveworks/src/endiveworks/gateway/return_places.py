"""Times at which refused callers may return, one after the other, and the places kept for them.

Answers the load of refused callers that come back while a service is still short of room. Callers
that return together would be refused together again, so each gets a time of its own, spaced by the
time in which its entry starts a request. Entries tell each other the places, as a caller may come
back to any of them.
"""

from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

# Share of an entry's starts that it promises to returning callers; later turns need the others.
PLACES_SHARE = 0.1
# A caller that comes this much after its time still finds its place.
GRACE_S = 0.5
MAX_PLACES = 256  # Bounds the messages between entries at a few kilobytes.


class Return(NamedTuple):
    """When a refused caller may return.

    Attributes:
        after_s: Seconds until then.
        has_place: Whether a place is kept for it.
    """

    after_s: float
    has_place: bool


class ReturnPlaces:
    """The places of one service that are known to an entry."""

    def __init__(self) -> None:
        self._expiries_s: OrderedDict[int, float] = OrderedDict()
        self._next_s = 0.0

    def assign(
        self, digest: int, useful_s: float, limit_s: float, start_rate: float, now_s: float
    ) -> Return:
        """Returns when a refused caller may return, and keeps a place if one is free in time.

        Args:
            digest: Hash that the request and its repetition share.
            useful_s: Time until which a place helps the caller, in seconds from now.
            limit_s: Longest time until the return, for callers without a place.
            start_rate: Requests that the entry starts in a second.
            now_s: Monotonic time.
        """
        gap_s = 1.0 / (start_rate * PLACES_SHARE)
        place_s = max(now_s + gap_s, self._next_s)
        if place_s > now_s + useful_s:
            return Return(limit_s, has_place=False)
        self._next_s = place_s + gap_s
        self._keep(digest, place_s + GRACE_S, now_s)
        return Return(place_s - now_s, has_place=True)

    def keeps(self, digest: int, now_s: float) -> bool:
        """Returns whether a place is kept for a request."""
        return self._expiries_s.get(digest, 0.0) > now_s

    def take(self, digest: int, now_s: float) -> bool:
        """Returns whether a place is kept for a request, and frees it."""
        return self._expiries_s.pop(digest, 0.0) > now_s

    def share(self, now_s: float) -> dict[int, float]:
        """Returns the seconds for which each place is still kept."""
        self._expire(now_s)
        return {digest: expiry_s - now_s for digest, expiry_s in self._expiries_s.items()}

    def adopt(self, places: Mapping[int, float], now_s: float) -> None:
        """Takes over places that other entries keep."""
        for digest, left_s in places.items():
            if digest not in self._expiries_s:
                self._keep(digest, now_s + left_s, now_s)

    def _keep(self, digest: int, expiry_s: float, now_s: float) -> None:
        self._expiries_s[digest] = expiry_s
        if len(self._expiries_s) > MAX_PLACES:
            self._expire(now_s)
        while len(self._expiries_s) > MAX_PLACES:
            self._expiries_s.popitem(last=False)

    def _expire(self, now_s: float) -> None:
        for digest in [d for d, expiry_s in self._expiries_s.items() if expiry_s <= now_s]:
            del self._expiries_s[digest]
