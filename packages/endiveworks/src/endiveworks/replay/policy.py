"""Parts of the policy that a replay can switch off, and the baselines."""

from typing import NamedTuple


class Policy(NamedTuple):
    """Which decisions are in force.

    Attributes:
        name: Name in the results.
        routing: "cost", "sticky" or "round_robin".
        queue: Whether calls wait before the engine at all; else the engine takes all that come.
        order: Whether the queue follows classes, tenants and attained service; else arrival.
        classes: Whether the order heeds classes.
        service: Whether the order heeds attained service.
        shares: Whether the order heeds tenants' shares.
        memory: Whether running calls leave room for cached prefixes.
        refuse: Whether calls that would wait too long are refused.
        expire: Whether queued calls are answered once their deadline is over.
        preempt: Whether a running call is cancelled for a higher class.
        pauses: Whether prefixes leave by the expected return of their programs; else by LRU.
        export: Whether those that leave are exported; else they are dropped.
        release: Whether the memory of ended programs is released.
        own_sends: Whether routing counts its own unreported sends.
        owners: Owners of programs in each region, each with its own view of the upstreams.
        report_s: Period in which an owner asks an upstream for its load.
        replies: Whether the answer to a call carries the load too.
    """

    name: str
    routing: str = "cost"
    queue: bool = True
    order: bool = True
    classes: bool = True
    service: bool = True
    shares: bool = True
    memory: bool = True
    refuse: bool = True
    expire: bool = True
    preempt: bool = True
    pauses: bool = True
    export: bool = True
    release: bool = True
    own_sends: bool = True
    owners: int = 1
    report_s: float = 1.0
    replies: bool = True


FULL = Policy("endiveworks")

_ENGINE_ALONE = {
    "queue": False,
    "order": False,
    "memory": False,
    "refuse": False,
    "expire": False,
    "preempt": False,
    "pauses": False,
    "export": False,
    "release": False,
    "own_sends": False,
}

LAGGING = tuple(
    FULL._replace(name=f"{name}_{owners}_owners", owners=owners, report_s=report_s, replies=replies)
    for owners in (1, 40)
    for name, report_s, replies in (
        ("asked_each_second", 1.0, False),
        ("asked_each_75_s", 75.0, False),
        ("asked_each_75_s_and_told", 75.0, True),
    )
)

ROUND_ROBIN = Policy("round_robin_fcfs", routing="round_robin", **_ENGINE_ALONE)
STICKY = Policy("sticky_fcfs", routing="sticky", **_ENGINE_ALONE)
BASELINES = (ROUND_ROBIN, STICKY)

PARTS = (
    "classes",
    "service",
    "shares",
    "memory",
    "refuse",
    "expire",
    "preempt",
    "pauses",
    "export",
    "release",
    "own_sends",
)


def without(part: str) -> Policy:
    """Returns the full policy with one part switched off."""
    return Policy(**{**FULL._asdict(), "name": f"without_{part}", part: False})


def with_routing(routing: str) -> Policy:
    """Returns the full policy with another routing."""
    return FULL._replace(name=f"routing_{routing}", routing=routing)
