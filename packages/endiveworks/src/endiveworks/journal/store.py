"""The copies that a host keeps, in one write-ahead log with group commit."""

import os
import threading
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from . import segments
from .compaction import SharedState
from .copy_state import CopyState, Request
from .frames import LocatedFrame, decode
from .identity import lock_data_dir
from .index import FrameLocation, RecordIndex
from .segments import WriteCalls
from .writer import SEGMENT_BYTES, Writer

_OPEN_STEP = "journal.open"
_FETCH_STEP = "journal.fetch"


class FetchedRecords(NamedTuple):
    """Consecutive records of a copy, and the index of the last one it holds."""

    first_index: int
    records: tuple[bytes, ...]
    last_index: int


class Store(NamedTuple):
    """Access to the copies of a host; every function may be called from any thread.

    Attributes:
        folder: Random id of the data folder; a replaced folder has a different one.
        submit: Queues a request; the future completes with the state of the copy once the
            request is on disk. After a Failure with not_run the copy is unchanged.
        state: Returns the state of a copy, or None if the host has none.
        partitions: Returns the partitions that this host has copies of.
        fetch: Reads records starting at an index, up to a number of bytes but at least one record.
        used_bytes: Returns the total size of all segments.
        live_bytes: Returns the size of the records that the copies hold.
        close: Completes queued requests and releases the files.
    """

    folder: str
    submit: Callable[[Request], "Future[Result[CopyState, Failure]]"]
    state: Callable[[int], CopyState | None]
    partitions: Callable[[], tuple[int, ...]]
    fetch: Callable[[int, int, int], Result[FetchedRecords, Failure]]
    used_bytes: Callable[[], int]
    live_bytes: Callable[[], int]
    close: Callable[[], None]


def open_store(
    data_dir: Path,
    deployment: str,
    write_calls: WriteCalls = WriteCalls(),  # noqa: B008 - immutable
    segment_bytes: int = SEGMENT_BYTES,
) -> Result[Store, Failure]:
    """Opens the data folder of a host and recovers its copies.

    Args:
        data_dir: The data folder; created when absent.
        deployment: Id of the deployment; a folder of another one is refused.
        write_calls: System calls used for writing.
        segment_bytes: Size at which a new segment is started.

    Returns:
        The store, or a Failure: STORAGE when the folder can't be used, CONFLICT when it belongs
        to another deployment, CORRUPT when a record that was on disk is damaged or missing.
    """
    locked = lock_data_dir(data_dir, deployment)
    if not isinstance(locked, Success):
        return Err(locked.failure())
    identity, lock = locked.unwrap()
    shared = SharedState(data_dir, RecordIndex(), {}, threading.RLock())
    recovered = _recover(shared, write_calls)
    if not isinstance(recovered, Success):
        _close_files(shared, lock)
        return Err(recovered.failure())
    writer = Writer(shared, write_calls, segment_bytes)
    try:
        writer.start()
    except OSError as exc:
        _close_files(shared, lock)
        return Err(Failure(Code.STORAGE, _OPEN_STEP, str(data_dir), str(exc), not_run=True))
    return Success(_build_store(identity.folder, shared, writer, lock))


def _build_store(folder: str, shared: SharedState, writer: Writer, lock: int) -> Store:
    def state(partition: int) -> CopyState | None:
        with shared.lock:
            return shared.record_index.state(partition)

    def partitions() -> tuple[int, ...]:
        with shared.lock:
            return tuple(shared.record_index.copies)

    def fetch(partition: int, first_index: int, max_bytes: int) -> Result[FetchedRecords, Failure]:
        with shared.lock:
            return _fetch(shared, partition, first_index, max_bytes)

    def used_bytes() -> int:
        with shared.lock:
            return sum(os.fstat(fd).st_size for fd in shared.fds.values())

    def live_bytes() -> int:
        with shared.lock:
            return sum(shared.record_index.live_bytes.values())

    def close() -> None:
        writer.stop()
        _close_files(shared, lock)

    return Store(folder, writer.submit, state, partitions, fetch, used_bytes, live_bytes, close)


def _close_files(shared: SharedState, lock: int) -> None:
    with shared.lock:
        for fd in shared.fds.values():
            os.close(fd)
        shared.fds.clear()
    os.close(lock)


def _recover(shared: SharedState, write_calls: WriteCalls) -> Result[None, Failure]:
    numbers = segments.list_segments(shared.data_dir)
    try:
        for number in numbers:
            replayed = _recover_segment(shared, number, number == numbers[-1])
            if not isinstance(replayed, Success):
                return Err(replayed.failure())
        if numbers:
            # A process that was killed may have left frames that are readable but not on disk.
            write_calls.sync(shared.fds[numbers[-1]])
    except ValueError as exc:
        return Err(_corrupt(shared, str(exc)))
    except OSError as exc:
        return Err(Failure(Code.STORAGE, _OPEN_STEP, str(shared.data_dir), str(exc), not_run=True))
    for partition, index in shared.record_index.missing_records():
        return Err(_corrupt(shared, f"record {index} of partition {partition} is missing"))
    return Success(None)


def _recover_segment(shared: SharedState, number: int, is_last: bool) -> Result[int, Failure]:
    def on_frame(found: LocatedFrame) -> None:
        shared.record_index.apply(found.frame, FrameLocation(number, found.offset, found.size))

    shared.fds[number] = segments.open_segment(shared.data_dir, number)
    return segments.replay_segment(shared.data_dir, number, is_last, on_frame)


def _corrupt(shared: SharedState, detail: str) -> Failure:
    return Failure(Code.CORRUPT, _OPEN_STEP, str(shared.data_dir), detail, not_run=True)


def _fetch(
    shared: SharedState, partition: int, first_index: int, max_bytes: int
) -> Result[FetchedRecords, Failure]:
    state = shared.record_index.state(partition)
    if state is None or first_index < state.first_index:
        detail = f"partition {partition}: record {first_index} is not held on this host"
        return Err(Failure(Code.CONFLICT, _FETCH_STEP, "", detail, not_run=True))
    records: list[bytes] = []
    remaining_bytes = max_bytes
    for index in range(first_index, state.last_index + 1):
        location = shared.record_index.find(partition, index)
        if location is None or (records and location.size > remaining_bytes):
            break
        found = decode(os.pread(shared.fds[location.segment], location.size, location.offset))
        if found is None or (found.frame.partition, found.frame.log_index) != (partition, index):
            return Err(_corrupt(shared, f"record {index} of partition {partition} is damaged"))
        records.append(found.frame.body)
        remaining_bytes -= location.size
    return Success(FetchedRecords(first_index, tuple(records), state.last_index))
