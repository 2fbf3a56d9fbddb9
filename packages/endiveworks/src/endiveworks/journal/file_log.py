"""Logs with a single copy, in the data folder of this host."""

from collections.abc import Callable, Sequence
from concurrent.futures import Future
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Failure
from . import entries
from .api import AppendFuture, OpenedLog, OpenLog
from .copy_state import Append, CopyState, Request, Reset, Seal, Trim
from .log_sequencer import sequenced_log
from .store import Store, open_store
from .writer import SEGMENT_BYTES

_FIRST_GENERATION = 1


class Journal(NamedTuple):
    """The journal of a host.

    Attributes:
        open_log: Opens the log of a partition; see OpenLog.
        close: Completes queued appends and releases the files.
        store: The copies in the data folder.
    """

    open_log: OpenLog
    close: Callable[[], None]
    store: Store


def open_journal(
    data_dir: Path, deployment: str, segment_bytes: int = SEGMENT_BYTES
) -> Result[Journal, Failure]:
    """Opens the data folder of a host; see open_store for the arguments and failures."""
    return open_store(data_dir, deployment, segment_bytes=segment_bytes).map(_journal)


def _journal(store: Store) -> Journal:
    def open_log(partition: int, epoch: int) -> Result[OpenedLog, Failure]:
        return open_local_log(store, partition, epoch)

    return Journal(open_log, store.close, store)


def open_local_log(store: Store, partition: int, epoch: int) -> Result[OpenedLog, Failure]:
    """Opens the log of a partition whose only copy is on this host."""
    sealed = store.submit(_opening_request(store, partition, epoch)).result()
    if not isinstance(sealed, Success):
        return Err(sealed.failure())
    state = sealed.unwrap()

    def read(index: int) -> Result[tuple[bytes, ...], Failure]:
        result = store.fetch(partition, index, entries.READ_BYTES)
        return result.map(lambda fetched: fetched.records)

    def write(first_index: int, batch: Sequence[bytes]) -> AppendFuture:
        return _last_index_of(store.submit(Append(partition, epoch, first_index, batch)))

    def trim(first_index: int) -> None:
        store.submit(Trim(partition, epoch, first_index))

    def close() -> None:
        store.submit(Seal(partition, epoch)).result()

    log = sequenced_log(state.last_index, write, trim, close)
    records = entries.replay(read, state.first_index, state.last_index)
    return Success(OpenedLog(log, records, state.last_index))


def _opening_request(store: Store, partition: int, epoch: int) -> Request:
    if store.state(partition) is None:
        return Reset(partition, epoch, _FIRST_GENERATION, 1)
    return Seal(partition, epoch)


def _last_index_of(fut: "Future[Result[CopyState, Failure]]") -> AppendFuture:
    index_fut: AppendFuture = Future()

    def on_done(done_fut: "Future[Result[CopyState, Failure]]") -> None:
        index_fut.set_result(done_fut.result().map(lambda state: state.last_index))

    fut.add_done_callback(on_done)
    return index_fut
