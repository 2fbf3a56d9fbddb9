"""The log of one partition as its owner sees it."""

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from typing import NamedTuple

from returns.result import Result

from ..errors import Failure


class Log(NamedTuple):
    """An open log at one epoch.

    Attributes:
        append: Queues encoded records and returns a future that completes with the index of the
            last one once every copy has it on disk, or with a Failure. After a Failure the log
            takes no more records: its holder has lost the partition or its copies.
        close: Finishes queued appends and releases the files.
    """

    append: Callable[[Sequence[bytes]], "Future[Result[int, Failure]]"]
    close: Callable[[], None]


class OpenedLog(NamedTuple):
    """A log and the records it already holds, oldest first."""

    log: Log
    records: Iterable[bytes]


# Opens the log of a partition for writing at an epoch, after sealing lower epochs.
OpenLog = Callable[[int, int], Result[OpenedLog, Failure]]
