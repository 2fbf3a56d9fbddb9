"""Interface of one partition's log, as used by the partition's owner."""

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from typing import NamedTuple

from returns.result import Result

from ..errors import Failure

AppendFuture = Future[Result[int, Failure]]


class Log(NamedTuple):
    """A log that is open for writing at one epoch.

    Attributes:
        append: Queues encoded records and returns a future that completes with the index of the
            last one once every copy has it on disk, or with a Failure. After a Failure the log
            accepts no more records, because this host has lost the partition or its copies.
            Without records it is a barrier: success means that the epoch was still in force on
            every copy after the call.
        close: Completes queued appends and releases the files.
        snapshot: Stores records that replace every record appended so far, including those not
            yet stored, then trims the replaced records. The future completes once the snapshot
            is stored.
        snapshot_due: Tells whether enough has been appended since the last snapshot that another
            one would shorten the next recovery.
    """

    append: Callable[[Sequence[bytes]], AppendFuture]
    close: Callable[[], None]
    snapshot: Callable[[Iterable[bytes]], AppendFuture]
    snapshot_due: Callable[[], bool]


class OpenedLog(NamedTuple):
    """A log, the records it already holds, and the index of its last entry.

    Records are read lazily during iteration; those of a snapshot come first.
    """

    log: Log
    records: Iterable[bytes]
    last_index: int = 0


# Takes a partition and an epoch: fences off lower epochs, then opens the log for writing.
OpenLog = Callable[[int, int], Result[OpenedLog, Failure]]
