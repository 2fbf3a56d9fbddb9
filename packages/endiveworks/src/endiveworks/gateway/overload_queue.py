"""Queue of an entry for one service while the service has too little room.

Keeps the state between the decisions of load_shedding: which requests wait, which outcomes their
classes had, and which places are kept for refused callers.
"""

from collections.abc import Mapping
from typing import NamedTuple

from .class_shares import ClassShares
from .load_shedding import (
    Refusal,
    Room,
    Tier,
    is_short,
    latest_return_s,
    plan,
    retry_limit_s,
    tier_of,
)
from .request_queue import QueuedRequest
from .return_places import Return, ReturnPlaces

# Starts after which an earlier one counts half for the shares of the tiers.
TIER_HALF_LIFE_STARTS = 50.0


class Refused(NamedTuple):
    """A refused request.

    Attributes:
        request: The request.
        refusal: Why it is refused.
        back: When its caller may return.
    """

    request: QueuedRequest
    refusal: Refusal
    back: Return


class Decision(NamedTuple):
    """Decision on all requests that wait.

    Attributes:
        starts: Requests that start now, in order.
        waiting: The others.
        waits_s: Their expected waits, in seconds, by key.
        refused: Requests that are refused now.
    """

    starts: tuple[QueuedRequest, ...]
    waiting: tuple[QueuedRequest, ...]
    waits_s: Mapping[str, float]
    refused: tuple[Refused, ...]


class OverloadQueue:
    """Requests that wait at an entry for a service, and what became of earlier ones."""

    def __init__(self) -> None:
        self._waiting: dict[str, QueuedRequest] = {}
        self._shares = ClassShares()
        self._recent: dict[Tier, float] = {}
        self.places = ReturnPlaces()

    def __len__(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._waiting)

    def waiting(self) -> tuple[QueuedRequest, ...]:
        """Returns the requests that wait."""
        return tuple(self._waiting.values())

    def add(self, req: QueuedRequest, now_s: float) -> None:
        """Adds a request that has arrived."""
        returns = self.places.take(req.digest, now_s)
        keeps_floor = self._shares.take_floor(req.class_name)
        self._waiting[req.key] = req._replace(returns=returns, keeps_floor=keeps_floor)

    def remove(self, key: str) -> None:
        """Removes a request whose caller has left; does nothing when it doesn't wait."""
        self._waiting.pop(key, None)

    def decide(self, room: Room, share: int, now_s: float, draw: float) -> Decision:
        """Decides on all requests that wait, and removes those that start or are refused.

        Args:
            room: Room of the service, in which the waiting requests count as queued.
            share: Requests that the entry may have at the replicas.
            now_s: Monotonic time.
            draw: Random number in [0, 1) that spreads callers without a place.
        """
        was_short = is_short(room)
        behind = self._shares.behind()
        found = plan(self.waiting(), room, share, self._recent, behind, now_s)
        starts = tuple(self._waiting.pop(key) for key in found.starts)
        refused = tuple(
            self._refused(self._waiting.pop(refusal.key), refusal, room, share, now_s, draw)
            for refusal in found.refused
        )
        if was_short:
            for req in starts:
                self._shares.record(req.priority, req.class_name, served=True)
                self._record_tier(tier_of(req, room.response_s, behind, now_s))
            for each in refused:
                self._shares.record(each.request.priority, each.request.class_name, served=False)
        return Decision(starts, self.waiting(), found.waits_s, refused)

    def refuse_on_arrival(
        self, req: QueuedRequest, room: Room, share: int, now_s: float, draw: float
    ) -> Refused | None:
        """Returns the refusal of a request that can't be served; None if it may be added.

        Args:
            req: The request.
            room: Room of the service, in which the request counts as queued.
            share: Requests that the entry may have at the replicas.
            now_s: Monotonic time.
            draw: Random number in [0, 1) that spreads callers without a place.
        """
        if self.places.keeps(req.digest, now_s) or self._shares.owes_floor(req.class_name):
            return None
        waiting = (*self.waiting(), req)
        found = plan(waiting, room, share, self._recent, self._shares.behind(), now_s)
        refusal = next((each for each in found.refused if each.key == req.key), None)
        if refusal is None:
            return None
        self._shares.record(req.priority, req.class_name, served=False)
        return self._refused(req, refusal, room, share, now_s, draw)

    def _refused(
        self,
        req: QueuedRequest,
        refusal: Refusal,
        room: Room,
        share: int,
        now_s: float,
        draw: float,
    ) -> Refused:
        useful_s = latest_return_s(req, room.response_s, now_s)
        limit_s = retry_limit_s(req, now_s) * (0.8 + 0.2 * draw)
        rate = share / room.response_s
        back = self.places.assign(req.digest, useful_s, limit_s, rate, now_s)
        return Refused(req, refusal, back)

    def _record_tier(self, tier: Tier) -> None:
        weight = 1.0 - 0.5 ** (1.0 / TIER_HALF_LIFE_STARTS)
        self._recent = {known: part * (1.0 - weight) for known, part in self._recent.items()}
        self._recent[tier] = self._recent.get(tier, 0.0) + weight
