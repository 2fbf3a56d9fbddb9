"""Moves programs away from replicas that too many programs prefer, without asking anybody.

Rendezvous hashing spreads programs at random, so that at the peak of a day some replicas queue
turns while others have free slots. Entries of a region know how many turns in flight prefer each
replica, and compute the same moves from these numbers. A replica that limits its requests counts
with the slots that the limit lets them use. The numbers count where turns would run
without any move. So moves don't change them, and late reports cause no oscillation.
"""

import math
from collections.abc import Mapping, Sequence

import xxhash

from .placement import Candidate, Location

# Share of its slots up to which a replica keeps all programs that prefer it. Below it a move costs
# more, by the prompt that another replica has to read, than the wait for a slot that it avoids.
FULL_SHARE = 0.8
# Weight of a replica in another failure domain as the target of a move; traffic there is paid for.
OTHER_DOMAIN_WEIGHT = 0.25

_HASH_RANGE = 2.0**64


def assigned_replica(
    program: str,
    preferred: str,
    here: Location,
    candidates: Sequence[Candidate],
    demands: Mapping[str, int],
) -> str:
    """Returns the replica that a program should use instead of its preferred one, if any.

    A replica keeps as many programs as its share of the region's turns, and moves the others to
    replicas with fewer. A region whose slots are all taken moves programs to others with more
    room. Which programs move depends on a hash, so a program that moves stays moved while the
    numbers change little.

    Args:
        program: Id of the program.
        preferred: Replica that it prefers by rendezvous hashing.
        here: Location of this process.
        candidates: Replicas of the service.
        demands: Turns in flight that prefer each replica, of all entries.
    """
    region = [c for c in candidates if c.region == here.region]
    if preferred not in {c.replica for c in region}:
        return preferred
    mean = max(_turns_per_slot(candidates, demands), 1.0)
    surplus = 1.0 - mean / max(mean, _turns_per_slot(region, demands))
    if surplus and _uniform(f"{program}/leaves") < surplus:
        weights = {
            c.replica: mean * c.usable_slots - demands.get(c.replica, 0)
            for c in candidates
            if c.region != here.region
        }
        moved = _weighted_choice(program, weights)
        if moved:
            return moved
    return _assigned_in_region(program, preferred, here, region, demands)


def _assigned_in_region(
    program: str,
    preferred: str,
    here: Location,
    region: Sequence[Candidate],
    demands: Mapping[str, int],
) -> str:
    mean = max(_turns_per_slot(region, demands), FULL_SHARE)
    room = {c: mean * c.usable_slots - demands.get(c.replica, 0) for c in region}
    surplus = -next(room[c] for c in region if c.replica == preferred)
    if surplus <= 0 or _uniform(f"{program}/moves") >= surplus / demands[preferred]:
        return preferred
    weights = {
        c.replica: turns * (1.0 if c.failure_domain == here.failure_domain else OTHER_DOMAIN_WEIGHT)
        for c, turns in room.items()
    }
    return _weighted_choice(program, weights) or preferred


def _turns_per_slot(candidates: Sequence[Candidate], demands: Mapping[str, int]) -> float:
    turns = sum(demands.get(c.replica, 0) for c in candidates)
    return turns / max(1.0, sum(c.usable_slots for c in candidates))


def _weighted_choice(key: str, weights: Mapping[str, float]) -> str:
    """Returns a replica of positive weight by rendezvous hashing; empty if there is none."""
    return max(
        (replica for replica, weight in weights.items() if weight > 0),
        key=lambda replica: weights[replica] / -math.log(_uniform(f"{key}/{replica}")),
        default="",
    )


def _uniform(key: str) -> float:
    """Returns a hash of a key as a number in (0, 1)."""
    return (xxhash.xxh64_intdigest(key.encode(), seed=1) + 0.5) / _HASH_RANGE
