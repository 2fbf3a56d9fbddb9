"""State of a log on several copies: what waits, and which copies must have it."""

import contextlib
import threading
from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from concurrent.futures import Future
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .api import AppendFuture
from .copy_sender import CopySender
from .peer import CopyId, Peer
from .sequence import completed

CLOSE_TIMEOUT_S = 10.0


class CopySet(NamedTuple):
    """How a log's set of copies is kept up.

    Attributes:
        change: Puts a set in force in the table of partitions. It succeeds only if the caller's
            epoch is still in force there, and returns TIMEOUT or UNREACHABLE while that can't be
            told.
        replacement: Returns a host to copy to, given the present set and the copies that failed
            lately, or None if there is none or there are enough copies.
        surplus: Returns a copy that may leave the present set, or None.
        lost: Is told once why a log takes no more records; it must not block.
    """

    change: Callable[[Sequence[CopyId]], Result[None, Failure]]
    replacement: Callable[[Sequence[CopyId], Collection[CopyId]], Peer | None]
    surplus: Callable[[Sequence[CopyId]], CopyId | None]
    lost: Callable[[Failure], None]


class Waiting(NamedTuple):
    """An append that is not on every copy yet."""

    last_index: int
    fut: AppendFuture


class Replication:
    """State of an open log.

    Attributes:
        required: Copies that must have an entry before it is acknowledged: every copy that the
            set in force can contain, also while a change of the set is not settled.
        failed: Copies given up, which the set in force may still contain.
        avoided: Copies that failed lately and are not tried again before all others.
    """

    def __init__(self, partition: int, epoch: int, last_index: int) -> None:
        self.partition = partition
        self.epoch = epoch
        self.last_index = last_index
        self.lock = threading.RLock()
        self.senders: dict[CopyId, CopySender] = {}
        self.required: set[CopyId] = set()
        self.failed: dict[CopyId, Failure] = {}
        self.avoided: set[CopyId] = set()
        self.waiting: deque[Waiting] = deque()
        self.closed: Failure | None = None
        self.repairing = False
        self.joining = False
        self.joins = 0
        self.trim_to = 0


def settle(state: Replication) -> None:
    """Completes the appends that every required copy has on disk."""
    with state.lock:
        if state.closed is not None:
            return
        done = _take_done(state)
    for item in done:
        item.fut.set_result(Success(item.last_index))


def copy_failed(state: Replication, copy: CopyId, failure: Failure, copy_set: CopySet) -> None:
    """Takes note of a copy that is given up; a later owner's seal ends the log."""
    if failure.code is Code.STALE_EPOCH:
        lose(state, failure, copy_set)
        return
    with state.lock:
        state.failed[copy] = failure
        state.avoided.add(copy)


def lose(state: Replication, failure: Failure, copy_set: CopySet) -> None:
    """Ends the log: appends under way fail, and their records may or may not be kept."""
    with state.lock:
        if state.closed is not None:
            return
        waiting = _shut(state, failure)
    for item in waiting:
        item.fut.set_result(Err(failure._replace(not_run=False)))
    copy_set.lost(failure)


def trim(state: Replication, first_index: int) -> None:
    """Lets every copy drop entries below an index, once no new copy is being filled."""
    with state.lock:
        state.trim_to = max(state.trim_to, first_index)
        if not state.joining:
            for sender in state.senders.values():
                sender.trim(state.trim_to)


def write(state: Replication, first_index: int, batch: Sequence[bytes]) -> AppendFuture:
    """Queues entries for every copy."""
    with state.lock:
        if state.closed is not None:
            return completed(Err(state.closed))
        fut: AppendFuture = Future()
        state.last_index = first_index + len(batch) - 1
        state.waiting.append(Waiting(state.last_index, fut))
        for sender in tuple(state.senders.values()):
            sender.put(batch)
        return fut


def _take_done(state: Replication) -> Iterable[Waiting]:
    acked = min(state.senders[copy].acked for copy in state.required)
    done = []
    while state.waiting and state.waiting[0].last_index <= acked:
        done.append(state.waiting.popleft())
    return done


def _shut(state: Replication, failure: Failure) -> tuple[Waiting, ...]:
    state.closed = failure
    for sender in state.senders.values():
        sender.stop()
    waiting = tuple(state.waiting)
    state.waiting.clear()
    return waiting


def close(state: Replication) -> None:
    """Waits a limited time for the appends under way and takes no more."""
    with state.lock:
        last = state.waiting[-1].fut if state.waiting else None
    if last is not None:
        with contextlib.suppress(TimeoutError):
            last.result(CLOSE_TIMEOUT_S)
    failure = Failure(Code.NOT_OWNER, "journal.append", "", "the log is closed", not_run=True)
    with state.lock:
        waiting = _shut(state, failure) if state.closed is None else ()
    for item in waiting:
        item.fut.set_result(Err(failure._replace(not_run=False)))
