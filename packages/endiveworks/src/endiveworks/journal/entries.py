"""The entries of a log: records, and snapshots that stand for earlier records."""

import struct
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure

READ_BYTES = 1024 * 1024

_RECORD = b"r"
_BEGIN = b"b"
_PART = b"p"
_END = b"e"
NO_RECORD = b"n"
_INDEX = struct.Struct("<Q")


class Entry(NamedTuple):
    """An entry of a log with its index."""

    position: int
    data: bytes


class Span(NamedTuple):
    """Where a whole snapshot lies, and the index up to which it stands for records."""

    begin: int
    end: int
    covers: int


class DamagedLogError(Exception):
    """Raised while records are read when a copy can't give them."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


# Returns entries from an index on, at least one if there is one.
ReadFrom = Callable[[int], Result[tuple[bytes, ...], Failure]]


def record(data: bytes) -> bytes:
    """Returns the entry for a record."""
    return _RECORD + data


def snapshot(covers: int, records: Iterable[bytes]) -> Iterator[bytes]:
    """Yields the entries of a snapshot."""
    yield _BEGIN + _INDEX.pack(covers)
    for data in records:
        yield _PART + data
    yield _END


def replay(read: ReadFrom, first_index: int, last_index: int) -> Iterator[bytes]:
    """Yields the records that a log stands for, those of a snapshot first.

    Raises:
        DamagedLogError: An entry, or the snapshot for removed ones, could not be read.
    """
    covers = first_index - 1
    if covers > 0:
        span = _find_snapshot(read, first_index, last_index)
        yield from _bodies(read, span.begin, span.end, _PART)
        covers = span.covers
    yield from _bodies(read, covers + 1, last_index, _RECORD)


def _find_snapshot(read: ReadFrom, first_index: int, last_index: int) -> Span:
    begin = covers = 0
    for entry in _entries(read, first_index, last_index):
        kind = entry.data[:1]
        if kind == _BEGIN:
            begin = entry.position
            (covers,) = _INDEX.unpack(entry.data[1:])
        elif kind == _END and begin and covers >= first_index - 1:
            return Span(begin, entry.position, covers)
    detail = f"no snapshot for the records below {first_index}"
    raise DamagedLogError(Failure(Code.CORRUPT, "journal.replay", "", detail, not_run=True))


def _bodies(read: ReadFrom, first: int, last: int, kind: bytes) -> Iterator[bytes]:
    for entry in _entries(read, first, last):
        if entry.data[:1] == kind:
            yield entry.data[1:]


def _entries(read: ReadFrom, first: int, last: int) -> Iterator[Entry]:
    index = first
    while index <= last:
        result = read(index)
        if not isinstance(result, Success):
            raise DamagedLogError(result.failure())
        batch = result.unwrap()
        if not batch:
            detail = f"entry {index} of {last} is not there"
            raise DamagedLogError(Failure(Code.CORRUPT, "journal.replay", "", detail, not_run=True))
        for data in batch[: last - index + 1]:
            yield Entry(index, data)
            index += 1


def drain(records: Iterable[bytes]) -> Result[tuple[bytes, ...], Failure]:
    """Reads all records at once, for logs known to be short."""
    try:
        return Success(tuple(records))
    except DamagedLogError as exc:
        return Err(exc.failure)
