"""Takeover of a partition: seals its copies at a new epoch and makes them identical."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .copy_state import Append, CopyState, Request, Seal
from .entries import READ_BYTES
from .peer import Peer, charge_link

_STEP = "journal.takeover"

# Called before records are sent to or from a copy; may block. A Failure stops the transfer.
Throttle = Callable[[Peer, Sequence[bytes]], Result[None, Failure]]


class SealedCopy(NamedTuple):
    """A copy that was sealed at the new epoch, and its state."""

    peer: Peer
    state: CopyState


class RecoveredCopies(NamedTuple):
    """Copies that hold identical entries, and the copies that had to be excluded.

    Attributes:
        peers: The identical copies; the first is the one that was longest.
        state: State of the longest copy.
        excluded: Failure of each excluded copy.
    """

    peers: tuple[Peer, ...]
    state: CopyState
    excluded: Mapping[Peer, Failure]


def recover_copies(
    partition: int, epoch: int, peers: Sequence[Peer]
) -> Result[RecoveredCopies, Failure]:
    """Seals copies at an epoch and brings the shorter ones up to date with the longest.

    Every acknowledged entry is on every copy of the set, and a sealed copy refuses appends by
    earlier owners. So any sealed copy holds all acknowledged entries, and every other copy is a
    prefix of the longest.

    Returns:
        The copies, or a Failure: STALE_EPOCH when a later owner has sealed one, CORRUPT when two
        copies conflict, or STORAGE when none could be sealed.
    """
    outcomes = _send_all(peers, [Seal(partition, epoch)] * len(peers))
    stale = _first_stale(outcomes)
    if stale is not None:
        return Err(stale)
    sealed = [
        SealedCopy(peer, outcome.unwrap())
        for peer, outcome in zip(peers, outcomes, strict=True)
        if isinstance(outcome, Success)
    ]
    if not sealed:
        return Err(_none_sealed(partition, outcomes))
    excluded = {
        peer: outcome.failure()
        for peer, outcome in zip(peers, outcomes, strict=True)
        if not isinstance(outcome, Success)
    }
    sealed.sort(key=lambda copy: -copy.state.last_index)
    return _catch_up_all(partition, epoch, sealed, excluded)


def _catch_up_all(
    partition: int, epoch: int, sealed: Sequence[SealedCopy], excluded: dict[Peer, Failure]
) -> Result[RecoveredCopies, Failure]:
    longest = sealed[0]
    caught_up = [longest.peer]
    for copy in sealed[1:]:
        outcome = _catch_up(partition, epoch, longest, copy)
        if isinstance(outcome, Success):
            caught_up.append(copy.peer)
        elif outcome.failure().code in (Code.STALE_EPOCH, Code.CORRUPT):
            return Err(outcome.failure())
        else:
            excluded[copy.peer] = outcome.failure()
    return Success(RecoveredCopies(tuple(caught_up), longest.state, excluded))


def _catch_up(
    partition: int, epoch: int, source: SealedCopy, copy: SealedCopy
) -> Result[None, Failure]:
    """Appends the missing entries, after comparing the last entry with the source."""
    checked = _check_prefix(partition, source, copy)
    if not isinstance(checked, Success):
        return checked
    first_index = copy.state.last_index + 1
    return copy_entries(partition, epoch, source.peer, copy.peer, first_index, source.state)


def no_throttle(peer: Peer, records: Sequence[bytes]) -> Result[None, Failure]:
    """Charges the link budget without a delay, because callers wait for the partition to open."""
    charge_link(peer, records)
    return Success(None)


def copy_entries(
    partition: int,
    epoch: int,
    source: Peer,
    target: Peer,
    first_index: int,
    target_state: CopyState,
    throttle: Throttle = no_throttle,
    chunk_bytes: int = READ_BYTES,
) -> Result[None, Failure]:
    """Copies entries from one copy to another, starting at an index.

    Args:
        partition: Number of the partition.
        epoch: Epoch of its owner.
        source: Copy that has the entries.
        target: Copy to append them to.
        first_index: Index of the first entry.
        target_state: State that holds the index of the last entry to copy.
        throttle: Called with the entries of each chunk before they are sent.
        chunk_bytes: Maximum size of a chunk, unless a single entry is larger.
    """
    index = first_index
    while index <= target_state.last_index:
        fetched = source.fetch(partition, index, chunk_bytes)
        if not isinstance(fetched, Success):
            return Err(fetched.failure())
        records = fetched.unwrap().records[: target_state.last_index - index + 1]
        if not records:
            detail = f"partition {partition}: entry {index} is missing on {source.copy.host}"
            return Err(Failure(Code.CORRUPT, _STEP, source.copy.host, detail))
        for peer in (source, target):
            allowed = throttle(peer, records)
            if not isinstance(allowed, Success):
                return allowed
        appended = target.send(Append(partition, epoch, index, records)).result()
        if not isinstance(appended, Success):
            return Err(appended.failure())
        index += len(records)
    return Success(None)


def _check_prefix(partition: int, source: SealedCopy, copy: SealedCopy) -> Result[None, Failure]:
    index = copy.state.last_index
    if index < source.state.first_index or index < copy.state.first_index:
        return Success(None)
    expected = source.peer.fetch(partition, index, 1)
    actual = copy.peer.fetch(partition, index, 1)
    if not isinstance(expected, Success):
        return Err(expected.failure())
    if not isinstance(actual, Success):
        return Err(actual.failure())
    if expected.unwrap().records[:1] != actual.unwrap().records[:1]:
        detail = f"partition {partition}: entry {index} differs from {source.peer.copy.host}"
        return Err(Failure(Code.CORRUPT, _STEP, copy.peer.copy.host, detail))
    return Success(None)


def _send_all(
    peers: Sequence[Peer], requests: Sequence[Request]
) -> list[Result[CopyState, Failure]]:
    futures = [peer.send(req) for peer, req in zip(peers, requests, strict=True)]
    return [fut.result() for fut in futures]


def _first_stale(outcomes: Sequence[Result[CopyState, Failure]]) -> Failure | None:
    for outcome in outcomes:
        if not isinstance(outcome, Success) and outcome.failure().code is Code.STALE_EPOCH:
            return outcome.failure()
    return None


def _none_sealed(partition: int, outcomes: Sequence[Result[CopyState, Failure]]) -> Failure:
    reasons = "; ".join(str(outcome.failure()) for outcome in outcomes)
    detail = f"partition {partition}: no copy could be sealed: {reasons or 'it has no copies'}"
    return Failure(Code.STORAGE, _STEP, "", detail, not_run=True, retry_after_s=1.0)
