"""The log of one partition as its owner sees it."""

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from typing import NamedTuple

from returns.result import Result

from ..errors import Failure

AppendFuture = Future[Result[int, Failure]]


class Log(NamedTuple):
    """An open log at one epoch.

    Attributes:
        append: Queues encoded records and returns a future that completes with the index of the
            last one once every copy has it on disk, or with a Failure. After a Failure the log
            takes no more records: its holder has lost the partition or its copies. Without
            records it is a barrier: its success shows that the epoch was still in force on every
            copy after the call.
        close: Finishes queued appends and releases the files.
        snapshot: Stores records that stand for every record appended so far, stored or not yet,
            then lets those go. The future completes once the snapshot is stored.
        snapshot_due: Tells whether so much has been appended since the last snapshot that
            another one would shorten the next opening.
    """

    append: Callable[[Sequence[bytes]], AppendFuture]
    close: Callable[[], None]
    snapshot: Callable[[Iterable[bytes]], AppendFuture]
    snapshot_due: Callable[[], bool]


class OpenedLog(NamedTuple):
    """A log, the records it already holds, and the index up to which they stand.

    The records are read while they are iterated over; records of a snapshot come first.
    """

    log: Log
    records: Iterable[bytes]
    last_index: int = 0


# Opens the log of a partition for writing at an epoch, after sealing lower epochs.
OpenLog = Callable[[int, int], Result[OpenedLog, Failure]]
