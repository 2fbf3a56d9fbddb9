"""Finds the owner of a program and follows its calls, also when the owner changes."""

import random
import secrets
import time
from collections.abc import Callable, Iterator
from contextlib import closing
from typing import NamedTuple, TypeVar

from endiveworks.calls.stream import Ending, Piece
from endiveworks.errors import Code, Failure
from endiveworks.programs.attempt import PROBLEM_JSON
from endiveworks.programs.requests import CallRequest, partition_of
from returns.result import Failure as Err
from returns.result import Result, Success

from .node import Command, Node
from .outlet import Outlet

_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 0.5
# Failures of an owner that has lost the partition; the next owner brings its calls to their end.
_LOST = frozenset({Code.NOT_OWNER, Code.STORAGE, Code.STALE_EPOCH})
# Failures after which another host may own the partition, or soon will.
_MOVED = _LOST | {Code.UNREACHABLE, Code.TIMEOUT}

T = TypeVar("T")


class Owners(NamedTuple):
    """Where the owners of partitions are.

    Attributes:
        node_for: Returns the node that owns a partition, or says when to ask again.
        pick: Returns a partition for a new program; prefers those of this host.
        moved: Is told that a partition's owner did not answer or owns it no more.
        patience_s: Seconds to wait for a partition to find its next owner.
    """

    node_for: Callable[[int], Result[Node, Failure]]
    pick: Callable[[], Result[int, Failure]]
    moved: Callable[[int, Failure], None]
    patience_s: float


class _Patience:
    """Time left until a partition that has lost its owner must have its next one.

    It counts from the owner's first failure, since an answer may take long at a good owner, and a
    process that was paused has to look for the next one as long as any other.
    """

    def __init__(self, patience_s: float) -> None:
        self._patience_s = patience_s
        self._deadline_s: float | None = None

    def is_over(self, pause_s: float) -> bool:
        """Notes a failure; returns whether no time is left for a pause and another try."""
        now_s = time.monotonic()
        if self._deadline_s is None:
            self._deadline_s = now_s + self._patience_s
        return now_s + pause_s > self._deadline_s

    def renew(self) -> None:
        """Notes that the owner has answered."""
        self._deadline_s = None


def open_program(owners: Owners, tenant: str, body: bytes, parent: str) -> Result[bytes, Failure]:
    """Opens a program, a sub-agent's in the partition of its parent.

    Args:
        owners: Where owners are.
        tenant: Tenant of the caller.
        body: An encoded OpenRequest with a request key, so that it can be repeated.
        parent: Parent of a sub-agent's program; empty for others.
    """
    if parent:
        return manage(owners, Command("open", parent, tenant, body))
    picked = owners.pick()
    if not isinstance(picked, Success):
        return Err(picked.failure())
    place = f"{picked.unwrap():04x}-"
    return manage(owners, Command("open", place, tenant, body))


def manage(owners: Owners, command: Command) -> Result[bytes, Failure]:
    """Runs a command at the owner of its program."""
    return _at_owner(owners, command.program, lambda node: node.manage(command))


def follow(owners: Owners, req: CallRequest, outlet: Outlet) -> Iterator[Piece]:
    """Hands a call to its owner and yields its answer as it grows; the last piece has an ending.

    When the owner changes in the middle, the answer goes on if the new owner has the same bytes.
    If they differ, the answer ends with a failure: the caller asks again and gets it whole.

    Args:
        owners: Where owners are.
        req: The call.
        outlet: Where bytes go directly once it is open; pieces then have what is left to send.
    """
    offset = generation = 0
    patience = _Patience(owners.patience_s)
    while True:
        submitted = _at_owner(owners, req.program, lambda node: node.submit(req))
        if not isinstance(submitted, Success):
            yield _failed(offset, submitted.failure())
            return
        for piece in _read(owners, req, offset, outlet):
            if generation and piece.generation not in (0, generation):
                yield _failed(offset, _differs(req))
                return
            if _is_moved(piece):
                # Bytes before it may have flowed to the caller already.
                offset = piece.offset
                break
            patience.renew()
            generation = outlet.generation = generation or piece.generation
            offset = piece.offset + len(piece.data)
            if piece.data or piece.ending is not None:
                yield piece
            if piece.ending is not None:
                return
        if patience.is_over(_FIRST_PAUSE_S):
            detail = "the call's owner can't be reached"
            lost = Failure(Code.UNREACHABLE, "forward.follow", "", detail, retry_after_s=1.0)
            yield _failed(offset, lost)
            return
        time.sleep(_FIRST_PAUSE_S)


def new_request_key() -> str:
    """Returns an idempotency key for a request whose caller gave none."""
    return f"auto-{secrets.token_hex(16)}"


def _read(owners: Owners, req: CallRequest, offset: int, outlet: Outlet) -> Iterator[Piece]:
    """Yields pieces until the owner fails to give one."""
    partition = partition_of(req.program) or 0
    found = owners.node_for(partition)
    if not isinstance(found, Success):
        return
    with closing(found.unwrap().pieces(req.program, req.call, offset, outlet)) as pieces:
        for outcome in pieces:
            if not isinstance(outcome, Success):
                if outcome.failure().code in _MOVED:
                    owners.moved(partition, outcome.failure())
                return
            yield outcome.unwrap()


def _is_moved(piece: Piece) -> bool:
    failure = piece.ending.failure if piece.ending is not None else None
    return failure is not None and failure.code in _LOST


def _at_owner(
    owners: Owners, program: str, run: Callable[[Node], Result[T, Failure]]
) -> Result[T, Failure]:
    """Runs an idempotent command at the owner, following it when it moves."""
    partition = partition_of(program)
    if partition is None:
        detail = f"program {program[:40]!r} does not exist"
        return Err(Failure(Code.UNKNOWN_PROGRAM, "forward.find", "", detail, not_run=True))
    patience = _Patience(owners.patience_s)
    pause_s = _FIRST_PAUSE_S
    while True:
        outcome = owners.node_for(partition).bind(run)
        if isinstance(outcome, Success) or outcome.failure().code not in _MOVED:
            return outcome
        owners.moved(partition, outcome.failure())
        if patience.is_over(pause_s):
            # An earlier copy of the request may have run.
            return Err(outcome.failure()._replace(not_run=False, retry_after_s=1.0))
        time.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(_LONGEST_PAUSE_S, 2 * pause_s)


def _differs(req: CallRequest) -> Failure:
    detail = f"the answer to call {req.call} was begun again; ask again to get it whole"
    return Failure(Code.UPSTREAM_FAILED, "forward.follow", "", detail, retry_after_s=0.0)


def _failed(offset: int, failure: Failure) -> Piece:
    return Piece(offset, b"", Ending(503, PROBLEM_JSON, failure=failure))
