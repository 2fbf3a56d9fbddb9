"""Who watches the configuration and who pulls it from whom, within one region."""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from ..members.member import Member

FAN_OUT = 8
# The first host of a region watches; the others of these take over when it does not deliver.
WATCHERS = 3


class Place(NamedTuple):
    """Place of a host in its region's tree.

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


def place_of(host: str, region: str, members: Mapping[str, Member]) -> Place | None:
    """Returns the place of a host, or None while it is not among the members.

    Every host works the order out from its own view; where views differ for a while, a host may
    have no or two parents, which costs time or bytes but no outcome.
    """
    order = [member for member in members.values() if member.region == region]
    order.sort(key=lambda member: (xxhash.xxh3_64_intdigest(member.host.encode()), member.host))
    index = next((at for at, member in enumerate(order) if member.host == host), None)
    if index is None:
        return None
    first_child = index * FAN_OUT + 1
    children = tuple(order[first_child : first_child + FAN_OUT])
    others = tuple(order[:index] + order[index + 1 :])
    if index < WATCHERS:
        return Place(index, tuple(order[:index]), children, others)
    return Place(index, (order[(index - 1) // FAN_OUT],), children, others)
