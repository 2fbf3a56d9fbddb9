"""Assigns indexes to the entries of an open log and writes them in order."""

import threading
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from contextlib import AbstractContextManager

from returns.result import Failure as Err
from returns.result import Result

from ..errors import Failure
from . import entries
from .api import AppendFuture, Log

SNAPSHOT_BATCH_BYTES = 256 * 1024
MIN_SNAPSHOT_BYTES = 1024 * 1024

# Writes entries, the first at an index; called in index order.
WriteEntries = Callable[[int, Sequence[bytes]], AppendFuture]


class _SequencerState:
    """State of one open log: the next index, and the bytes written since the last snapshot."""

    def __init__(self, next_index: int, lock: AbstractContextManager[bool]) -> None:
        self.lock = lock
        self.next_index = next_index
        self.bytes_since_snapshot = 0
        self.snapshot_bytes = 0
        self.snapshot_running = False


def sequenced_log(
    last_index: int,
    write: WriteEntries,
    trim: Callable[[int], None],
    close: Callable[[], None],
    lock: AbstractContextManager[bool] | None = None,
) -> Log:
    """Returns a log that assigns indexes from last_index + 1 on.

    Args:
        last_index: Index of the last entry that the log holds.
        write: Writes entries to the copies.
        trim: Deletes the entries below an index.
        close: Closes the log.
        lock: Held during a write; its future may complete while it is held.
    """
    state = _SequencerState(last_index + 1, lock or threading.RLock())

    def append(records: Sequence[bytes]) -> AppendFuture:
        batch = [entries.encode_record(data) for data in records] or [entries.BARRIER]
        return _write(state, batch, write)

    def snapshot(records: Iterable[bytes]) -> AppendFuture:
        with state.lock:
            last_included_index = state.next_index - 1
            state.bytes_since_snapshot = 0
            state.snapshot_running = True
        batches = _split_batches(entries.encode_snapshot(last_included_index, records))
        size = 0
        for batch in batches:
            size += sum(map(len, batch))
            fut = _write(state, batch, write)
        with state.lock:
            state.snapshot_bytes = size
        fut.add_done_callback(lambda done: _snapshot_done(state, done, last_included_index, trim))
        return fut

    def snapshot_due() -> bool:
        with state.lock:
            limit = max(MIN_SNAPSHOT_BYTES, 2 * state.snapshot_bytes)
            return not state.snapshot_running and state.bytes_since_snapshot >= limit

    return Log(append, close, snapshot, snapshot_due)


def completed(result: Result[int, Failure]) -> AppendFuture:
    """Returns a future that is already completed."""
    fut: AppendFuture = Future()
    fut.set_result(result)
    return fut


def _write(state: _SequencerState, batch: list[bytes], write: WriteEntries) -> AppendFuture:
    with state.lock:
        first_index = state.next_index
        state.next_index += len(batch)
        state.bytes_since_snapshot += sum(map(len, batch))
        return write(first_index, batch)


def _split_batches(all_entries: Iterable[bytes]) -> Iterable[list[bytes]]:
    batch: list[bytes] = []
    size = 0
    for entry in all_entries:
        batch.append(entry)
        size += len(entry)
        if size >= SNAPSHOT_BATCH_BYTES:
            yield batch
            batch, size = [], 0
    if batch:
        yield batch


def _snapshot_done(
    state: _SequencerState,
    done: AppendFuture,
    last_included_index: int,
    trim: Callable[[int], None],
) -> None:
    with state.lock:
        state.snapshot_running = False
    if not isinstance(done.result(), Err):
        trim(last_included_index + 1)
