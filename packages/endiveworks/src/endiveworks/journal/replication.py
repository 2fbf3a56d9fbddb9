"""State of a replicated log: pending appends, and the copies that must store them."""

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
from .log_sequencer import completed
from .peer import CopyId, Peer

CLOSE_TIMEOUT_S = 10.0


class CopySet(NamedTuple):
    """Functions that choose and record a log's set of copies.

    Attributes:
        change: Puts a set in force in the partition table. It succeeds only if the caller's epoch
            is still in force there, and returns TIMEOUT or UNREACHABLE when the outcome is
            unknown.
        replacement: Returns a peer for a new copy, given the current set and the copies that
            failed recently; None if no host is available or there are enough copies.
        surplus: Returns a copy that may be removed from the current set, or None.
        on_lost: Called once with the reason why a log accepts no more records; must not block.
    """

    change: Callable[[Sequence[CopyId]], Result[None, Failure]]
    replacement: Callable[[Sequence[CopyId], Collection[CopyId]], Peer | None]
    surplus: Callable[[Sequence[CopyId]], CopyId | None]
    on_lost: Callable[[Failure], None]


class PendingAppend(NamedTuple):
    """An append that some required copy has not acknowledged yet."""

    last_index: int
    fut: AppendFuture


class ReplicationState:
    """State of an open log.

    Attributes:
        required: Copies that must have an entry before it is acknowledged. These are all copies
            that the set in force may contain, including while the outcome of a change is unknown.
        failed: Failed copies, which the set in force may still contain.
        recently_failed: Copies that are tried again only after all others.
        close_reason: Why the log accepts no more records, or None while it is open.
    """

    def __init__(self, partition: int, epoch: int, last_index: int) -> None:
        self.partition = partition
        self.epoch = epoch
        self.last_index = last_index
        self.lock = threading.RLock()
        self.senders: dict[CopyId, CopySender] = {}
        self.required: set[CopyId] = set()
        self.failed: dict[CopyId, Failure] = {}
        self.recently_failed: set[CopyId] = set()
        self.pending: deque[PendingAppend] = deque()
        self.close_reason: Failure | None = None
        self.repairing = False
        self.adding_copy = False
        self.fill_attempts = 0
        self.trim_index = 0


def complete_acked(state: ReplicationState) -> None:
    """Completes the pending appends that every required copy has on disk."""
    with state.lock:
        if state.close_reason is not None:
            return
        acked = _pop_acked(state)
    for item in acked:
        item.fut.set_result(Success(item.last_index))


def on_copy_failed(
    state: ReplicationState, copy: CopyId, failure: Failure, copy_set: CopySet
) -> None:
    """Records the failure of a copy; if a later owner has sealed it, the log fails."""
    if failure.code is Code.STALE_EPOCH:
        fail_log(state, failure, copy_set)
        return
    with state.lock:
        state.failed[copy] = failure
        state.recently_failed.add(copy)


def fail_log(state: ReplicationState, failure: Failure, copy_set: CopySet) -> None:
    """Closes the log with a failure; records of pending appends may or may not be stored."""
    with state.lock:
        if state.close_reason is not None:
            return
        pending = _stop(state, failure)
    for item in pending:
        item.fut.set_result(Err(failure._replace(not_run=False)))
    copy_set.on_lost(failure)


def trim(state: ReplicationState, first_index: int) -> None:
    """Trims every copy's entries below an index, or defers that while a copy is being filled."""
    with state.lock:
        state.trim_index = max(state.trim_index, first_index)
        if not state.adding_copy:
            for sender in state.senders.values():
                sender.trim(state.trim_index)


def write(state: ReplicationState, first_index: int, batch: Sequence[bytes]) -> AppendFuture:
    """Queues entries for replication to every copy."""
    with state.lock:
        if state.close_reason is not None:
            return completed(Err(state.close_reason))
        fut: AppendFuture = Future()
        state.last_index = first_index + len(batch) - 1
        state.pending.append(PendingAppend(state.last_index, fut))
        for sender in tuple(state.senders.values()):
            sender.enqueue(batch)
        return fut


def _pop_acked(state: ReplicationState) -> Iterable[PendingAppend]:
    acked_index = min(state.senders[copy].acked_index for copy in state.required)
    acked = []
    while state.pending and state.pending[0].last_index <= acked_index:
        acked.append(state.pending.popleft())
    return acked


def _stop(state: ReplicationState, failure: Failure) -> tuple[PendingAppend, ...]:
    state.close_reason = failure
    for sender in state.senders.values():
        sender.stop()
    pending = tuple(state.pending)
    state.pending.clear()
    return pending


def close(state: ReplicationState) -> None:
    """Waits up to CLOSE_TIMEOUT_S for pending appends, then closes the log."""
    with state.lock:
        last = state.pending[-1].fut if state.pending else None
    if last is not None:
        with contextlib.suppress(TimeoutError):
            last.result(CLOSE_TIMEOUT_S)
    failure = Failure(Code.NOT_OWNER, "journal.append", "", "the log is closed", not_run=True)
    with state.lock:
        pending = _stop(state, failure) if state.close_reason is None else ()
    for item in pending:
        item.fut.set_result(Err(failure._replace(not_run=False)))
