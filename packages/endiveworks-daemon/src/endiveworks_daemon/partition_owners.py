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
from .forward import OwnerLocator
from .node import Node, local_node, make_poll_client, remote_node
from .partitions import Partitions

_RETRY_S = 0.5
_NOTIFY_TIMEOUT_S = 1.0


def partition_owners(
    deployment: Deployment, owner: Owner, partitions: Partitions, peers: Peers, patience_s: float
) -> OwnerLocator:
    """Returns functions that locate the owners of partitions through the table."""
    identity = deployment.identity
    local = local_node(owner)
    poll_client = make_poll_client(peers, identity.origin)

    def node_for(partition: int) -> Result[Node, Failure]:
        record = partitions.table.find(partition).record
        if record is None:
            return Err(_no_owner(partition))
        if record.owner.host == identity.host:
            return Success(local)
        member = deployment.members().get(record.owner.host)
        if member is None or member.incarnation != record.owner.incarnation:
            return Err(_no_owner(partition))
        return Success(remote_node(peers, poll_client, identity.origin, member.address))

    def pick_partition() -> Result[int, Failure]:
        held = partitions.held()
        if held and not deployment.draining:
            return Success(random.choice(held))
        count = partitions.count()
        return Success(random.randrange(count)) if count else Err(_no_owner(0))

    return OwnerLocator(
        node_for=node_for,
        pick_partition=pick_partition,
        on_owner_failed=partitions.record_owner_failure,
        patience_s=patience_s,
    )


def make_notifier(
    peers: Peers, origin: Callable[[], ttypes.Origin]
) -> Callable[[Member, int], None]:
    """Returns a function that notifies a host of a partition handed over to it.

    The host also learns of it from the table, so a lost message only delays the takeover.
    """

    def notify(member: Member, partition: int) -> None:
        peers.call(
            member.address,
            "ownership.notify",
            _NOTIFY_TIMEOUT_S,
            lambda client: client.take_over(origin(), partition, 0),
        )

    return notify


def make_pinger(peers: Peers, origin: Callable[[], ttypes.Origin]) -> Callable[[Member], bool]:
    """Returns a function that pings a process and tells whether it replied."""

    def ping(member: Member) -> bool:
        reply = peers.call(
            member.address,
            "ownership.ping",
            _NOTIFY_TIMEOUT_S,
            lambda client: client.ping(origin()),
        )
        return isinstance(reply, Success)

    return ping


def _no_owner(partition: int) -> Failure:
    detail = f"partition {partition:04x} has no owner yet"
    return Failure(Code.NOT_OWNER, "entry.find", "", detail, True, _RETRY_S)
