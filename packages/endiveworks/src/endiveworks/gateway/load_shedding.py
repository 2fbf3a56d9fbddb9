"""Decides which requests wait and which are refused while a service has too little room.

Answers the load of all entries together exceeding the slots of a service's replicas. Each entry
then uses its share of the slots, in proportion to its demand, and keeps the other requests in its
own queue, where they are ordered by what a delay costs their callers. Below that load every request
starts at once.

A request that would be served after its caller's time is refused on arrival. First turns of
programs are refused before later ones, because a program that has come far would lose more.
"""

import math
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from .request_queue import MAX_WAIT_SHARE, QueuedRequest

# Share of its target latency within which the caller of a first turn is told that it isn't served.
NOTICE_SHARE = 0.25
# Share of the time left to a caller that it is asked to wait before it returns.
MAX_RETURN_SHARE = 1 / 3
# Share of the time that a program can spare which its first turn may wait. Programs have up to
# about ten turns, each of which may wait, and half of the time is left for turns that run longer.
FIRST_WAIT_SHARE = 0.05
# Share of the slots in use below which nothing waits: the news that says otherwise must be old.
MIN_TAKEN_SHARE = 0.5
MIN_RETURN_S = 0.05  # A new connection and its request take about as long.
# Smallest share of the starts that a tier counts on; its floor leaves it some.
MIN_LEFT = 0.02
MIN_WORK = 0.01  # Of a request, in mean requests.
MAX_WAITING = 2_000  # Bounds the time of a decision.


class Room(NamedTuple):
    """What a service can take, and what all entries ask of it.

    Attributes:
        slots: Requests that its replicas can run at once, by slots and limits.
        in_flight: Requests of this entry at replicas.
        queued: Requests that wait at this entry.
        others_in_flight: Requests of other entries at replicas, as far as known.
        others_queued: Requests that wait at other entries, as far as known.
        response_s: Mean time of a response.
        age_s: Age of what is known of other entries; infinite when nothing is known.
    """

    slots: float
    in_flight: int
    queued: int
    others_in_flight: int
    others_queued: int
    response_s: float
    age_s: float = math.inf

    @property
    def demand(self) -> int:
        """Returns the requests of all entries, running or waiting."""
        return self.in_flight + self.queued + self.others_in_flight + self.others_queued


class Tier(NamedTuple):
    """Requests whose delay costs about the same; the lowest is served first.

    Attributes:
        ends_late: Whether their programs can't end in time, even if they start now.
        rank: Their rank.
        begins: Whether they are first turns that nobody has sent back.
    """

    ends_late: bool
    rank: tuple[int, int]
    begins: bool


class Refusal(NamedTuple):
    """A request that is refused.

    Attributes:
        key: Key of the request.
        wait_s: Wait that it would have had.
        reason: Reason for the logs.
    """

    key: str
    wait_s: float
    reason: str


class Plan(NamedTuple):
    """What happens to the requests that wait at an entry.

    Attributes:
        starts: Keys of the requests that start now, in order.
        waits_s: Expected waits of the requests that stay, in seconds, by key and in order.
        refused: The requests that are refused now.
    """

    starts: tuple[str, ...]
    waits_s: Mapping[str, float]
    refused: tuple[Refusal, ...]


def is_short(room: Room) -> bool:
    """Returns whether a service has too little room for the requests of all entries.

    It isn't short while most of its slots are free, whatever waits: what waits can start.
    """
    taken = room.in_flight + room.others_in_flight
    return room.demand > room.slots and taken >= MIN_TAKEN_SHARE * room.slots


def entry_share(room: Room, entry: int, entries: int) -> int:
    """Returns how many requests an entry may have at the replicas of a service.

    It is in proportion to the entry's requests. All entries together use the slots, and no more,
    without asking each other: their fractions of a slot are rounded up at some entries only.

    Args:
        room: The room of the service.
        entry: Number of this entry, from 0.
        entries: Number of the entries.
    """
    part = (room.in_flight + room.queued) / max(1, room.demand)
    return max(1, math.floor(room.slots * part + (entry + 0.5) / entries))


def plan(
    waiting: Sequence[QueuedRequest],
    room: Room,
    share: int,
    recent: Mapping[Tier, float],
    behind: Collection[tuple[int, int]],
    now_s: float,
) -> Plan:
    """Decides on all requests that wait for a service at an entry.

    Args:
        waiting: The requests, counted in the room as queued.
        room: The room of the service.
        share: Requests that the entry may have at the replicas.
        recent: Shares of the tiers in the latest starts of this entry. Requests of the tiers that
            come first will go on to arrive, so the others can count on the rest of the starts only.
        behind: Ranks that were served less often than a less urgent one, see ClassShares.
        now_s: Monotonic time.
    """
    if not is_short(room):
        return Plan(tuple(req.key for req in sorted(waiting, key=lambda r: r.arrived_s)), {}, ())
    free = max(0, share - room.in_flight)
    rate = share / room.response_s
    ordered = sorted(waiting, key=lambda req: _order(req, room.response_s, behind, now_s))
    starts = [req.key for req in ordered[:free]]
    waits_s: dict[str, float] = {}
    refused: list[Refusal] = []
    ahead = 0.0
    for req in ordered[len(starts) :]:
        tier = tier_of(req, room.response_s, behind, now_s)
        left = 1.0 - sum(part for other, part in recent.items() if other < tier)
        wait_s = (ahead + req.work) / (rate * max(left, MIN_LEFT))
        reason = _refusal_reason(req, wait_s, room.response_s, now_s)
        if reason or len(waits_s) >= MAX_WAITING:
            refused.append(Refusal(req.key, wait_s, reason or "the queue is full"))
        else:
            ahead += req.work
            waits_s[req.key] = wait_s
    return Plan(tuple(starts), waits_s, tuple(refused))


def tier_of(
    req: QueuedRequest, response_s: float, behind: Collection[tuple[int, int]], now_s: float
) -> Tier:
    """Returns the tier of a request.

    Args:
        req: The request.
        response_s: Mean time of a response of its service.
        behind: Ranks that were served less often than a less urgent one.
        now_s: Monotonic time.
    """
    in_time = req.returns or req.priority in behind or can_end_in_time(req, response_s, now_s)
    return Tier(not in_time, req.priority, req.is_first and not req.returns)


def _order(
    req: QueuedRequest, response_s: float, behind: Collection[tuple[int, int]], now_s: float
) -> tuple[bool, Tier, float, float, float]:
    """Returns the sort key of a waiting request; what costs its caller most to delay is first.

    Requests that keep the floor of their class come first. Within a tier, the order is that of
    what the programs have cost, by the work that this turn needs.
    """
    cost = req.spent / max(req.work, MIN_WORK)
    tier = tier_of(req, response_s, behind, now_s)
    return not req.keeps_floor, tier, -cost, req.due_s, req.arrived_s


def can_end_in_time(req: QueuedRequest, response_s: float, now_s: float) -> bool:
    """Returns whether the request's program can end in time if the request starts now."""
    return now_s + response_s * req.work <= req.due_s


def latest_return_s(req: QueuedRequest, response_s: float, now_s: float) -> float:
    """Returns the time, in seconds from now, until which it helps a refused caller to return."""
    return min(retry_limit_s(req, now_s), req.due_s - now_s - response_s * req.work)


def retry_limit_s(req: QueuedRequest, now_s: float) -> float:
    """Returns the longest time that a refused caller is asked to wait before it returns."""
    return max(MIN_RETURN_S, (req.deadline_s - now_s) * MAX_RETURN_SHARE)


def _refusal_reason(req: QueuedRequest, wait_s: float, response_s: float, now_s: float) -> str:
    """Returns why a request with some wait is refused; empty if it may wait."""
    left_s = req.deadline_s - now_s
    if req.keeps_floor or req.returns:
        return "" if left_s > response_s else "its caller leaves too soon"
    if wait_s > left_s * MAX_WAIT_SHARE:
        return "the expected wait leaves too little time to respond"
    if not req.is_first:
        return ""
    if not can_end_in_time(req, response_s, now_s):
        return "its program can't end in time"
    if now_s - req.arrived_s > NOTICE_SHARE * req.aim_s:
        return ""
    if wait_s > FIRST_WAIT_SHARE * (req.due_s - now_s - response_s * req.work):
        return "the expected wait would take the time of its program's later turns"
    return ""
