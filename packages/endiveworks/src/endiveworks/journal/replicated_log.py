"""The log of a partition kept on several copies, as its owner writes it."""

import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Failure
from . import entries
from .api import OpenedLog
from .copy_sender import CopySender, Patience, SenderEvents
from .peer import CopyId, Peer, reader
from .repair import repair
from .replication import CopySet, Replication, close, copy_failed, settle, trim, write
from .sequence import sequenced
from .takeover import agree

# Runs a function in the background.
Spawn = Callable[[Callable[[], None]], None]


class OpenedReplica(NamedTuple):
    """An open log and its upkeep.

    Attributes:
        opened: The log and the records it holds.
        check: Replaces failed copies and adds missing ones in the background; called now and
            then, since a host to copy to may come later.
        copies: Returns the copies that appends wait for.
        is_closed: Tells whether the log takes no more records.
    """

    opened: OpenedLog
    check: Callable[[], None]
    copies: Callable[[], tuple[CopyId, ...]]
    is_closed: Callable[[], bool]


def in_thread(work: Callable[[], None]) -> None:
    """Runs a function in a thread of its own."""
    threading.Thread(target=work, name="journal-repair", daemon=True).start()


def open_replicated_log(
    partition: int,
    epoch: int,
    peers: Sequence[Peer],
    copy_set: CopySet,
    patience: Patience = Patience(),  # noqa: B008 - immutable
    spawn: Spawn = in_thread,
) -> Result[OpenedReplica, Failure]:
    """Opens a log on the copies that the table names, of which any one is enough.

    Copies that can't be reached leave the set, which is in force in the table before this
    returns; their replacement goes on in the background.
    """
    agreed = agree(partition, epoch, peers)
    if not isinstance(agreed, Success):
        return Err(agreed.failure())
    found = agreed.unwrap()
    if found.lost:
        changed = copy_set.change([peer.copy for peer in found.peers])
        if not isinstance(changed, Success):
            return Err(changed.failure())
    state = Replication(partition, epoch, found.head.last_index)
    for peer in found.peers:
        state.senders[peer.copy] = CopySender(
            peer, partition, epoch, state.last_index, patience, state.lock
        )
        state.required.add(peer.copy)
    return Success(
        _opened(state, found.peers[0], found.head.first_index, copy_set, patience, spawn)
    )


def _opened(
    state: Replication,
    source: Peer,
    first_index: int,
    copy_set: CopySet,
    patience: Patience,
    spawn: Spawn,
) -> OpenedReplica:
    def check() -> None:
        with state.lock:
            if state.repairing or state.closed is not None:
                return
            state.repairing = True
        spawn(lambda: repair(state, copy_set, patience, events_of))

    def events_of(copy: CopyId) -> SenderEvents:
        def failed(failure: Failure) -> None:
            copy_failed(state, copy, failure, copy_set)
            check()

        return SenderEvents(lambda index: settle(state), failed)

    def copies() -> tuple[CopyId, ...]:
        with state.lock:
            return tuple(sorted(state.required))

    def is_closed() -> bool:
        with state.lock:
            return state.closed is not None

    for copy, sender in tuple(state.senders.items()):
        sender.start(events_of(copy))
    last_index = state.last_index
    log = sequenced(
        last_index,
        lambda index, batch: write(state, index, batch),
        lambda index: trim(state, index),
        lambda: close(state),
        state.lock,
    )
    records = entries.replay(reader(source, state.partition), first_index, last_index)
    return OpenedReplica(OpenedLog(log, records, last_index), check, copies, is_closed)
