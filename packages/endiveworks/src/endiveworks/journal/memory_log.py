"""Logs kept in memory, for tests and for embedding without a data folder."""

from collections.abc import Sequence

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from . import entries
from .api import AppendFuture, OpenedLog, OpenLog
from .log_sequencer import completed, sequenced_log


class _MemoryCopy:
    """Log entries of one partition by index, a dict so that the oldest can be trimmed."""

    def __init__(self) -> None:
        self.epoch = 0
        self.first_index = 1
        self.items: dict[int, bytes] = {}

    @property
    def last_index(self) -> int:
        return self.first_index + len(self.items) - 1


def open_memory_logs() -> OpenLog:
    """Returns a function that opens logs and keeps their entries in memory."""
    copies: dict[int, _MemoryCopy] = {}

    def open_log(partition: int, epoch: int) -> Result[OpenedLog, Failure]:
        copy = copies.setdefault(partition, _MemoryCopy())
        if epoch < copy.epoch:
            return Err(_stale(partition, copy.epoch))
        copy.epoch = epoch
        return Success(_open_at_epoch(copy, partition, epoch))

    return open_log


def _open_at_epoch(copy: _MemoryCopy, partition: int, epoch: int) -> OpenedLog:
    last_index = copy.last_index

    def read(index: int) -> Result[tuple[bytes, ...], Failure]:
        return Success(tuple(copy.items[idx] for idx in range(index, last_index + 1)))

    def write(first_index: int, batch: Sequence[bytes]) -> AppendFuture:
        if epoch != copy.epoch:
            return completed(Err(_stale(partition, copy.epoch)))
        copy.items.update(enumerate(batch, first_index))
        return completed(Success(copy.last_index))

    def trim(first_index: int) -> None:
        for index in range(copy.first_index, first_index):
            del copy.items[index]
        copy.first_index = max(copy.first_index, first_index)

    log = sequenced_log(last_index, write, trim, lambda: None)
    return OpenedLog(log, entries.replay(read, copy.first_index, last_index), last_index)


def _stale(partition: int, epoch: int) -> Failure:
    detail = f"partition {partition}: sealed at epoch {epoch}"
    return Failure(Code.STALE_EPOCH, "journal.append", "", detail, not_run=True)
