"""Repair of an open log's set of copies: removes failed or surplus ones and adds new ones."""

import time
from collections.abc import Callable, Sequence

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .copy_sender import CopySender, RetryPolicy, SenderCallbacks
from .copy_state import CopyState, Reset, Seal
from .entries import READ_BYTES
from .peer import CopyId, Peer
from .replication import CopySet, ReplicationState, complete_acked, fail_log, trim
from .takeover import Throttle, copy_entries

_FILL_ATTEMPT_BITS = 20
# A larger chunk would delay control messages on the link.
_LINK_CHUNK_BYTES = 64 * 1024
_MAX_QUEUED_BYTES = 16 * 1024 * 1024
_RETRYABLE = frozenset({Code.TIMEOUT, Code.UNREACHABLE})

CallbacksOf = Callable[[CopyId], SenderCallbacks]


def repair(
    state: ReplicationState, copy_set: CopySet, retry_policy: RetryPolicy, callbacks_of: CallbacksOf
) -> None:
    """Changes the set until it has no failed copy and no copy to add or remove."""
    while True:
        changed = _repair_once(state, copy_set, retry_policy, callbacks_of)
        with state.lock:
            if state.close_reason is not None or not (
                changed or state.failed.keys() & state.required
            ):
                state.repairing = False
                return


def _repair_once(
    state: ReplicationState, copy_set: CopySet, retry_policy: RetryPolicy, callbacks_of: CallbacksOf
) -> bool:
    """Makes at most one change; returns whether another one may be needed."""
    with state.lock:
        if state.close_reason is not None:
            return False
        current = tuple(sorted(state.required))
        healthy = tuple(copy for copy in current if copy not in state.failed)
        failures = [state.failed[copy] for copy in current if copy in state.failed]
    if not healthy:
        fail_log(state, failures[0], copy_set)
        return False
    if failures:
        return _change(state, copy_set, retry_policy, healthy)
    surplus = copy_set.surplus(current)
    if surplus is not None:
        remaining = tuple(copy for copy in current if copy != surplus)
        return _change(state, copy_set, retry_policy, remaining)
    replacement = copy_set.replacement(current, state.recently_failed)
    if replacement is None:
        state.recently_failed.clear()
        return False
    added = _add_copy(state, copy_set, retry_policy, replacement, callbacks_of)
    if not added:
        state.recently_failed.add(replacement.copy)
    return state.close_reason is None


def _change(
    state: ReplicationState, copy_set: CopySet, retry_policy: RetryPolicy, copies: Sequence[CopyId]
) -> bool:
    """Puts a set in force, with retries; appends wait for both sets until the outcome is known."""
    while True:
        outcome = copy_set.change(copies)
        if isinstance(outcome, Success):
            break
        if outcome.failure().code not in _RETRYABLE:
            fail_log(state, outcome.failure(), copy_set)
            return False
        time.sleep(retry_policy.retry_s)
        with state.lock:
            if state.close_reason is not None:
                return False
    with state.lock:
        state.required = set(copies)
        for copy in set(state.senders) - state.required:
            state.senders.pop(copy).stop()
            state.failed.pop(copy, None)
    complete_acked(state)
    return True


def _add_copy(
    state: ReplicationState,
    copy_set: CopySet,
    retry_policy: RetryPolicy,
    peer: Peer,
    callbacks_of: CallbacksOf,
) -> bool:
    """Fills a new copy while appends continue, then adds it to the set."""
    with state.lock:
        if state.close_reason is not None or peer.copy in state.senders:
            return False
        state.adding_copy = True
        sender = CopySender(
            peer, state.partition, state.epoch, state.last_index, retry_policy, state.lock
        )
        state.senders[peer.copy] = sender
        last_index = state.last_index
        source = state.senders[min(state.required)].peer
    try:
        filled = _fill_copy(state, source, peer, last_index, _link_throttle(state, sender))
        if not isinstance(filled, Success):
            _remove_copy(state, peer.copy)
            return False
        sender.start(callbacks_of(peer.copy))
        with state.lock:
            if peer.copy in state.failed or state.close_reason is not None:
                _remove_copy(state, peer.copy)
                return False
            state.required.add(peer.copy)
            copies = tuple(sorted(state.required))
        return _change(state, copy_set, retry_policy, copies)
    finally:
        with state.lock:
            state.adding_copy = False
        if state.trim_index:
            trim(state, state.trim_index)


def _link_throttle(state: ReplicationState, sender: CopySender) -> Throttle:
    """Returns a throttle that limits the filling of a copy to this process's link budget.

    It stops the filling when a required copy has failed, because appends wait until that copy is
    removed from the set, or when too many entries are queued for the new copy.
    """

    def should_continue() -> bool:
        with state.lock:
            if state.close_reason is not None or state.failed.keys() & state.required:
                return False
            return sender.queued_bytes <= _MAX_QUEUED_BYTES

    def throttle(peer: Peer, records: Sequence[bytes]) -> Result[None, Failure]:
        size = sum(map(len, records))
        if peer.link is None or peer.link.wait(size, should_continue):
            return Success(None)
        detail = "filling the copy was stopped before the link budget allowed the next chunk"
        return Err(Failure(Code.TIMEOUT, "journal.fill", peer.copy.host, detail))

    return throttle


def _fill_copy(
    state: ReplicationState, source: Peer, target: Peer, last_index: int, throttle: Throttle
) -> Result[None, Failure]:
    """Copies all entries up to last_index, after waiting until they are stored."""
    stored = _wait_until_stored(state, last_index)
    if not isinstance(stored, Success):
        return Err(stored.failure())
    current = source.send(Seal(state.partition, state.epoch)).result()
    if not isinstance(current, Success):
        return Err(current.failure())
    first_index = current.unwrap().first_index
    with state.lock:
        state.fill_attempts += 1
        generation = state.epoch << _FILL_ATTEMPT_BITS | state.fill_attempts
    reset = Reset(state.partition, state.epoch, generation, first_index)
    emptied = target.send(reset).result()
    if not isinstance(emptied, Success):
        return Err(emptied.failure())
    target_state = CopyState(state.epoch, generation, first_index, last_index)
    crosses_regions = source.link is not None or target.link is not None
    chunk_bytes = _LINK_CHUNK_BYTES if crosses_regions else READ_BYTES
    return copy_entries(
        state.partition,
        state.epoch,
        source,
        target,
        first_index,
        target_state,
        throttle,
        chunk_bytes,
    )


def _wait_until_stored(state: ReplicationState, last_index: int) -> Result[int, Failure]:
    with state.lock:
        if state.close_reason is not None:
            return Err(state.close_reason)
        earlier = [item.fut for item in state.pending if item.last_index <= last_index]
    return earlier[-1].result() if earlier else Success(last_index)


def _remove_copy(state: ReplicationState, copy: CopyId) -> None:
    with state.lock:
        state.failed.pop(copy, None)
        sender = state.senders.pop(copy, None)
        if sender is not None:
            sender.stop()
