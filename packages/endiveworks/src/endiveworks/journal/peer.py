"""A copy of a partition's log as its owner reaches it, on this host or another."""

from collections.abc import Callable, Sequence
from concurrent.futures import Future
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..links.link_share import LinkShare
from .copy_state import Head, Request
from .entries import READ_BYTES, ReadFrom
from .store import Fetched, Store

HeadFuture = Future[Result[Head, Failure]]


class CopyId(NamedTuple):
    """Where a copy is kept: the host, and the id of its data folder."""

    host: str
    folder: str


class Peer(NamedTuple):
    """Access to the copies that one host keeps.

    Attributes:
        copy: The host and its data folder.
        send: Sends a request; the future completes once it is on disk there.
        fetch: Reads records: partition, first index, largest number of bytes.
        link: Share of the link between regions, if the host is in another region.
    """

    copy: CopyId
    send: Callable[[Request], HeadFuture]
    fetch: Callable[[int, int, int], Result[Fetched, Failure]]
    link: LinkShare | None = None


def local_peer(host: str, store: Store) -> Peer:
    """Returns the peer for the copies of this host."""
    return Peer(CopyId(host, store.folder), store.submit, store.fetch)


def guarded(store: Store | None, folder: str) -> Result[Store, Failure]:
    """Returns the store if it has the folder that a message means.

    A host whose folder was emptied or replaced holds nothing that the sender counts on.
    """
    if store is not None and store.folder == folder:
        return Success(store)
    detail = "no data folder" if store is None else f"the data folder is {store.folder}"
    return Err(Failure(Code.CONFLICT, "journal.copy", "", f"{detail}, not {folder}", not_run=True))


def spend(peer: Peer, records: Sequence[bytes]) -> None:
    """Notes records that are sent to or from a copy at once."""
    if peer.link is not None:
        peer.link.spend(sum(map(len, records)))


def reader(peer: Peer, partition: int) -> ReadFrom:
    """Returns a function that reads the entries of a partition's copy."""

    def read(index: int) -> Result[tuple[bytes, ...], Failure]:
        fetched = peer.fetch(partition, index, READ_BYTES)
        if isinstance(fetched, Success):
            # Callers wait for a partition that is being opened, so this is not held back.
            spend(peer, fetched.unwrap().records)
        return fetched.map(lambda found: found.records)

    return read
