"""The copies that a host keeps, in one set of write-ahead files with group commit."""

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
from .compaction import Shared
from .copy_state import Head, Request
from .frames import Placed, decode
from .identity import claim
from .index import Index, Place
from .segments import Files
from .writer import SEGMENT_BYTES, Writer

_OPEN_STEP = "journal.open"
_FETCH_STEP = "journal.fetch"


class Fetched(NamedTuple):
    """Records of a copy from first_index on, and the index of the last one held."""

    first_index: int
    records: tuple[bytes, ...]
    last_index: int


class Store(NamedTuple):
    """Access to the copies of a host; every function may be called from any thread.

    Attributes:
        folder: Random id of the data folder; a replaced folder has another.
        submit: Queues a request; the future completes with the state of the copy once the
            request is on disk. A Failure with not_run left the copy as it was.
        head: Returns the state of a copy, or None if none is kept.
        partitions: Returns the partitions of which copies are kept.
        fetch: Reads records from an index on, up to a number of bytes but at least one record.
        used_bytes: Returns the size of all files.
        close: Finishes queued requests and releases the files.
    """

    folder: str
    submit: Callable[[Request], "Future[Result[Head, Failure]]"]
    head: Callable[[int], Head | None]
    partitions: Callable[[], tuple[int, ...]]
    fetch: Callable[[int, int, int], Result[Fetched, Failure]]
    used_bytes: Callable[[], int]
    close: Callable[[], None]


def open_store(
    data_dir: Path,
    deployment: str,
    files: Files = Files(),  # noqa: B008 - immutable
    segment_bytes: int = SEGMENT_BYTES,
) -> Result[Store, Failure]:
    """Opens the data folder of a host and reads back what it holds.

    Args:
        data_dir: The data folder; created when absent.
        deployment: Id of the deployment; a folder of another one is refused.
        files: System calls that write.
        segment_bytes: Size at which a new segment is begun.

    Returns:
        The store, or a Failure: STORAGE when the folder can't be used, CONFLICT when it belongs
        to another deployment, CORRUPT when a record that was on disk is damaged or missing.
    """
    claimed = claim(data_dir, deployment)
    if not isinstance(claimed, Success):
        return Err(claimed.failure())
    identity, lock = claimed.unwrap()
    shared = Shared(data_dir, Index(), {}, threading.RLock())
    recovered = _recover(shared)
    if not isinstance(recovered, Success):
        _release(shared, lock)
        return Err(recovered.failure())
    writer = Writer(shared, files, segment_bytes)
    try:
        writer.start()
    except OSError as exc:
        _release(shared, lock)
        return Err(Failure(Code.STORAGE, _OPEN_STEP, str(data_dir), str(exc), not_run=True))
    return Success(_functions(identity.folder, shared, writer, lock))


def _functions(folder: str, shared: Shared, writer: Writer, lock: int) -> Store:
    def head(partition: int) -> Head | None:
        with shared.lock:
            return shared.catalog.head(partition)

    def partitions() -> tuple[int, ...]:
        with shared.lock:
            return tuple(shared.catalog.copies)

    def fetch(partition: int, first_index: int, max_bytes: int) -> Result[Fetched, Failure]:
        with shared.lock:
            return _fetch(shared, partition, first_index, max_bytes)

    def used_bytes() -> int:
        with shared.lock:
            return sum(os.fstat(handle).st_size for handle in shared.handles.values())

    def close() -> None:
        writer.stop()
        _release(shared, lock)

    return Store(folder, writer.submit, head, partitions, fetch, used_bytes, close)


def _release(shared: Shared, lock: int) -> None:
    with shared.lock:
        for handle in shared.handles.values():
            os.close(handle)
        shared.handles.clear()
    os.close(lock)


def _recover(shared: Shared) -> Result[None, Failure]:
    numbers = segments.numbers(shared.data_dir)
    try:
        for number in numbers:
            done = _recover_segment(shared, number, number == numbers[-1])
            if not isinstance(done, Success):
                return Err(done.failure())
    except ValueError as exc:
        return Err(_corrupt(shared, str(exc)))
    except OSError as exc:
        return Err(Failure(Code.STORAGE, _OPEN_STEP, str(shared.data_dir), str(exc), not_run=True))
    for partition, index in shared.catalog.missing():
        return Err(_corrupt(shared, f"record {index} of partition {partition} is missing"))
    return Success(None)


def _recover_segment(shared: Shared, number: int, is_last: bool) -> Result[int, Failure]:
    def take(found: Placed) -> None:
        shared.catalog.apply(found.frame, Place(number, found.offset, found.size))

    shared.handles[number] = segments.open_existing(shared.data_dir, number)
    return segments.replay(shared.data_dir, number, is_last, take)


def _corrupt(shared: Shared, detail: str) -> Failure:
    return Failure(Code.CORRUPT, _OPEN_STEP, str(shared.data_dir), detail, not_run=True)


def _fetch(
    shared: Shared, partition: int, first_index: int, max_bytes: int
) -> Result[Fetched, Failure]:
    head = shared.catalog.head(partition)
    if head is None or first_index < head.first_index:
        detail = f"partition {partition}: record {first_index} is not kept here"
        return Err(Failure(Code.CONFLICT, _FETCH_STEP, "", detail, not_run=True))
    records: list[bytes] = []
    room = max_bytes
    for index in range(first_index, head.last_index + 1):
        place = shared.catalog.find(partition, index)
        if place is None or (records and place.size > room):
            break
        found = decode(os.pread(shared.handles[place.segment], place.size, place.offset))
        if found is None or (found.frame.partition, found.frame.position) != (partition, index):
            return Err(_corrupt(shared, f"record {index} of partition {partition} is damaged"))
        records.append(found.frame.body)
        room -= place.size
    return Success(Fetched(first_index, tuple(records), head.last_index))
