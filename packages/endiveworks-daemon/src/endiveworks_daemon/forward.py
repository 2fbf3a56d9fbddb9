"""Forwards commands and calls to the owner of a program, with failover to the next owner."""

import random
import secrets
import time
from collections.abc import Callable, Iterator
from contextlib import closing
from typing import NamedTuple, TypeVar

from endiveworks.calls.stream import Chunk, FinalStatus
from endiveworks.errors import Code, Failure
from endiveworks.programs.attempt import PROBLEM_JSON
from endiveworks.programs.requests import CallRequest, partition_of
from returns.result import Failure as Err
from returns.result import Result, Success

from .node import Command, Node
from .response_sink import ResponseSink

_BASE_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5
# Failures of an owner that has lost the partition; the next owner completes its calls.
_OWNERSHIP_LOST = frozenset({Code.NOT_OWNER, Code.STORAGE, Code.STALE_EPOCH})
# Failures after which another host may own the partition, now or soon.
_OWNER_FAILED = _OWNERSHIP_LOST | {Code.UNREACHABLE, Code.TIMEOUT}

T = TypeVar("T")


class OwnerLocator(NamedTuple):
    """Functions that locate the owners of partitions.

    Attributes:
        node_for: Returns the node that owns a partition, or a failure that says when to retry.
        pick_partition: Returns a partition for a new program; prefers those of this host.
        on_owner_failed: Called when a partition's owner did not reply or no longer owns it.
        patience_s: Maximum time in seconds to wait for a partition's next owner.
    """

    node_for: Callable[[int], Result[Node, Failure]]
    pick_partition: Callable[[], Result[int, Failure]]
    on_owner_failed: Callable[[int, Failure], None]
    patience_s: float


class _FailoverDeadline:
    """Deadline by which a partition that has lost its owner must have the next one.

    It runs from the owner's first failure, not from the start of the request: a response may take
    long at a healthy owner, and a process that was paused must get the full time for failover.
    """

    def __init__(self, patience_s: float) -> None:
        self._patience_s = patience_s
        self._deadline_s: float | None = None

    def record_failure(self, pause_s: float) -> bool:
        """Records a failure; returns whether waiting this long would exceed the deadline."""
        now_s = time.monotonic()
        if self._deadline_s is None:
            self._deadline_s = now_s + self._patience_s
        return now_s + pause_s > self._deadline_s

    def reset(self) -> None:
        """Records that the owner has replied."""
        self._deadline_s = None


def open_program(
    owners: OwnerLocator, tenant: str, body: bytes, parent: str
) -> Result[bytes, Failure]:
    """Opens a program; a sub-agent's program is opened in its parent's partition.

    Args:
        owners: Locates the owners.
        tenant: Tenant of the caller.
        body: An encoded OpenRequest with a request key, so that it can be retried.
        parent: Parent program of a sub-agent; empty for others.
    """
    if parent:
        return manage(owners, Command("open", parent, tenant, body))
    picked = owners.pick_partition()
    if not isinstance(picked, Success):
        return Err(picked.failure())
    prefix = f"{picked.unwrap():04x}-"
    return manage(owners, Command("open", prefix, tenant, body))


def manage(owners: OwnerLocator, command: Command) -> Result[bytes, Failure]:
    """Runs a command at the owner of its program."""
    return _at_owner(owners, command.program, lambda node: node.manage(command))


def follow(owners: OwnerLocator, req: CallRequest, sink: ResponseSink) -> Iterator[Chunk]:
    """Submits a call to the owner of its program and yields the response as it arrives.

    The last chunk has a final status. If the owner changes during the response, the response
    continues if the new owner has the same bytes. Otherwise it ends with a failure, and the caller
    has to repeat the request to get the whole response.

    Args:
        owners: Locates the owners.
        req: The call.
        sink: Receives bytes directly once it is open; chunks then hold only the rest.
    """
    offset = generation = 0
    deadline = _FailoverDeadline(owners.patience_s)
    while True:
        submitted = _at_owner(owners, req.program, lambda node: node.submit(req))
        if not isinstance(submitted, Success):
            yield _failure_chunk(offset, submitted.failure())
            return
        for chunk in _read_chunks(owners, req, offset, sink):
            if generation and chunk.generation not in (0, generation):
                yield _failure_chunk(offset, _response_changed(req))
                return
            if _lost_ownership(chunk):
                # Bytes before this offset may have been sent to the caller already.
                offset = chunk.offset
                break
            deadline.reset()
            generation = sink.generation = generation or chunk.generation
            offset = chunk.offset + len(chunk.data)
            if chunk.data or chunk.final_status is not None:
                yield chunk
            if chunk.final_status is not None:
                return
        if deadline.record_failure(_BASE_BACKOFF_S):
            detail = "the call's owner can't be reached"
            unreachable = Failure(Code.UNREACHABLE, "forward.follow", "", detail, retry_after_s=1.0)
            yield _failure_chunk(offset, unreachable)
            return
        time.sleep(_BASE_BACKOFF_S)


def new_request_key() -> str:
    """Returns an idempotency key for a request whose caller gave none."""
    return f"auto-{secrets.token_hex(16)}"


def _read_chunks(
    owners: OwnerLocator, req: CallRequest, offset: int, sink: ResponseSink
) -> Iterator[Chunk]:
    """Yields chunks until the owner fails."""
    partition = partition_of(req.program) or 0
    found = owners.node_for(partition)
    if not isinstance(found, Success):
        return
    with closing(found.unwrap().chunks(req.program, req.call, offset, sink)) as chunks:
        for outcome in chunks:
            if not isinstance(outcome, Success):
                if outcome.failure().code in _OWNER_FAILED:
                    owners.on_owner_failed(partition, outcome.failure())
                return
            yield outcome.unwrap()


def _lost_ownership(chunk: Chunk) -> bool:
    failure = chunk.final_status.failure if chunk.final_status is not None else None
    return failure is not None and failure.code in _OWNERSHIP_LOST


def _at_owner(
    owners: OwnerLocator, program: str, run: Callable[[Node], Result[T, Failure]]
) -> Result[T, Failure]:
    """Runs an idempotent command at the owner; retries at the next owner after a failure."""
    partition = partition_of(program)
    if partition is None:
        detail = f"program {program[:40]!r} does not exist"
        return Err(Failure(Code.UNKNOWN_PROGRAM, "forward.find", "", detail, not_run=True))
    deadline = _FailoverDeadline(owners.patience_s)
    pause_s = _BASE_BACKOFF_S
    while True:
        outcome = owners.node_for(partition).bind(run)
        if isinstance(outcome, Success) or outcome.failure().code not in _OWNER_FAILED:
            return outcome
        owners.on_owner_failed(partition, outcome.failure())
        if deadline.record_failure(pause_s):
            # An earlier attempt of the request may have run.
            return Err(outcome.failure()._replace(not_run=False, retry_after_s=1.0))
        time.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(_MAX_BACKOFF_S, 2 * pause_s)


def _response_changed(req: CallRequest) -> Failure:
    detail = f"the response to call {req.call} was restarted; repeat the request to get it whole"
    return Failure(Code.UPSTREAM_FAILED, "forward.follow", "", detail, retry_after_s=0.0)


def _failure_chunk(offset: int, failure: Failure) -> Chunk:
    return Chunk(offset, b"", FinalStatus(503, PROBLEM_JSON, failure=failure))
