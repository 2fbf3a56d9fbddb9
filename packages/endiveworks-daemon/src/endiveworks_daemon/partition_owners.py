"""Finds the owner of each partition for the callers of this host."""

import random
from collections.abc import Callable

from endiveworks.errors import Code, Failure
from endiveworks.links.client import Peers
from endiveworks.members.member import Member
from endiveworks.programs.owner import Owner
from endiveworks.wire.gen import ttypes
from returns.result import Failure as Err
from returns.result import Result, Success

from .deployment import Deployment
from .forward import Owners
from .node import Node, local_node, puller, remote_node
from .partitions import Partitions

_RETRY_S = 0.5
_NOTIFY_TIMEOUT_S = 1.0


def partition_owners(
    deployment: Deployment, owner: Owner, partitions: Partitions, peers: Peers, patience_s: float
) -> Owners:
    """Returns where the owners of partitions are, as the table says."""
    identity = deployment.identity
    here = local_node(owner)
    pull = puller(peers, identity.origin)

    def node_for(partition: int) -> Result[Node, Failure]:
        record = partitions.table.find(partition).record
        if record is None:
            return Err(_ownerless(partition))
        if record.owner.host == identity.host:
            return Success(here)
        member = deployment.members().get(record.owner.host)
        if member is None or member.incarnation != record.owner.incarnation:
            return Err(_ownerless(partition))
        return Success(remote_node(peers, pull, identity.origin, member.address))

    def pick() -> Result[int, Failure]:
        held = partitions.held()
        if held and not deployment.leaving:
            return Success(random.choice(held))
        count = partitions.count()
        return Success(random.randrange(count)) if count else Err(_ownerless(0))

    return Owners(
        node_for=node_for,
        pick=pick,
        moved=partitions.owner_failed,
        patience_s=patience_s,
    )


def notifier(peers: Peers, origin: Callable[[], ttypes.Origin]) -> Callable[[Member, int], None]:
    """Returns the function that tells a host of a partition handed to it.

    The host would also learn of it from the table, so a lost message costs time only.
    """

    def notify(member: Member, partition: int) -> None:
        peers.call(
            member.address,
            "ownership.notify",
            _NOTIFY_TIMEOUT_S,
            lambda client: client.take_over(origin(), partition, 0),
        )

    return notify


def pinger(peers: Peers, origin: Callable[[], ttypes.Origin]) -> Callable[[Member], bool]:
    """Returns the function that asks a process for a sign of life."""

    def ping(member: Member) -> bool:
        answered = peers.call(
            member.address,
            "ownership.ping",
            _NOTIFY_TIMEOUT_S,
            lambda client: client.ping(origin()),
        )
        return isinstance(answered, Success)

    return ping


def _ownerless(partition: int) -> Failure:
    detail = f"partition {partition:04x} has no owner yet"
    return Failure(Code.NOT_OWNER, "entry.find", "", detail, True, _RETRY_S)
