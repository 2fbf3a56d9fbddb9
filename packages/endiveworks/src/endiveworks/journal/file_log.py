"""Logs kept in the data folder of this host alone."""

from collections.abc import Callable, Sequence
from concurrent.futures import Future
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Failure
from . import entries
from .api import AppendFuture, OpenedLog, OpenLog
from .copy_state import Append, Head, Request, Reset, Seal, Trim
from .sequence import sequenced
from .store import Store, open_store

_FIRST_GENERATION = 1


class Journal(NamedTuple):
    """The journal of a host.

    Attributes:
        open_log: Opens the log of a partition; see OpenLog.
        close: Finishes queued appends and releases the files.
        store: The copies that the journal consists of.
    """

    open_log: OpenLog
    close: Callable[[], None]
    store: Store


def open_journal(data_dir: Path, deployment: str) -> Result[Journal, Failure]:
    """Opens the data folder of a host; see open_store for the failures."""
    return open_store(data_dir, deployment).map(_journal)


def _journal(store: Store) -> Journal:
    def open_log(partition: int, epoch: int) -> Result[OpenedLog, Failure]:
        return open_local_log(store, partition, epoch)

    return Journal(open_log, store.close, store)


def open_local_log(store: Store, partition: int, epoch: int) -> Result[OpenedLog, Failure]:
    """Opens the log of a partition with the copy of this host as its only one."""
    sealed = store.submit(_first_request(store, partition, epoch)).result()
    if not isinstance(sealed, Success):
        return Err(sealed.failure())
    head = sealed.unwrap()

    def read(index: int) -> Result[tuple[bytes, ...], Failure]:
        fetched = store.fetch(partition, index, entries.READ_BYTES)
        return fetched.map(lambda found: found.records)

    def write(first_index: int, batch: Sequence[bytes]) -> AppendFuture:
        return _index_of(store.submit(Append(partition, epoch, first_index, batch)))

    def trim(first_index: int) -> None:
        store.submit(Trim(partition, epoch, first_index))

    def close() -> None:
        store.submit(Seal(partition, epoch)).result()

    log = sequenced(head.last_index, write, trim, close)
    records = entries.replay(read, head.first_index, head.last_index)
    return Success(OpenedLog(log, records, head.last_index))


def _first_request(store: Store, partition: int, epoch: int) -> Request:
    if store.head(partition) is None:
        return Reset(partition, epoch, _FIRST_GENERATION, 1)
    return Seal(partition, epoch)


def _index_of(fut: "Future[Result[Head, Failure]]") -> AppendFuture:
    answer: AppendFuture = Future()

    def done(finished: "Future[Result[Head, Failure]]") -> None:
        answer.set_result(finished.result().map(lambda head: head.last_index))

    fut.add_done_callback(done)
    return answer
