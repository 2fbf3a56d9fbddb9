"""Chooses the replica for a request by prefill work, load, distance and recent failures.

The prompts of many programs share long prefixes and grow with each turn. A replica that has the
prompt cached saves the prefill, unless requests queue there. Turns of a program arrive at several
processes of a failure domain, which agree on the replica that probably has the prompt cached by
rendezvous hashing of the program's id.
"""

import math
from collections.abc import Collection, Sequence
from typing import NamedTuple

import xxhash

PREFILL_TOKENS_PER_MS = 200.0  # Engines are somewhat faster; a low rate favours cached prefixes.
REGION_HOP_MS = 45.0  # Round trip between regions and the transfer of a prompt.
DOMAIN_HOP_MS = 4.0  # Round trip between failure domains, plus the price of the traffic.
QUEUE_COST_MS = 400.0  # A request that waits for a slot waits about as long as a turn takes.
BUSY_COST_MS = 60.0  # Extra duration of a turn on a replica with nearly all slots in use.
FAULT_COST_MS = 1_000.0  # Makes a replica that failed recently the last choice.
# Saving that lets a suspected request run at the replica that its key selects.
SPREAD_SAVING_MS = 500.0
# Recent failures from which a replica is not selected for a suspected request.
MIN_FAULTS = 0.3
# Share of the mean response time that a replica saves with an object it has handled recently.
OBJECT_SAVING = 0.4
# A stream without events for this long counts as stalled. It is longer than the time to the first
# event of a stream during a burst.
STALL_AFTER_S = 0.5
# A replica that responds to nothing for this multiple of the mean response time counts as stalled.
SILENCE_FACTOR = 5.0
MIN_SILENCE_S = 0.1  # Bound for services that respond faster than the network's delays vary.


class Candidate(NamedTuple):
    """A replica that could be chosen for a request.

    Attributes:
        replica: Id of the replica.
        failure_domain: Its failure domain.
        region: Its region.
        slots: Maximum number of requests that it runs concurrently.
        in_flight: Requests from this process in flight there.
        uncached_tokens: Prompt tokens that are not cached there and need prefill.
        faults: Recent failures, decayed over time.
        slowdown: Its latency relative to the median replica; 1 when not slow.
        mean_response_ms: Mean time of a response of the service.
        stalled_s: Longest time that a stream in flight there has waited for its next event.
        saved_ms: Expected time saved because it has handled the request's object recently.
        limited_slots: Slots that a limit on its requests lets all entries together use; infinite
            without a limit.
    """

    replica: str
    failure_domain: str
    region: str
    slots: int
    in_flight: int
    uncached_tokens: int = 0
    faults: float = 0.0
    slowdown: float = 1.0
    mean_response_ms: float = 0.0
    stalled_s: float = 0.0
    saved_ms: float = 0.0
    limited_slots: float = math.inf

    @property
    def usable_slots(self) -> float:
        """Returns the slots that all entries together may use."""
        return min(self.slots, self.limited_slots)


class Location(NamedTuple):
    """Failure domain and region of a process."""

    failure_domain: str
    region: str


class ReplicaChoice(NamedTuple):
    """The chosen replica.

    Attributes:
        replica: Id of the replica; empty when there is none.
        cost_ms: Its estimated cost in milliseconds.
        preferred: Replica that the program of the request prefers; empty without a program.
    """

    replica: str
    cost_ms: float
    preferred: str = ""


def choose_replica(
    here: Location,
    candidates: Sequence[Candidate],
    excluded: Collection[str],
    max_load_factor: float,
) -> ReplicaChoice:
    """Returns the candidate with the lowest cost.

    Args:
        here: Location of this process.
        candidates: Replicas of the service.
        excluded: Replicas that refused this request or failed to serve it.
        max_load_factor: Maximum number of requests from this process in flight at a replica, as a
            multiple of its slots.
    """
    costs = [
        (cost_ms(here, candidate), candidate.replica)
        for candidate in candidates
        if candidate.replica not in excluded
        and candidate.in_flight < candidate.slots * max_load_factor
    ]
    if not costs:
        return ReplicaChoice("", 0.0)
    cost, replica = min(costs)
    return ReplicaChoice(replica, cost)


def cost_ms(here: Location, candidate: Candidate) -> float:
    """Returns the estimated delay of a request at a replica, in milliseconds."""
    hop = (0.0, DOMAIN_HOP_MS, REGION_HOP_MS)[_distance(here, candidate)]
    used = candidate.in_flight / max(1, candidate.slots)
    wait = BUSY_COST_MS * used + QUEUE_COST_MS * max(0.0, used - 1.0)
    work = (candidate.uncached_tokens / PREFILL_TOKENS_PER_MS + wait) * candidate.slowdown
    slow = candidate.mean_response_ms * (candidate.slowdown - 1.0)
    stall = candidate.stalled_s * 1000 if candidate.stalled_s > STALL_AFTER_S else 0.0
    return hop + work + slow + stall + FAULT_COST_MS * candidate.faults - candidate.saved_ms


def silence_limit_s(mean_response_s: float) -> float:
    """Returns how long a replica of a service that doesn't stream may respond to nothing."""
    return max(MIN_SILENCE_S, SILENCE_FACTOR * mean_response_s)


def prefer_for_object(key: str, here: Location, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Returns the candidates, with the time saved set for the replica that probably has an object.

    Entries of a region agree on that replica by rendezvous hashing. The saving is smaller than the
    cost of a few requests in flight, so that a popular object doesn't overload its replica.

    Args:
        key: Key of the object.
        here: Location of this process.
        candidates: Replicas of the service.
    """
    near = [c.replica for c in candidates if c.region == here.region]
    replica = highest_ranked(key, near or [c.replica for c in candidates])
    return [
        c._replace(saved_ms=OBJECT_SAVING * c.mean_response_ms) if c.replica == replica else c
        for c in candidates
    ]


def prefer_for_spread(
    key: str, candidates: Sequence[Candidate], excluded: Collection[str]
) -> list[Candidate]:
    """Returns the candidates, with a saving for the one that a key selects among those in order.

    Args:
        key: Key of the request.
        candidates: Replicas of the service.
        excluded: Replicas that refused the request or failed to serve it.
    """
    sound = [c.replica for c in candidates if c.replica not in excluded and c.faults < MIN_FAULTS]
    replica = highest_ranked(key, sound)
    return [
        c._replace(saved_ms=SPREAD_SAVING_MS) if c.replica == replica else c for c in candidates
    ]


def preferred_replica(program: str, here: Location, candidates: Sequence[Candidate]) -> str:
    """Returns the replica that all processes of a failure domain prefer for a program.

    Uses rendezvous hashing over the nearest replicas: programs seldom move between failure domains,
    and traffic between failure domains is paid for.

    Args:
        program: Id of the program.
        here: Location of this process.
        candidates: Replicas of the service.
    """
    nearest = min((_distance(here, c) for c in candidates), default=0)
    return highest_ranked(program, [c.replica for c in candidates if _distance(here, c) == nearest])


def _distance(here: Location, candidate: Candidate) -> int:
    """Returns 0 for the same failure domain, 1 for the same region, else 2."""
    if candidate.region != here.region:
        return 2
    return 0 if candidate.failure_domain == here.failure_domain else 1


def highest_ranked(key: str, replicas: Sequence[str]) -> str:
    """Returns the first choice of a key by rendezvous hashing; empty without replicas."""
    return max(replicas, key=lambda replica: _hash_rank(key, replica), default="")


def _hash_rank(key: str, replica: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}/{replica}".encode())
