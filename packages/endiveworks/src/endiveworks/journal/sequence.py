"""Numbers the entries of an open log and hands them on in order."""

import threading
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from contextlib import AbstractContextManager

from returns.result import Failure as Err
from returns.result import Result

from ..errors import Failure
from . import entries
from .api import AppendFuture, Log

SNAPSHOT_PART_BYTES = 256 * 1024
MIN_SNAPSHOT_BYTES = 1024 * 1024

# Writes entries from an index on; calls are made in the order of the indexes.
WriteFrom = Callable[[int, Sequence[bytes]], AppendFuture]


class _Sequence:
    """State of one open log: the next index, and what was written since the last snapshot."""

    def __init__(self, next_index: int, lock: AbstractContextManager[bool]) -> None:
        self.lock = lock
        self.next_index = next_index
        self.bytes_since_snapshot = 0
        self.snapshot_bytes = 0
        self.snapshot_running = False


def sequenced(
    last_index: int,
    write: WriteFrom,
    trim: Callable[[int], None],
    close: Callable[[], None],
    lock: AbstractContextManager[bool] | None = None,
) -> Log:
    """Returns a log that numbers entries from last_index + 1 on.

    Args:
        last_index: Index of the last entry that the log holds.
        write: Writes entries.
        trim: Lets entries below an index go.
        close: Closes the log.
        lock: Held during a write, and possibly while its future completes.
    """
    state = _Sequence(last_index + 1, lock or threading.RLock())

    def append(records: Sequence[bytes]) -> AppendFuture:
        batch = [entries.record(data) for data in records] or [entries.NO_RECORD]
        return _write(state, batch, write)

    def snapshot(records: Iterable[bytes]) -> AppendFuture:
        with state.lock:
            covers = state.next_index - 1
            state.bytes_since_snapshot = 0
            state.snapshot_running = True
        parts = _parts(entries.snapshot(covers, records))
        size = 0
        for part in parts:
            size += sum(map(len, part))
            fut = _write(state, part, write)
        with state.lock:
            state.snapshot_bytes = size
        fut.add_done_callback(lambda done: _snapshot_done(state, done, covers, trim))
        return fut

    def snapshot_due() -> bool:
        with state.lock:
            limit = max(MIN_SNAPSHOT_BYTES, 2 * state.snapshot_bytes)
            return not state.snapshot_running and state.bytes_since_snapshot >= limit

    return Log(append, close, snapshot, snapshot_due)


def completed(result: Result[int, Failure]) -> AppendFuture:
    """Returns a future that has completed."""
    fut: AppendFuture = Future()
    fut.set_result(result)
    return fut


def _write(state: _Sequence, batch: list[bytes], write: WriteFrom) -> AppendFuture:
    with state.lock:
        first_index = state.next_index
        state.next_index += len(batch)
        state.bytes_since_snapshot += sum(map(len, batch))
        return write(first_index, batch)


def _parts(all_entries: Iterable[bytes]) -> Iterable[list[bytes]]:
    part: list[bytes] = []
    size = 0
    for entry in all_entries:
        part.append(entry)
        size += len(entry)
        if size >= SNAPSHOT_PART_BYTES:
            yield part
            part, size = [], 0
    if part:
        yield part


def _snapshot_done(
    state: _Sequence, done: AppendFuture, covers: int, trim: Callable[[int], None]
) -> None:
    with state.lock:
        state.snapshot_running = False
    if not isinstance(done.result(), Err):
        trim(covers + 1)
