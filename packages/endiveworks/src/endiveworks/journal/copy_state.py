"""Rules for the copy of one partition: which requests it accepts and what they change."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .frames import Frame, Kind, pack_head, unpack_head


class Head(NamedTuple):
    """State of one copy.

    Attributes:
        epoch: Sealed epoch; appends at any other are refused.
        generation: Number of the last reset, growing over all epochs; a repeated reset changes
            nothing and one that arrives late is refused.
        first_index: Index of the first record held.
        last_index: Index of the last record held; first_index - 1 when there is none.
    """

    epoch: int
    generation: int
    first_index: int
    last_index: int


class Append(NamedTuple):
    """Adds records from first_index on."""

    partition: int
    epoch: int
    first_index: int
    records: Sequence[bytes]


class Seal(NamedTuple):
    """Refuses epochs below this one from here on; the copy must exist."""

    partition: int
    epoch: int


class Reset(NamedTuple):
    """Starts an empty copy whose first record will have first_index, and seals it."""

    partition: int
    epoch: int
    generation: int
    first_index: int


class Trim(NamedTuple):
    """Lets records below first_index go."""

    partition: int
    epoch: int
    first_index: int


class Drop(NamedTuple):
    """Lets a copy go that was last sealed at this epoch or a lower one."""

    partition: int
    epoch: int


Request = Append | Seal | Reset | Trim | Drop


def decide(
    head: Head | None, req: Request, held: Callable[[int], bytes]
) -> Result[tuple[Frame, ...], Failure]:
    """Returns the frames to write for a request, none when it has been done before.

    Args:
        head: State of the copy, or None if none is kept.
        req: The request.
        held: Returns the record held at an index.
    """
    if head is not None and req.epoch < head.epoch:
        return Err(_failure(Code.STALE_EPOCH, req, f"sealed at epoch {head.epoch}"))
    if isinstance(req, Reset):
        return _reset(head, req)
    if isinstance(req, Drop):
        return Success(() if head is None else (Frame(Kind.DROP, req.partition, req.epoch, 0),))
    if head is None:
        return Err(_failure(Code.CONFLICT, req, "no copy of the partition is kept here"))
    if isinstance(req, Seal):
        return Success(_seal(head, req))
    if req.epoch != head.epoch:
        return Err(_failure(Code.CONFLICT, req, f"sealed at epoch {head.epoch} only"))
    if isinstance(req, Trim):
        return Success(_trim(head, req))
    return _append(head, req, held)


def advance(head: Head | None, frame: Frame) -> Head | None:
    """Returns the state of a copy after a frame."""
    if frame.kind is Kind.DROP:
        return None
    if frame.kind is Kind.HEAD:
        generation, last_index = unpack_head(frame.body)
        return Head(frame.epoch, generation, frame.position, last_index)
    if head is None:
        raise ValueError(f"frame {frame.kind.name} of partition {frame.partition} has no head")
    if frame.kind is Kind.SEAL:
        return head._replace(epoch=frame.epoch)
    if frame.kind is Kind.TRIM:
        return head._replace(first_index=frame.position)
    return head._replace(last_index=max(head.last_index, frame.position))


def _seal(head: Head, req: Seal) -> tuple[Frame, ...]:
    if req.epoch == head.epoch:
        return ()
    return (Frame(Kind.SEAL, req.partition, req.epoch, 0),)


def _reset(head: Head | None, req: Reset) -> Result[tuple[Frame, ...], Failure]:
    if head is not None and req.generation < head.generation:
        return Err(_failure(Code.CONFLICT, req, f"reset {head.generation} has been done since"))
    if head is not None and req.generation == head.generation:
        return Success(())
    body = pack_head(req.generation, req.first_index - 1)
    return Success((Frame(Kind.HEAD, req.partition, req.epoch, req.first_index, body),))


def _trim(head: Head, req: Trim) -> tuple[Frame, ...]:
    first_index = min(req.first_index, head.last_index + 1)
    if first_index <= head.first_index:
        return ()
    return (Frame(Kind.TRIM, req.partition, req.epoch, first_index),)


def _append(
    head: Head, req: Append, held: Callable[[int], bytes]
) -> Result[tuple[Frame, ...], Failure]:
    if req.first_index > head.last_index + 1:
        detail = f"records from {req.first_index} leave a gap after {head.last_index}"
        return Err(_failure(Code.CONFLICT, req, detail))
    frames = []
    for index, record in enumerate(req.records, req.first_index):
        if index > head.last_index:
            frames.append(Frame(Kind.RECORD, req.partition, req.epoch, index, bytes(record)))
        elif index >= head.first_index and held(index) != record:
            return Err(_failure(Code.CONFLICT, req, f"record {index} differs from the one held"))
    return Success(tuple(frames))


def _failure(code: Code, req: Request, detail: str) -> Failure:
    step = f"journal.{type(req).__name__.lower()}"
    return Failure(code, step, "", f"partition {req.partition}: {detail}", not_run=True)
