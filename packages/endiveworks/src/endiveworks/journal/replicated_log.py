"""A partition's log that its owner replicates to several copies."""

import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Failure
from . import entries
from .api import OpenedLog
from .copy_sender import CopySender, RetryPolicy, SenderCallbacks
from .log_sequencer import sequenced_log
from .peer import CopyId, Peer, entry_reader
from .repair import repair
from .replication import (
    CopySet,
    ReplicationState,
    close,
    complete_acked,
    on_copy_failed,
    trim,
    write,
)
from .takeover import recover_copies

# Runs a function in the background.
Spawn = Callable[[Callable[[], None]], None]


class OpenedReplicatedLog(NamedTuple):
    """An open log and the functions that maintain its copies.

    Attributes:
        opened: The log and the records it holds.
        start_repair: Starts replacing failed copies and adding missing ones in the background.
            Called periodically, because a suitable host may become available later.
        copies: Returns the copies that must store an append before it is acknowledged.
        is_closed: Tells whether the log accepts no more records.
    """

    opened: OpenedLog
    start_repair: Callable[[], None]
    copies: Callable[[], tuple[CopyId, ...]]
    is_closed: Callable[[], bool]


def in_thread(task: Callable[[], None]) -> None:
    """Runs a function in a new daemon thread."""
    threading.Thread(target=task, name="journal-repair", daemon=True).start()


def open_replicated_log(
    partition: int,
    epoch: int,
    peers: Sequence[Peer],
    copy_set: CopySet,
    retry_policy: RetryPolicy = RetryPolicy(),  # noqa: B008 - immutable
    spawn: Spawn = in_thread,
) -> Result[OpenedReplicatedLog, Failure]:
    """Opens a log on the copies listed in the partition table; one reachable copy is enough.

    Unreachable copies are removed from the set, and the new set is in force in the table before
    this returns. They are replaced later, in the background.
    """
    result = recover_copies(partition, epoch, peers)
    if not isinstance(result, Success):
        return Err(result.failure())
    recovered = result.unwrap()
    if recovered.excluded:
        changed = copy_set.change([peer.copy for peer in recovered.peers])
        if not isinstance(changed, Success):
            return Err(changed.failure())
    state = ReplicationState(partition, epoch, recovered.state.last_index)
    for peer in recovered.peers:
        state.senders[peer.copy] = CopySender(
            peer, partition, epoch, state.last_index, retry_policy, state.lock
        )
        state.required.add(peer.copy)
    return Success(
        _start_log(
            state, recovered.peers[0], recovered.state.first_index, copy_set, retry_policy, spawn
        )
    )


def _start_log(
    state: ReplicationState,
    source: Peer,
    first_index: int,
    copy_set: CopySet,
    retry_policy: RetryPolicy,
    spawn: Spawn,
) -> OpenedReplicatedLog:
    def start_repair() -> None:
        with state.lock:
            if state.repairing or state.close_reason is not None:
                return
            state.repairing = True
        spawn(lambda: repair(state, copy_set, retry_policy, callbacks_of))

    def callbacks_of(copy: CopyId) -> SenderCallbacks:
        def failed(failure: Failure) -> None:
            on_copy_failed(state, copy, failure, copy_set)
            start_repair()

        return SenderCallbacks(lambda index: complete_acked(state), failed)

    def copies() -> tuple[CopyId, ...]:
        with state.lock:
            return tuple(sorted(state.required))

    def is_closed() -> bool:
        with state.lock:
            return state.close_reason is not None

    for copy, sender in tuple(state.senders.items()):
        sender.start(callbacks_of(copy))
    last_index = state.last_index
    log = sequenced_log(
        last_index,
        lambda index, batch: write(state, index, batch),
        lambda index: trim(state, index),
        lambda: close(state),
        state.lock,
    )
    records = entries.replay(entry_reader(source, state.partition), first_index, last_index)
    return OpenedReplicatedLog(OpenedLog(log, records, last_index), start_repair, copies, is_closed)
