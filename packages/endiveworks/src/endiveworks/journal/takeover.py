"""Seals the copies of a partition at a new epoch and makes them equal."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .copy_state import Append, Head, Request, Seal
from .entries import READ_BYTES
from .peer import Peer, spend

_STEP = "journal.takeover"

# Is told of records before they are sent to or from a copy, and may hold them back.
Pace = Callable[[Peer, Sequence[bytes]], Result[None, Failure]]


class Sealed(NamedTuple):
    """A copy that refuses lower epochs, and its state."""

    peer: Peer
    head: Head


class Agreed(NamedTuple):
    """Copies that hold the same entries, and the copies that could not be reached.

    Attributes:
        peers: The equal copies, the one that was longest first.
        head: State of the longest copy.
        lost: Why each of the other copies is left out.
    """

    peers: tuple[Peer, ...]
    head: Head
    lost: Mapping[Peer, Failure]


def agree(partition: int, epoch: int, peers: Sequence[Peer]) -> Result[Agreed, Failure]:
    """Seals copies at an epoch and brings each up to the longest.

    Every acknowledged entry is on every copy of the set, and a sealed copy takes no more from
    earlier owners. So any one copy that is sealed has all that was ever acknowledged, and the
    longest has the others as its beginning.

    Returns:
        The copies, or a Failure: STALE_EPOCH when a later owner has sealed one, CORRUPT when two
        copies contradict each other, or the failure of a copy when none could be sealed.
    """
    outcomes = _send_all(peers, [Seal(partition, epoch)] * len(peers))
    stale = _first_stale(outcomes)
    if stale is not None:
        return Err(stale)
    sealed = [
        Sealed(peer, outcome.unwrap())
        for peer, outcome in zip(peers, outcomes, strict=True)
        if isinstance(outcome, Success)
    ]
    if not sealed:
        return Err(_none_sealed(partition, outcomes))
    lost = {
        peer: outcome.failure()
        for peer, outcome in zip(peers, outcomes, strict=True)
        if not isinstance(outcome, Success)
    }
    sealed.sort(key=lambda copy: -copy.head.last_index)
    return _make_equal(partition, epoch, sealed, lost)


def _make_equal(
    partition: int, epoch: int, sealed: Sequence[Sealed], lost: dict[Peer, Failure]
) -> Result[Agreed, Failure]:
    longest = sealed[0]
    equal = [longest.peer]
    for copy in sealed[1:]:
        outcome = _bring_up(partition, epoch, longest, copy)
        if isinstance(outcome, Success):
            equal.append(copy.peer)
        elif outcome.failure().code in (Code.STALE_EPOCH, Code.CORRUPT):
            return Err(outcome.failure())
        else:
            lost[copy.peer] = outcome.failure()
    return Success(Agreed(tuple(equal), longest.head, lost))


def _bring_up(partition: int, epoch: int, source: Sealed, copy: Sealed) -> Result[None, Failure]:
    """Appends what a copy lacks; its last entry is checked against the source first."""
    checked = _check_prefix(partition, source, copy)
    if not isinstance(checked, Success):
        return checked
    first_index = copy.head.last_index + 1
    return copy_entries(partition, epoch, source.peer, copy.peer, first_index, source.head)


def at_once(peer: Peer, records: Sequence[bytes]) -> Result[None, Failure]:
    """Lets records go at once, as callers wait for a partition that is being opened."""
    spend(peer, records)
    return Success(None)


def copy_entries(
    partition: int,
    epoch: int,
    source: Peer,
    target: Peer,
    first_index: int,
    upto: Head,
    pace: Pace = at_once,
    piece_bytes: int = READ_BYTES,
) -> Result[None, Failure]:
    """Copies entries from one copy to another, from an index up to the last of a state.

    Args:
        partition: Number of the partition.
        epoch: Epoch of its owner.
        source: Copy that has the entries.
        target: Copy that gets them.
        first_index: Index of the first entry.
        upto: State up to which they are copied.
        pace: Is told of the entries of each piece.
        piece_bytes: Bytes that are read and sent at once, unless one entry is larger.
    """
    index = first_index
    while index <= upto.last_index:
        fetched = source.fetch(partition, index, piece_bytes)
        if not isinstance(fetched, Success):
            return Err(fetched.failure())
        records = fetched.unwrap().records[: upto.last_index - index + 1]
        if not records:
            detail = f"partition {partition}: entry {index} is not on {source.copy.host}"
            return Err(Failure(Code.CORRUPT, _STEP, source.copy.host, detail))
        for peer in (source, target):
            paced = pace(peer, records)
            if not isinstance(paced, Success):
                return paced
        appended = target.send(Append(partition, epoch, index, records)).result()
        if not isinstance(appended, Success):
            return Err(appended.failure())
        index += len(records)
    return Success(None)


def _check_prefix(partition: int, source: Sealed, copy: Sealed) -> Result[None, Failure]:
    index = copy.head.last_index
    if index < source.head.first_index or index < copy.head.first_index:
        return Success(None)
    here = source.peer.fetch(partition, index, 1)
    there = copy.peer.fetch(partition, index, 1)
    if not isinstance(here, Success):
        return Err(here.failure())
    if not isinstance(there, Success):
        return Err(there.failure())
    if here.unwrap().records[:1] != there.unwrap().records[:1]:
        detail = f"partition {partition}: entry {index} differs from {source.peer.copy.host}"
        return Err(Failure(Code.CORRUPT, _STEP, copy.peer.copy.host, detail))
    return Success(None)


def _send_all(peers: Sequence[Peer], requests: Sequence[Request]) -> list[Result[Head, Failure]]:
    futures = [peer.send(req) for peer, req in zip(peers, requests, strict=True)]
    return [fut.result() for fut in futures]


def _first_stale(outcomes: Sequence[Result[Head, Failure]]) -> Failure | None:
    for outcome in outcomes:
        if not isinstance(outcome, Success) and outcome.failure().code is Code.STALE_EPOCH:
            return outcome.failure()
    return None


def _none_sealed(partition: int, outcomes: Sequence[Result[Head, Failure]]) -> Failure:
    reasons = "; ".join(str(outcome.failure()) for outcome in outcomes)
    detail = f"partition {partition}: no copy could be sealed: {reasons or 'there is none'}"
    return Failure(Code.STORAGE, _STEP, "", detail, not_run=True, retry_after_s=1.0)
