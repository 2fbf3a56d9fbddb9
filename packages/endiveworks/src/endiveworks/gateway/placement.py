"""Choice of the replica for a request: computing, waiting, distance and recent faults.

Answers the load of many programs whose prompts share long parts and grow from turn to turn: a
replica that holds the prompt saves its computation, unless others wait there. Turns of a program
arrive at several processes of a failure domain, which agree on the replica that probably holds its
prompt by a hash of its id.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

import xxhash

PREFILL_TOKENS_PER_MS = 200.0  # Engines read somewhat more; a low figure favours held prefixes.
REGION_HOP_MS = 45.0  # Two ways between regions, and the transfer of a prompt.
DOMAIN_HOP_MS = 4.0  # Two ways between failure domains, and the price of the bytes.
FULL_COST_MS = 400.0  # About the length of a turn, which one that waits for a slot waits for.
BUSY_COST_MS = 60.0  # How much longer a turn takes on a replica whose slots are nearly all used.
FAULT_COST_MS = 1_000.0  # Makes a replica that failed lately the last choice.
# Silence on a stream that says something of its replica: longer than a burst delays first events.
STALL_S = 0.5


class Candidate(NamedTuple):
    """What is known of a replica that can take a request.

    Attributes:
        replica: Id of the replica.
        failure_domain: Its failure domain.
        region: Its region.
        slots: Requests that it runs at once.
        sent: Requests that this process has under way there.
        missing_tokens: Prompt tokens that it would have to compute.
        faults: Recent failures there, decayed over time.
        slowness: How much longer than usual its answers take; 1 is usual.
        usual_ms: Usual time of an answer of the service.
        stalled_s: For how long the stream there that has waited longest has brought no event.
    """

    replica: str
    failure_domain: str
    region: str
    slots: int
    sent: int
    missing_tokens: int = 0
    faults: float = 0.0
    slowness: float = 1.0
    usual_ms: float = 0.0
    stalled_s: float = 0.0


class Place(NamedTuple):
    """Where a request comes from."""

    failure_domain: str
    region: str


class Choice(NamedTuple):
    """The chosen replica with its cost in milliseconds; replica is empty when there is none."""

    replica: str
    cost_ms: float


def choose(
    here: Place, candidates: Sequence[Candidate], excluded: Collection[str], limit_x: float
) -> Choice:
    """Returns the candidate of least cost.

    Args:
        here: Place of this process.
        candidates: Replicas of the service.
        excluded: Replicas that refused this request or failed it.
        limit_x: Requests of this process that a replica may have under way, as a multiple of its
            slots.
    """
    costs = [
        (cost_ms(here, candidate), candidate.replica)
        for candidate in candidates
        if candidate.replica not in excluded and candidate.sent < candidate.slots * limit_x
    ]
    if not costs:
        return Choice("", 0.0)
    cost, replica = min(costs)
    return Choice(replica, cost)


def cost_ms(here: Place, candidate: Candidate) -> float:
    """Returns the time that a request would lose at a replica, in milliseconds."""
    hop = 0.0
    if candidate.region != here.region:
        hop = REGION_HOP_MS
    elif candidate.failure_domain != here.failure_domain:
        hop = DOMAIN_HOP_MS
    used = candidate.sent / max(1, candidate.slots)
    wait = BUSY_COST_MS * used + FULL_COST_MS * max(0.0, used - 1.0)
    work = (candidate.missing_tokens / PREFILL_TOKENS_PER_MS + wait) * candidate.slowness
    slow = candidate.usual_ms * (candidate.slowness - 1.0)
    stall = candidate.stalled_s * 1000 if candidate.stalled_s > STALL_S else 0.0
    return hop + work + slow + stall + FAULT_COST_MS * candidate.faults


def home(program: str, here: Place, candidates: Sequence[Candidate]) -> str:
    """Returns the replica that all processes of a failure domain prefer for a program.

    Programs seldom move between failure domains, and bytes between these are paid for.

    Args:
        program: Id of the program.
        here: Place of this process.
        candidates: Replicas of the service; the nearest ones are chosen from.
    """
    near = [c.replica for c in candidates if c.failure_domain == here.failure_domain]
    near = near or [c.replica for c in candidates if c.region == here.region]
    names = near or [c.replica for c in candidates]
    return max(
        names, key=lambda name: xxhash.xxh64_intdigest(f"{program}/{name}".encode()), default=""
    )
