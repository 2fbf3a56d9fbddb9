"""Actor that holds one owned partition: makes decisions, appends records, applies them."""

import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from typing import Any, NamedTuple, TypeVar

import pykka
from returns.result import Failure as Err
from returns.result import Result, Success

from ..errors import Code, Failure
from ..journal.api import Log, OpenedLog
from ..journal.entries import DamagedLogError
from .decide import Decision
from .memory import ProgramMemory
from .records import Record, decode, encode
from .state import Partition, apply, remove_closed, snapshot

T = TypeVar("T")
Decide = Callable[[Partition], Result[Decision, Failure]]
DurableFuture = Future[Result[int, Failure]]
APPEND_TIMEOUT_S = 30.0
_CLOSED_RETENTION_S = 600.0


class Commit(NamedTuple):
    """Message that requests a decision and the append of its records."""

    decide: Decide


class Query(NamedTuple):
    """Message that requests a read of the state."""

    select: Callable[[Partition], Any]


class RemoveClosed(NamedTuple):
    """Message that requests the removal of programs closed long ago, without a snapshot."""


class Committed(NamedTuple):
    """A decision, and the future that completes once all records it depends on are stored."""

    decision: Decision
    durable: DurableFuture


class QueryResult(NamedTuple):
    """The result of a query, and the future that completes once the state it read is stored."""

    value: Any
    durable: DurableFuture


class Refused(NamedTuple):
    """A refusal, and the future that completes once its epoch is confirmed as the latest."""

    failure: Failure
    durable: DurableFuture


class PartitionActor(pykka.ThreadingActor):
    """Holds the state of one partition and its open log.

    The state includes records whose append is pending. No caller may act on a decision or reply
    with it before its durable future has succeeded. After a failed append the actor refuses
    every message, since another host may own the partition.
    """

    use_daemon_thread = True

    def __init__(
        self, partition: int, epoch: int, log: Log, state: Partition, memory: ProgramMemory
    ) -> None:
        super().__init__()
        self._memory = memory
        for tenant, size in state.tenant_bytes.items():
            memory.add(tenant, size)
        state.on_bytes = memory.add
        self._partition = partition
        self._epoch = epoch
        self._log = log
        self._state = state
        self._last_append: DurableFuture = _completed()

    def on_receive(self, message: Any) -> Any:
        """Handles a Commit, a Query or a RemoveClosed."""
        if isinstance(message, Commit):
            return self._commit(message.decide)
        if isinstance(message, RemoveClosed):
            remove_closed(self._state, time.time() - _CLOSED_RETENTION_S)
            return None
        return self._query(message.select)

    def on_stop(self) -> None:
        """Finishes the pending appends."""
        for tenant, size in self._state.tenant_bytes.items():
            self._memory.add(tenant, -size)
        self._log.close()

    def _commit(self, decide: Decide) -> Result[Committed | Refused, Failure]:
        failure = self._append_failure()
        if failure is not None:
            return Err(failure)
        outcome = decide(self._state)
        if not isinstance(outcome, Success):
            return Success(self._refuse(outcome.failure()))
        decision = outcome.unwrap()
        if decision.records:
            self._append(decision.records)
        return Success(Committed(decision, self._last_append))

    def _query(self, select: Callable[[Partition], Any]) -> Result[QueryResult | Refused, Failure]:
        failure = self._append_failure()
        if failure is not None:
            return Err(failure)
        value = select(self._state)
        if isinstance(value, Err):
            return Success(self._refuse(value.failure()))
        return Success(QueryResult(value, self._last_append))

    def _refuse(self, failure: Failure) -> Refused:
        # A process that was paused may hold stale state that lacks a call which ran elsewhere.
        # The empty append succeeds only while no later epoch has been opened.
        self._last_append = self._log.append([])
        return Refused(failure, self._last_append)

    def _append(self, records: Sequence[Record]) -> None:
        self._last_append = self._log.append([encode(record) for record in records])
        for record in records:
            apply(self._state, record)
        if self._log.snapshot_due():
            self._snapshot()

    def _snapshot(self) -> None:
        records = snapshot(self._state, time.time() - _CLOSED_RETENTION_S)
        self._log.snapshot(encode(record) for record in records)

    def _append_failure(self) -> Failure | None:
        if not self._last_append.done():
            return None
        stored: Result[int, Failure] = self._last_append.result()
        if isinstance(stored, Success):
            return None
        failure = stored.failure()
        detail = f"appends to partition {self._partition:04x} fail: {failure}"
        return Failure(Code.NOT_OWNER, "programs.commit", "", detail, retry_after_s=1.0)


def start_actor(
    partition: int, epoch: int, opened: OpenedLog, memory: ProgramMemory | None = None
) -> Result[pykka.ActorRef[PartitionActor], Failure]:
    """Rebuilds a partition from its log and starts its actor.

    Args:
        partition: Number of the partition.
        epoch: Epoch at which it was opened.
        opened: Its log.
        memory: Counts what its programs take; None for no bound.
    """
    state = Partition()
    try:
        for data in opened.records:
            outcome = decode(data)
            if not isinstance(outcome, Success):
                return Err(outcome.failure())
            apply(state, outcome.unwrap())
    except DamagedLogError as exc:
        return Err(exc.failure)
    return Success(
        PartitionActor.start(partition, epoch, opened.log, state, memory or ProgramMemory())
    )


def commit(ref: "pykka.ActorRef[PartitionActor]", decide: Decide) -> Result[Decision, Failure]:
    """Makes a decision and waits until its records are stored."""
    return _ask(ref, Commit(decide), lambda reply: reply.decision)


def query(
    ref: "pykka.ActorRef[PartitionActor]", select: Callable[[Partition], T]
) -> Result[T, Failure]:
    """Reads the state and waits until every record it reflects is stored."""
    return _ask(ref, Query(select), lambda reply: reply.value)


def _ask(
    ref: "pykka.ActorRef[PartitionActor]", message: Commit | Query, pick: Callable[[Any], T]
) -> Result[T, Failure]:
    try:
        outcome: Result[Any, Failure] = ref.ask(message, block=True)
    except pykka.ActorDeadError:
        detail = "the partition has moved to another host"
        return Err(Failure(Code.NOT_OWNER, "programs.ask", "", detail, retry_after_s=0.0))
    if not isinstance(outcome, Success):
        return Err(outcome.failure())
    reply = outcome.unwrap()
    try:
        stored: Result[int, Failure] = reply.durable.result(timeout=APPEND_TIMEOUT_S)
    except TimeoutError:
        detail = f"append to the log timed out after {APPEND_TIMEOUT_S} s"
        return Err(Failure(Code.STORAGE, "programs.append", "", detail))
    if not isinstance(stored, Success):
        # The records may be stored on some copies, and the next owner may act on them.
        return Err(stored.failure()._replace(not_run=False))
    if isinstance(reply, Refused):
        return Err(reply.failure)
    return Success(pick(reply))


def _completed() -> DurableFuture:
    fut: DurableFuture = Future()
    fut.set_result(Success(0))
    return fut
