"""The tree in which the hosts of a region pull the configuration; its first host watches."""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from ..members.member import Member

FAN_OUT = 8
# The first host of a region watches; the other candidates take over when it stops delivering.
WATCHER_CANDIDATES = 3


class TreePosition(NamedTuple):
    """Position of a host in its region's tree.

    Attributes:
        rank: Position in the order of the region; 0 for the host that watches.
        sources: Hosts to pull from, the preferred one first; empty for the host that watches.
        children: Hosts that pull from this one first.
        others: Every other host of the region.
    """

    rank: int
    sources: tuple[Member, ...]
    children: tuple[Member, ...]
    others: tuple[Member, ...]


def tree_position(host: str, region: str, members: Mapping[str, Member]) -> TreePosition | None:
    """Returns the position of a host, or None if it is not a member.

    Every host computes the order from its own member list. While the lists differ, a host may have
    no parent or two, which costs time or bandwidth but does not affect the result.
    """
    order = [member for member in members.values() if member.region == region]
    order.sort(key=lambda member: (xxhash.xxh3_64_intdigest(member.host.encode()), member.host))
    index = next((at for at, member in enumerate(order) if member.host == host), None)
    if index is None:
        return None
    first_child = index * FAN_OUT + 1
    children = tuple(order[first_child : first_child + FAN_OUT])
    others = tuple(order[:index] + order[index + 1 :])
    if index < WATCHER_CANDIDATES:
        return TreePosition(index, tuple(order[:index]), children, others)
    return TreePosition(index, (order[(index - 1) // FAN_OUT],), children, others)
