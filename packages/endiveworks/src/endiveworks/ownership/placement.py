"""Placement of partitions: the preferred owner of each and the hosts that store its copies."""

from collections.abc import Collection, Iterable, Sequence

import xxhash

from ..journal.peer import CopyId
from ..members.member import Member

TARGET_COPIES = 2


def rank_hosts(partition: int, purpose: str, hosts: Iterable[Member]) -> list[Member]:
    """Returns hosts in descending order of preference for a partition, by rendezvous hashing.

    Each host has a pseudo-random weight for each partition, so when a host joins or leaves, only
    the partitions for which it ranks first move.

    Args:
        partition: Number of the partition.
        purpose: Salt of the hash; each purpose has its own order.
        hosts: The hosts to rank.
    """

    def weight(member: Member) -> tuple[int, str]:
        text = f"{purpose}/{partition}/{member.host}"
        return xxhash.xxh64_intdigest(text.encode()), member.host

    return sorted(hosts, key=weight, reverse=True)


def rank_owners(partition: int, members: Iterable[Member]) -> list[Member]:
    """Returns the hosts that may own a partition, in descending order of preference."""
    entries = (member for member in members if member.role == "entry" and not member.draining)
    return rank_hosts(partition, "owner", entries)


def choose_copy_host(
    partition: int,
    region: str,
    members: Iterable[Member],
    copies: Sequence[CopyId],
    excluded: Collection[CopyId] = (),
) -> Member | None:
    """Returns the host for an additional copy of a partition, or None if no host qualifies.

    Hosts in a failure domain without a copy are preferred, then hosts in the owner's region,
    because the link between regions is slow.

    Args:
        partition: Number of the partition.
        region: Region of the owner.
        members: The hosts of the deployment.
        copies: The existing copies.
        excluded: Copies that failed recently; their hosts are not considered.
    """
    by_host = {member.host: member for member in members if member.folder}
    used = {copy.host for copy in copies}
    domains = {by_host[host].failure_domain for host in used if host in by_host}
    unavailable = used | {copy.host for copy in excluded}
    eligible = [
        member
        for host, member in by_host.items()
        if host not in unavailable and not member.draining
    ]
    candidates = rank_hosts(partition, "copy", eligible)
    candidates.sort(key=lambda member: (member.failure_domain in domains, member.region != region))
    return candidates[0] if candidates else None


def retained_copies(members: Iterable[Member], copies: Sequence[CopyId]) -> list[CopyId]:
    """Returns the copies whose host is not draining."""
    draining = {member.host for member in members if member.draining}
    return [copy for copy in copies if copy.host not in draining]


def choose_regional_host(
    partition: int,
    region: str,
    members: Sequence[Member],
    copies: Sequence[CopyId],
    excluded: Collection[CopyId] = (),
) -> Member | None:
    """Returns a host in the owner's region to replace a copy in another region, if there is one.

    With a copy in another region, each append crosses the link between regions, and the owner
    can't append while that link is down. The copy stays there if the owner's region has no
    further failure domain.
    """
    by_host = {member.host: member for member in members}
    regional = [
        copy for copy in copies if copy.host in by_host and by_host[copy.host].region == region
    ]
    if len(regional) >= TARGET_COPIES:
        return None
    domains = {by_host[copy.host].failure_domain for copy in regional}
    candidates = [
        member
        for member in members
        if member.region == region and member.failure_domain not in domains
    ]
    return choose_copy_host(partition, region, candidates, copies, excluded)


def choose_surplus_copy(
    region: str, members: Sequence[Member], copies: Sequence[CopyId]
) -> CopyId | None:
    """Returns the copy to remove if there are more than enough, else None.

    A copy on a draining host is removed first. Otherwise it is the copy whose removal leaves the
    most failure domains, and among these one outside the owner's region.
    """
    if len(copies) <= TARGET_COPIES:
        return None
    retained = retained_copies(members, copies)
    draining = [copy for copy in copies if copy not in retained]
    if draining:
        return draining[0]
    by_host = {member.host: member for member in members}

    def removal_preference(copy: CopyId) -> tuple[int, bool]:
        others = [by_host.get(other.host) for other in copies if other != copy]
        domains = {member.failure_domain for member in others if member is not None}
        member = by_host.get(copy.host)
        return len(domains), member is None or member.region != region

    return max(reversed(copies), key=removal_preference)


def choose_initial_copies(
    partition: int, region: str, members: Sequence[Member]
) -> tuple[CopyId, ...]:
    """Returns the copies of a new partition; fewer than TARGET_COPIES if hosts are lacking."""
    chosen: list[CopyId] = []
    while len(chosen) < TARGET_COPIES:
        member = choose_copy_host(partition, region, members, chosen)
        if member is None:
            break
        chosen.append(CopyId(member.host, member.folder))
    return tuple(chosen)
