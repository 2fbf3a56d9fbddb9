"""Encoding of log entries: records, and snapshots that replace earlier records."""

import struct
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure

READ_BYTES = 1024 * 1024

_RECORD = b"r"
_SNAPSHOT_BEGIN = b"b"
_SNAPSHOT_RECORD = b"p"
_SNAPSHOT_END = b"e"
BARRIER = b"n"
_INDEX = struct.Struct("<Q")


class LogEntry(NamedTuple):
    """An encoded entry of a log and its index."""

    log_index: int
    data: bytes


class SnapshotRange(NamedTuple):
    """Indexes of a complete snapshot's entries, and of the last record that it replaces."""

    begin_index: int
    end_index: int
    last_included_index: int


class DamagedLogError(Exception):
    """Raised during iteration over records when a copy can't return them."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


# Returns a batch of entries starting at an index, at least one if any exists.
ReadEntries = Callable[[int], Result[tuple[bytes, ...], Failure]]


def encode_record(data: bytes) -> bytes:
    """Encodes a record as a log entry."""
    return _RECORD + data


def encode_snapshot(last_included_index: int, records: Iterable[bytes]) -> Iterator[bytes]:
    """Yields the log entries of a snapshot that replaces records up to last_included_index."""
    yield _SNAPSHOT_BEGIN + _INDEX.pack(last_included_index)
    for data in records:
        yield _SNAPSHOT_RECORD + data
    yield _SNAPSHOT_END


def replay(read: ReadEntries, first_index: int, last_index: int) -> Iterator[bytes]:
    """Yields the records of a log; if early ones were trimmed, those of their snapshot first.

    Raises:
        DamagedLogError: An entry, or the snapshot that replaces trimmed ones, could not be read.
    """
    last_included_index = first_index - 1
    if last_included_index > 0:
        found = _find_snapshot(read, first_index, last_index)
        yield from _records_of_kind(read, found.begin_index, found.end_index, _SNAPSHOT_RECORD)
        last_included_index = found.last_included_index
    yield from _records_of_kind(read, last_included_index + 1, last_index, _RECORD)


def _find_snapshot(read: ReadEntries, first_index: int, last_index: int) -> SnapshotRange:
    begin_index = last_included_index = 0
    for entry in _read_entries(read, first_index, last_index):
        kind = entry.data[:1]
        if kind == _SNAPSHOT_BEGIN:
            begin_index = entry.log_index
            (last_included_index,) = _INDEX.unpack(entry.data[1:])
        elif kind == _SNAPSHOT_END and begin_index and last_included_index >= first_index - 1:
            return SnapshotRange(begin_index, entry.log_index, last_included_index)
    detail = f"no complete snapshot replaces the trimmed records below {first_index}"
    raise DamagedLogError(Failure(Code.CORRUPT, "journal.replay", "", detail, not_run=True))


def _records_of_kind(
    read: ReadEntries, first_index: int, last_index: int, kind: bytes
) -> Iterator[bytes]:
    for entry in _read_entries(read, first_index, last_index):
        if entry.data[:1] == kind:
            yield entry.data[1:]


def _read_entries(read: ReadEntries, first_index: int, last_index: int) -> Iterator[LogEntry]:
    index = first_index
    while index <= last_index:
        result = read(index)
        if not isinstance(result, Success):
            raise DamagedLogError(result.failure())
        batch = result.unwrap()
        if not batch:
            detail = f"entry {index} is missing; the last one is {last_index}"
            raise DamagedLogError(Failure(Code.CORRUPT, "journal.replay", "", detail, not_run=True))
        for data in batch[: last_index - index + 1]:
            yield LogEntry(index, data)
            index += 1


def read_all(records: Iterable[bytes]) -> Result[tuple[bytes, ...], Failure]:
    """Reads all records into memory; meant for short logs."""
    try:
        return Success(tuple(records))
    except DamagedLogError as exc:
        return Err(exc.failure)
