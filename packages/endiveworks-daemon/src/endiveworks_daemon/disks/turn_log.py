"""The log of one disk: records are appended and read by their index, and old ones are discarded."""

import asyncio
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

from endiveworks.errors import Failure
from endiveworks.journal.copy_state import Append, CopyState, Trim
from endiveworks.journal.entries import READ_BYTES, encode_record
from endiveworks.journal.file_log import Journal, open_journal
from endiveworks.journal.writer import SEGMENT_BYTES
from returns.result import Failure as Err
from returns.result import Result, Success

_DEPLOYMENT = "turns"
_PARTITION = 0  # A journal holds one log per partition; a disk uses a single log.
_FIRST_EPOCH = 1
# Segments of a disk. A segment is deleted as a whole, so their size is a part of the overhead.
SEGMENTS_OF_DISK = 32
MIN_SEGMENT_BYTES = 1024 * 1024  # Least size of a segment on a small disk.
# Kinds of entries that hold a record; earlier versions wrote some as part of a snapshot.
_RECORD_KINDS = (b"r", b"p")


class AppendError(OSError):
    """A failed append.

    Attributes:
        not_written: Whether nothing was written, so that the log goes on without these records.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.not_written = failure.not_run


class LoggedRecord(NamedTuple):
    """A record and its index in the log."""

    log_index: int
    data: bytes


class TurnLog:
    """The log of a disk, open for writing.

    Args:
        journal: The journal in the data folder.
        epoch: Epoch at which it was opened.
    """

    def __init__(self, journal: Journal, epoch: int) -> None:
        self._journal = journal
        self._store = journal.store
        self._epoch = epoch
        self._next_index = self._state().last_index + 1
        self._writing = 0
        self._may_write = asyncio.Event()
        self._may_write.set()

    @property
    def folder(self) -> str:
        """Random id of the data folder."""
        return self._store.folder

    @property
    def is_new(self) -> bool:
        """Whether the data folder was made by this process."""
        return self._epoch == _FIRST_EPOCH

    @property
    def next_index(self) -> int:
        """Index of the next record."""
        return self._next_index

    def record_count(self) -> int:
        """Returns the number of entries that are not discarded."""
        return self._next_index - self._state().first_index

    def record_bytes(self) -> int:
        """Returns the size of the entries that are not discarded."""
        return self._store.live_bytes()

    def used_bytes(self) -> int:
        """Returns the size of all files of the log."""
        return self._store.used_bytes()

    async def wait_until_writable(self) -> None:
        """Waits while the records after a failed write are given back to their writers."""
        await self._may_write.wait()

    async def append(self, records: Sequence[bytes | memoryview]) -> None:
        """Writes records at next_index, and waits until they and all earlier ones are synced.

        Must be called at a moment at which wait_until_writable does not wait.

        Raises:
            AppendError: The records, or earlier ones, were not synced.
        """
        entries = [encode_record(data) for data in records]  # type: ignore[arg-type]
        first_index = self._next_index
        self._next_index += len(entries)
        self._writing += 1
        fut = self._store.submit(Append(_PARTITION, self._epoch, first_index, entries))
        del entries
        try:
            result = await asyncio.shield(asyncio.wrap_future(fut))
        finally:
            self._writing -= 1
        if not isinstance(result, Success):
            self._may_write.clear()
        if not self._may_write.is_set() and not self._writing:
            # Indexes after a gap are refused.
            self._next_index = self._state().last_index + 1
            self._may_write.set()
        if not isinstance(result, Success):
            raise AppendError(result.failure())

    def read(self, log_index: int) -> memoryview:
        """Returns a record.

        Raises:
            OSError: It can't be read.
        """
        fetched = self._store.fetch(_PARTITION, log_index, 1)
        if not isinstance(fetched, Success):
            raise OSError(str(fetched.failure()))
        return memoryview(fetched.unwrap().records[0])[1:]

    def records(self) -> Iterator[LoggedRecord]:
        """Yields all records, oldest first; raises OSError if one can't be read."""
        state = self._state()
        index = state.first_index
        while index <= state.last_index:
            fetched = self._store.fetch(_PARTITION, index, READ_BYTES)
            if not isinstance(fetched, Success) or not fetched.unwrap().records:
                raise OSError(f"record {index} can't be read: {fetched}")
            for entry in fetched.unwrap().records:
                if entry[:1] in _RECORD_KINDS:
                    yield LoggedRecord(index, entry[1:])
                index += 1

    def discard_before(self, log_index: int) -> None:
        """Discards the records below an index, in the background."""
        if log_index > self._state().first_index:
            self._store.submit(Trim(_PARTITION, self._epoch, log_index))

    def close(self) -> None:
        """Finishes queued writes and releases the files."""
        self._journal.close()

    def _state(self) -> CopyState:
        state = self._store.state(_PARTITION)
        assert state is not None
        return state


def open_turn_log(data_dir: Path, disk_mb: float) -> Result[TurnLog, Failure]:
    """Opens the log in a data folder, which is made when it is absent.

    Args:
        data_dir: The data folder.
        disk_mb: Size of the disk in megabytes; 0 if it is not limited.
    """
    segment_bytes = SEGMENT_BYTES
    if disk_mb > 0:
        of_disk = round(disk_mb * 1_000_000 / SEGMENTS_OF_DISK)
        segment_bytes = max(MIN_SEGMENT_BYTES, min(segment_bytes, of_disk))
    result = open_journal(data_dir, _DEPLOYMENT, segment_bytes)
    if not isinstance(result, Success):
        return Err(result.failure())
    journal = result.unwrap()
    stored = journal.store.state(_PARTITION)
    epoch = stored.epoch + 1 if stored else _FIRST_EPOCH
    opened = journal.open_log(_PARTITION, epoch)
    if not isinstance(opened, Success):
        journal.close()
        return Err(opened.failure())
    return Success(TurnLog(journal, epoch))
