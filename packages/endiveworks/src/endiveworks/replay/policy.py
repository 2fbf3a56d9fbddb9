"""Scheduling policies that a replay compares: the full one, ablations and baselines."""

from typing import NamedTuple


class Policy(NamedTuple):
    """Which scheduling decisions are enabled.

    Attributes:
        name: Name in the results.
        routing: "cost", "sticky" or "round_robin".
        queue: Whether calls are queued ahead of the engine; otherwise they go to it at once.
        order: Whether the queue accounts for attained service; otherwise it is taken as 0.
        classes: Whether the queue order accounts for classes.
        service: Whether the queue order penalizes levels of attained service.
        shares: Whether the queue order accounts for tenants' shares.
        memory: Whether the memory of running calls is limited, to leave room for cached prefixes.
        refuse: Whether calls that would wait too long are refused.
        expire: Whether queued calls are refused once their deadline has passed.
        preempt: Whether a running call can be preempted by a higher class.
        pauses: Whether prefixes are evicted by the expected return of their programs; otherwise by
            LRU.
        export: Whether evicted prefixes are exported; otherwise they are dropped.
        release: Whether the cached prefixes of ended programs are released.
        own_sends: Whether routing counts the calls it has sent since the last load report.
        owners: Number of program owners per region, each with its own load reports.
        report_s: Interval at which an owner polls an upstream for its load, in seconds.
        replies: Whether the response to a call also carries the upstream's load.
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

_ENGINE_ONLY = {
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

STALE_REPORT_POLICIES = tuple(
    FULL._replace(name=f"{name}_{owners}_owners", owners=owners, report_s=report_s, replies=replies)
    for owners in (1, 40)
    for name, report_s, replies in (
        ("asked_each_second", 1.0, False),
        ("asked_each_75_s", 75.0, False),
        ("asked_each_75_s_and_told", 75.0, True),
    )
)

ROUND_ROBIN = Policy("round_robin_fcfs", routing="round_robin", **_ENGINE_ONLY)
STICKY = Policy("sticky_fcfs", routing="sticky", **_ENGINE_ONLY)
BASELINES = (ROUND_ROBIN, STICKY)

FEATURES = (
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


def without_feature(feature: str) -> Policy:
    """Returns the full policy with one feature disabled."""
    return Policy(**{**FULL._asdict(), "name": f"without_{feature}", feature: False})


def with_routing(routing: str) -> Policy:
    """Returns the full policy with a different routing."""
    return FULL._replace(name=f"routing_{routing}", routing=routing)
