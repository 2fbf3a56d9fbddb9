"""Keeps an open log's set of copies whole: drops failed or surplus copies, fills new ones."""

import time
from collections.abc import Callable, Sequence

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .copy_sender import CopySender, Patience, SenderEvents
from .copy_state import Head, Reset, Seal
from .entries import READ_BYTES
from .peer import CopyId, Peer
from .replication import CopySet, Replication, lose, settle, trim
from .takeover import Pace, copy_entries

_ATTEMPT_BITS = 20
# One piece must not hold up the control messages on the link for long.
_LINK_PIECE_BYTES = 64 * 1024
_MAX_WAITING_BYTES = 16 * 1024 * 1024
_RETRIED = frozenset({Code.TIMEOUT, Code.UNREACHABLE})

EventsOf = Callable[[CopyId], SenderEvents]


def repair(state: Replication, copy_set: CopySet, patience: Patience, events_of: EventsOf) -> None:
    """Changes the set until no copy in it has failed and no replacement is to be had."""
    while True:
        again = _repair_once(state, copy_set, patience, events_of)
        with state.lock:
            if state.closed is not None or not (again or state.failed.keys() & state.required):
                state.repairing = False
                return


def _repair_once(
    state: Replication, copy_set: CopySet, patience: Patience, events_of: EventsOf
) -> bool:
    """Makes one change; returns whether to look again."""
    with state.lock:
        if state.closed is not None:
            return False
        present = tuple(sorted(state.required))
        whole = tuple(copy for copy in present if copy not in state.failed)
        failures = [state.failed[copy] for copy in present if copy in state.failed]
    if not whole:
        lose(state, failures[0], copy_set)
        return False
    if failures:
        return _change(state, copy_set, patience, whole)
    surplus = copy_set.surplus(present)
    if surplus is not None:
        kept = tuple(copy for copy in present if copy != surplus)
        return _change(state, copy_set, patience, kept)
    replacement = copy_set.replacement(present, state.avoided)
    if replacement is None:
        state.avoided.clear()
        return False
    joined = _join(state, copy_set, patience, replacement, events_of)
    if not joined:
        state.avoided.add(replacement.copy)
    return state.closed is None


def _change(
    state: Replication, copy_set: CopySet, patience: Patience, wanted: Sequence[CopyId]
) -> bool:
    """Puts a set in force; until that is settled, appends wait for both sets."""
    while True:
        outcome = copy_set.change(wanted)
        if isinstance(outcome, Success):
            break
        if outcome.failure().code not in _RETRIED:
            lose(state, outcome.failure(), copy_set)
            return False
        time.sleep(patience.retry_s)
        with state.lock:
            if state.closed is not None:
                return False
    with state.lock:
        state.required = set(wanted)
        for copy in set(state.senders) - state.required:
            state.senders.pop(copy).stop()
            state.failed.pop(copy, None)
    settle(state)
    return True


def _join(
    state: Replication,
    copy_set: CopySet,
    patience: Patience,
    peer: Peer,
    events_of: EventsOf,
) -> bool:
    """Fills a new copy while appends go on, then puts it into the set."""
    with state.lock:
        if state.closed is not None or peer.copy in state.senders:
            return False
        state.joining = True
        sender = CopySender(
            peer, state.partition, state.epoch, state.last_index, patience, state.lock
        )
        state.senders[peer.copy] = sender
        base = state.last_index
        source = state.senders[min(state.required)].peer
    try:
        filled = _fill(state, source, peer, base, _paced(state, sender))
        if not isinstance(filled, Success):
            _abandon(state, peer.copy)
            return False
        sender.start(events_of(peer.copy))
        with state.lock:
            if peer.copy in state.failed or state.closed is not None:
                _abandon(state, peer.copy)
                return False
            state.required.add(peer.copy)
            wanted = tuple(sorted(state.required))
        return _change(state, copy_set, patience, wanted)
    finally:
        with state.lock:
            state.joining = False
        if state.trim_to:
            trim(state, state.trim_to)


def _paced(state: Replication, sender: CopySender) -> Pace:
    """Returns a pace that keeps the filling of a copy within the share of the link.

    It ends the filling when a copy that appends wait for has failed, since that one has to leave
    the set first, or when too many entries wait for the new copy.
    """

    def goes_on() -> bool:
        with state.lock:
            if state.closed is not None or state.failed.keys() & state.required:
                return False
            return sender.waiting_bytes <= _MAX_WAITING_BYTES

    def pace(peer: Peer, records: Sequence[bytes]) -> Result[None, Failure]:
        size = sum(map(len, records))
        if peer.link is None or peer.link.wait(size, goes_on):
            return Success(None)
        detail = "the filling of the copy was ended"
        return Err(Failure(Code.TIMEOUT, "journal.fill", peer.copy.host, detail))

    return pace


def _fill(
    state: Replication, source: Peer, target: Peer, base: int, pace: Pace
) -> Result[None, Failure]:
    """Copies everything up to an index that was appended, but may not be stored yet."""
    stored = _wait_stored(state, base)
    if not isinstance(stored, Success):
        return Err(stored.failure())
    present = source.send(Seal(state.partition, state.epoch)).result()
    if not isinstance(present, Success):
        return Err(present.failure())
    first_index = present.unwrap().first_index
    with state.lock:
        state.joins += 1
        generation = state.epoch << _ATTEMPT_BITS | state.joins
    reset = Reset(state.partition, state.epoch, generation, first_index)
    started = target.send(reset).result()
    if not isinstance(started, Success):
        return Err(started.failure())
    upto = Head(state.epoch, generation, first_index, base)
    crosses = source.link is not None or target.link is not None
    piece_bytes = _LINK_PIECE_BYTES if crosses else READ_BYTES
    return copy_entries(
        state.partition, state.epoch, source, target, first_index, upto, pace, piece_bytes
    )


def _wait_stored(state: Replication, base: int) -> Result[int, Failure]:
    with state.lock:
        if state.closed is not None:
            return Err(state.closed)
        before = [item.fut for item in state.waiting if item.last_index <= base]
    return before[-1].result() if before else Success(base)


def _abandon(state: Replication, copy: CopyId) -> None:
    with state.lock:
        state.failed.pop(copy, None)
        sender = state.senders.pop(copy, None)
        if sender is not None:
            sender.stop()
