"""Access of a partition's owner to one copy of its log, on this host or another."""

from collections.abc import Callable, Sequence
from concurrent.futures import Future
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..links.link_share import LinkShare
from .copy_state import CopyState, Request
from .entries import READ_BYTES, ReadEntries
from .store import FetchedRecords, Store

CopyStateFuture = Future[Result[CopyState, Failure]]


class CopyId(NamedTuple):
    """Identifies a copy by its host and the id of the host's data folder."""

    host: str
    folder: str


class Peer(NamedTuple):
    """Access to the copies that one host keeps.

    Attributes:
        copy: The host and the id of its data folder.
        send: Sends a request; the future completes once the host has it on disk.
        fetch: Reads records; takes partition, first index and maximum number of bytes.
        link: Share of the link between regions, if the host is in another region.
    """

    copy: CopyId
    send: Callable[[Request], CopyStateFuture]
    fetch: Callable[[int, int, int], Result[FetchedRecords, Failure]]
    link: LinkShare | None = None


def local_peer(host: str, store: Store) -> Peer:
    """Returns the peer for the copies of this host."""
    return Peer(CopyId(host, store.folder), store.submit, store.fetch)


def check_folder(store: Store | None, folder: str) -> Result[Store, Failure]:
    """Returns the store if its data folder is the one that a message is addressed to.

    A host whose data folder was emptied or replaced has lost the entries that the sender expects.
    """
    if store is not None and store.folder == folder:
        return Success(store)
    detail = "no data folder" if store is None else f"the data folder is {store.folder}"
    return Err(Failure(Code.CONFLICT, "journal.copy", "", f"{detail}, not {folder}", not_run=True))


def charge_link(peer: Peer, records: Sequence[bytes]) -> None:
    """Charges the link budget for records sent to or from a copy, without waiting for it."""
    if peer.link is not None:
        peer.link.record_control(sum(map(len, records)))


def entry_reader(peer: Peer, partition: int) -> ReadEntries:
    """Returns a function that reads the log entries of a partition's copy."""

    def read(index: int) -> Result[tuple[bytes, ...], Failure]:
        fetched = peer.fetch(partition, index, READ_BYTES)
        if isinstance(fetched, Success):
            # Callers wait for the partition to open, so this read is not throttled.
            charge_link(peer, fetched.unwrap().records)
        return fetched.map(lambda result: result.records)

    return read
