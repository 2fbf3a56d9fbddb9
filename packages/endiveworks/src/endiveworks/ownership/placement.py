"""Which host should own each partition and which should keep its copies."""

from collections.abc import Collection, Iterable, Sequence

import xxhash

from ..journal.peer import CopyId
from ..members.member import Member

WANTED_COPIES = 2


def ranked(partition: int, duty: str, hosts: Iterable[Member]) -> list[Member]:
    """Returns hosts in the order in which they should serve a partition.

    Each host has a pseudo-random weight for each partition, so a host that comes or goes moves
    only the partitions in which it is first.

    Args:
        partition: Number of the partition.
        duty: What it is for; different duties give different orders.
        hosts: The hosts to choose from.
    """

    def weight(member: Member) -> tuple[int, str]:
        text = f"{duty}/{partition}/{member.host}"
        return xxhash.xxh64_intdigest(text.encode()), member.host

    return sorted(hosts, key=weight, reverse=True)


def owners(partition: int, members: Iterable[Member]) -> list[Member]:
    """Returns the hosts that may own a partition, the one that should first."""
    entries = (member for member in members if member.role == "entry" and not member.draining)
    return ranked(partition, "owner", entries)


def next_copy(
    partition: int,
    region: str,
    members: Iterable[Member],
    present: Sequence[CopyId],
    avoided: Collection[CopyId] = (),
) -> Member | None:
    """Returns the host that should get another copy of a partition.

    Hosts in a failure domain without a copy go first, then those in the owner's region, because
    the link between regions is slow.

    Args:
        partition: Number of the partition.
        region: Region of the owner.
        members: The hosts of the deployment.
        present: The copies there are.
        avoided: Copies that failed lately, whose hosts are left out.
    """
    known = {member.host: member for member in members if member.folder}
    used = {copy.host for copy in present}
    domains = {known[host].failure_domain for host in used if host in known}
    taken = used | {copy.host for copy in avoided}
    free = [member for host, member in known.items() if host not in taken and not member.draining]
    order = ranked(partition, "copy", free)
    order.sort(key=lambda member: (member.failure_domain in domains, member.region != region))
    return order[0] if order else None


def staying(members: Iterable[Member], present: Sequence[CopyId]) -> list[CopyId]:
    """Returns the copies whose host is not leaving."""
    leaving = {member.host for member in members if member.draining}
    return [copy for copy in present if copy.host not in leaving]


def nearer_copy(
    partition: int,
    region: str,
    members: Sequence[Member],
    present: Sequence[CopyId],
    avoided: Collection[CopyId] = (),
) -> Member | None:
    """Returns a host of the owner's region that should take a copy over from another region.

    A copy in another region costs a crossing of the link for each append, and an owner that is cut
    off from it can't append. It stays where the region has no further failure domain.
    """
    known = {member.host: member for member in members}
    near = [copy for copy in present if copy.host in known and known[copy.host].region == region]
    if len(near) >= WANTED_COPIES:
        return None
    domains = {known[copy.host].failure_domain for copy in near}
    here = [
        member
        for member in members
        if member.region == region and member.failure_domain not in domains
    ]
    return next_copy(partition, region, here, present, avoided)


def surplus_copy(
    region: str, members: Sequence[Member], present: Sequence[CopyId]
) -> CopyId | None:
    """Returns a copy that can go because there are enough others.

    One on a leaving host goes first, then one without which as many failure domains remain, of
    these one outside the owner's region.
    """
    if len(present) <= WANTED_COPIES:
        return None
    kept = staying(members, present)
    leaving = [copy for copy in present if copy not in kept]
    if leaving:
        return leaving[0]
    known = {member.host: member for member in members}

    def worth_dropping(copy: CopyId) -> tuple[int, bool]:
        others = [known.get(other.host) for other in present if other != copy]
        domains = {member.failure_domain for member in others if member is not None}
        member = known.get(copy.host)
        return len(domains), member is None or member.region != region

    return max(reversed(present), key=worth_dropping)


def first_copies(partition: int, region: str, members: Sequence[Member]) -> tuple[CopyId, ...]:
    """Returns where a new partition's copies should be, as many as there are hosts for."""
    chosen: list[CopyId] = []
    while len(chosen) < WANTED_COPIES:
        member = next_copy(partition, region, members, chosen)
        if member is None:
            break
        chosen.append(CopyId(member.host, member.folder))
    return tuple(chosen)
