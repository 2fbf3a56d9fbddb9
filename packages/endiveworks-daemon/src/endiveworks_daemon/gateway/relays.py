"""Which processes pass messages to disks on for one that is cut off from them."""

from collections.abc import Iterable

import xxhash
from endiveworks.members.member import ENTRY_ROLE, Member


def relay_addresses(members: Iterable[Member], host: str, region: str) -> list[str]:
    """Returns the entries on other hosts, in order of preference.

    Args:
        members: The processes of the deployment.
        host: Name of the process that needs relays.
        region: Its region, whose entries come first.
    """
    others = [m for m in members if m.role == ENTRY_ROLE and m.host != host]
    others.sort(key=lambda m: (m.region != region, m.host))
    # Spreads the load over the relays when several processes lose their disks at once.
    near = [m for m in others if m.region == region]
    start = xxhash.xxh32_intdigest(host.encode()) % max(1, len(near))
    return [m.address for m in (*near[start:], *near[:start], *others[len(near) :])]
