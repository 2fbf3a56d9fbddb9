"""Thrift client for copies on other hosts, and the handlers of its messages."""

from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..links.client import Peers
from ..links.link_share import LinkShare
from ..wire.faults import from_fault, to_fault
from ..wire.gen import ttypes
from .copy_state import Append, CopyState, Drop, Request, Reset, Seal, Trim
from .peer import CopyId, CopyStateFuture, Peer, check_folder
from .store import FetchedRecords, Store

COPY_TIMEOUT_S = 2.0


def remote_peer(
    copy: CopyId,
    address: Callable[[], str | None],
    peers: Peers,
    origin: Callable[[], ttypes.Origin],
    pool: Executor,
    link: LinkShare | None = None,
) -> Peer:
    """Returns the peer for the copies of another host.

    Args:
        copy: The host and its data folder.
        address: Returns the host's Thrift address, or None while it is unknown.
        peers: Connections to entries.
        origin: Returns the fields that identify the sender of a message.
        pool: Threads that wait for the replies of that host.
        link: Share of the link between regions, if the host is in another region.
    """

    def call(step: str, method: Callable[[Any], Any]) -> Result[Any, Failure]:
        addr = address()
        if addr is None:
            detail = "the host is not in the deployment"
            return Err(Failure(Code.UNREACHABLE, step, copy.host, detail, not_run=True))
        return peers.call(addr, step, COPY_TIMEOUT_S, method)

    def submit(req: Request) -> Result[CopyState, Failure]:
        step = f"journal.{type(req).__name__.lower()}"
        reply = call(step, lambda client: _request(client, origin(), copy.folder, req))
        return reply.bind(_copy_state)

    def send(req: Request) -> CopyStateFuture:
        try:
            return pool.submit(submit, req)
        except RuntimeError as exc:
            fut: CopyStateFuture = Future()
            fut.set_result(Err(Failure(Code.UNREACHABLE, "journal.send", copy.host, str(exc))))
            return fut

    def fetch(partition: int, first_index: int, max_bytes: int) -> Result[FetchedRecords, Failure]:
        reply = call(
            "journal.fetch",
            lambda client: client.fetch(origin(), copy.folder, partition, first_index, max_bytes),
        )
        return reply.bind(_fetched)

    return Peer(copy, send, fetch, link)


def handle_request(store: Store | None, folder: str, req: Request) -> ttypes.CopyReply:
    """Handles a request for a copy on this host."""
    outcome = check_folder(store, folder).bind(lambda local_store: local_store.submit(req).result())
    if isinstance(outcome, Success):
        return ttypes.CopyReply(*outcome.unwrap())
    return ttypes.CopyReply(fault=to_fault(outcome.failure()))


def handle_fetch(
    store: Store | None, folder: str, partition: int, first_index: int, max_bytes: int
) -> ttypes.FetchReply:
    """Handles a message that reads records of a copy on this host."""
    outcome = check_folder(store, folder).bind(
        lambda local_store: local_store.fetch(partition, first_index, max_bytes)
    )
    if isinstance(outcome, Success):
        return ttypes.FetchReply(*outcome.unwrap())
    return ttypes.FetchReply(fault=to_fault(outcome.failure()))


def _request(client: Any, origin: ttypes.Origin, folder: str, req: Request) -> Any:
    match req:
        case Append(partition, epoch, first_index, records):
            return client.append(origin, folder, partition, epoch, first_index, list(records))
        case Seal(partition, epoch):
            return client.seal(origin, folder, partition, epoch)
        case Reset(partition, epoch, generation, first_index):
            return client.reset(origin, folder, partition, epoch, generation, first_index)
        case Trim(partition, epoch, first_index):
            return client.trim(origin, folder, partition, epoch, first_index)
        case Drop():
            raise ValueError("Drop is not sent to other hosts: each host drops only its own copies")


def _copy_state(reply: ttypes.CopyReply) -> Result[CopyState, Failure]:
    if reply.fault is not None:
        return Err(from_fault(reply.fault))
    return Success(CopyState(reply.epoch, reply.generation, reply.first_index, reply.last_index))


def _fetched(reply: ttypes.FetchReply) -> Result[FetchedRecords, Failure]:
    if reply.fault is not None:
        return Err(from_fault(reply.fault))
    return Success(FetchedRecords(reply.first_index, tuple(reply.records), reply.last_index))
