"""Selects the processes from which each process receives the entries of the key-value service.

If every process watched the service itself, the calls to it would grow with the product of
processes and changes. The entries of a region form a tree instead: the first one watches the
service, the others receive changes from their parent. A process that does not reach its parent
asks the root, and then watches the service itself.
"""

from collections.abc import Iterable, Sequence

import xxhash

from .member import ENTRY_ROLE, Member

FANOUT = 8  # Children of one entry; bounds its load whatever the number of processes.


def sources_of_entry(host: str, region: str, members: Iterable[Member]) -> tuple[str, ...]:
    """Returns the addresses that an entry receives changes from, in order of preference.

    An entry only follows entries of a lower rank, so that there is no cycle even while processes
    know different members for a moment. For the same reason an entry that isn't listed yet follows
    none.

    Args:
        host: Name of the entry.
        region: Its region.
        members: The processes of the deployment, in any order.

    Returns:
        The parent and the root; empty if the entry watches the service itself.
    """
    ranked = _ranked_entries(region, members)
    hosts = [entry.host for entry in ranked]
    position = hosts.index(host) if host in hosts else 0
    return _parent_and_root(ranked, (position - 1) // FANOUT) if position else ()


def sources_of_leaf(host: str, region: str, members: Iterable[Member]) -> tuple[str, ...]:
    """Returns the addresses that a process which serves no others receives changes from.

    See sources_of_entry; such processes are spread over all entries.
    """
    ranked = _ranked_entries(region, members)
    if not ranked:
        return ()
    return _parent_and_root(ranked, xxhash.xxh32_intdigest(host.encode()) % len(ranked))


def roots_of_other_regions(region: str, members: Iterable[Member]) -> tuple[str, ...]:
    """Returns the addresses of the roots of all regions except one."""
    entries = [m for m in members if m.role == ENTRY_ROLE]
    regions = sorted({entry.region for entry in entries} - {region})
    return tuple(_ranked_entries(name, entries)[0].address for name in regions)


def _parent_and_root(ranked: Sequence[Member], parent: int) -> tuple[str, ...]:
    return tuple(dict.fromkeys((ranked[parent].address, ranked[0].address)))


def _ranked_entries(region: str, members: Iterable[Member]) -> list[Member]:
    return sorted((m for m in members if m.role == ENTRY_ROLE and m.region == region), key=_rank)


def _rank(entry: Member) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(entry.host.encode()), entry.host
