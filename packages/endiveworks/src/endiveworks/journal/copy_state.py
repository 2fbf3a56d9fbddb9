"""State machine of one copy: which requests it accepts and which frames they write."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from .frames import Frame, Kind, pack_state, unpack_state


class CopyState(NamedTuple):
    """State of one partition's copy.

    Attributes:
        epoch: Sealed epoch; appends at any other epoch are refused.
        generation: Number of the last reset, increasing across epochs. A repeated reset changes
            nothing; a delayed older one is refused.
        first_index: Index of the first record held.
        last_index: Index of the last record held; first_index - 1 when there is none.
    """

    epoch: int
    generation: int
    first_index: int
    last_index: int


class Append(NamedTuple):
    """Appends records, the first at first_index."""

    partition: int
    epoch: int
    first_index: int
    records: Sequence[bytes]


class Seal(NamedTuple):
    """Fences off epochs below this one; the copy must exist."""

    partition: int
    epoch: int


class Reset(NamedTuple):
    """Replaces the copy by an empty one that starts at first_index, sealed at this epoch."""

    partition: int
    epoch: int
    generation: int
    first_index: int


class Trim(NamedTuple):
    """Deletes the records below first_index."""

    partition: int
    epoch: int
    first_index: int


class Drop(NamedTuple):
    """Deletes a copy whose sealed epoch is this one or lower."""

    partition: int
    epoch: int


Request = Append | Seal | Reset | Trim | Drop


def plan_frames(
    state: CopyState | None, req: Request, read_record: Callable[[int], bytes]
) -> Result[tuple[Frame, ...], Failure]:
    """Returns the frames to write for a request, none if it was already applied.

    Args:
        state: State of the copy, or None if the host has none.
        req: The request.
        read_record: Returns the record held at an index.
    """
    if state is not None and req.epoch < state.epoch:
        return Err(_failure(Code.STALE_EPOCH, req, f"sealed at epoch {state.epoch}"))
    if isinstance(req, Reset):
        return _plan_reset(state, req)
    if isinstance(req, Drop):
        return Success(() if state is None else (Frame(Kind.DROP, req.partition, req.epoch, 0),))
    if state is None:
        return Err(_failure(Code.CONFLICT, req, "this host has no copy of the partition"))
    if isinstance(req, Seal):
        return Success(_plan_seal(state, req))
    if req.epoch != state.epoch:
        return Err(_failure(Code.CONFLICT, req, f"sealed at lower epoch {state.epoch}"))
    if isinstance(req, Trim):
        return Success(_plan_trim(state, req))
    return _plan_append(state, req, read_record)


def apply_frame(state: CopyState | None, frame: Frame) -> CopyState | None:
    """Returns the state of a copy after applying a frame."""
    if frame.kind is Kind.DROP:
        return None
    if frame.kind is Kind.STATE:
        generation, last_index = unpack_state(frame.body)
        return CopyState(frame.epoch, generation, frame.log_index, last_index)
    if state is None:
        raise ValueError(
            f"{frame.kind.name} frame for partition {frame.partition}, which has no copy"
        )
    if frame.kind is Kind.SEAL:
        return state._replace(epoch=frame.epoch)
    if frame.kind is Kind.TRIM:
        return state._replace(first_index=frame.log_index)
    return state._replace(last_index=max(state.last_index, frame.log_index))


def _plan_seal(state: CopyState, req: Seal) -> tuple[Frame, ...]:
    if req.epoch == state.epoch:
        return ()
    return (Frame(Kind.SEAL, req.partition, req.epoch, 0),)


def _plan_reset(state: CopyState | None, req: Reset) -> Result[tuple[Frame, ...], Failure]:
    if state is not None and req.generation < state.generation:
        return Err(_failure(Code.CONFLICT, req, f"later reset {state.generation} already applied"))
    if state is not None and req.generation == state.generation:
        return Success(())
    body = pack_state(req.generation, req.first_index - 1)
    return Success((Frame(Kind.STATE, req.partition, req.epoch, req.first_index, body),))


def _plan_trim(state: CopyState, req: Trim) -> tuple[Frame, ...]:
    first_index = min(req.first_index, state.last_index + 1)
    if first_index <= state.first_index:
        return ()
    return (Frame(Kind.TRIM, req.partition, req.epoch, first_index),)


def _plan_append(
    state: CopyState, req: Append, read_record: Callable[[int], bytes]
) -> Result[tuple[Frame, ...], Failure]:
    if req.first_index > state.last_index + 1:
        detail = f"records from {req.first_index} on leave a gap after {state.last_index}"
        return Err(_failure(Code.CONFLICT, req, detail))
    frames = []
    for index, record in enumerate(req.records, req.first_index):
        if index > state.last_index:
            frames.append(Frame(Kind.RECORD, req.partition, req.epoch, index, bytes(record)))
        elif index >= state.first_index and read_record(index) != record:
            return Err(_failure(Code.CONFLICT, req, f"record {index} differs from the one held"))
    return Success(tuple(frames))


def _failure(code: Code, req: Request, detail: str) -> Failure:
    step = f"journal.{type(req).__name__.lower()}"
    return Failure(code, step, "", f"partition {req.partition}: {detail}", not_run=True)
