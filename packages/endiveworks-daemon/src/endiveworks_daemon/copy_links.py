"""Access from an owner to the journal copies of its partitions."""

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

from endiveworks.journal.peer import CopyId, Peer, local_peer
from endiveworks.journal.remote import remote_peer
from endiveworks.journal.store import Store
from endiveworks.links.client import Peers
from endiveworks.links.link_share import LinkShare
from endiveworks.members.member import Member

from .identity import Identity

_THREADS_PER_HOST = 4


class CopyLinks:
    """Access to journal copies, with a small thread pool per host that waits for replies.

    Args:
        identity: This process.
        store: Journal copies on this host; None if it stores none.
        members: Returns the live processes by host.
        peers: Connections to entries.
        link_share: Bandwidth share of this process on the link between regions.
    """

    def __init__(
        self,
        identity: Identity,
        store: Store | None,
        members: Callable[[], Mapping[str, Member]],
        peers: Peers,
        link_share: LinkShare,
    ) -> None:
        self._identity = identity
        self._store = store
        self._members = members
        self._peers = peers
        self._link_share = link_share
        self._lock = threading.Lock()
        self._pools: dict[str, ThreadPoolExecutor] = {}

    def peer(self, copy: CopyId) -> Peer:
        """Returns the peer through which a copy is read and written."""
        store = self._store
        if store is not None and copy == CopyId(self._identity.host, store.folder):
            return local_peer(copy.host, store)

        def address() -> str | None:
            member = self._members().get(copy.host)
            return member.address if member is not None else None

        origin = self._identity.origin
        pool = self._pool(copy.host)
        return remote_peer(copy, address, self._peers, origin, pool, self._link_share_to(copy.host))

    def _link_share_to(self, host: str) -> LinkShare | None:
        member = self._members().get(host)
        is_cross_region = member is not None and member.region != self._identity.region
        return self._link_share if is_cross_region else None

    def _pool(self, host: str) -> ThreadPoolExecutor:
        with self._lock:
            pool = self._pools.get(host)
            if pool is None:
                pool = ThreadPoolExecutor(_THREADS_PER_HOST, f"copies-{host}")
                self._pools[host] = pool
            return pool
