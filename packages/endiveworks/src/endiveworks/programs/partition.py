"""Actor that holds one owned partition: decides, appends, applies."""

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
from .records import Record, decode, encode
from .state import Partition, apply, snapshot

T = TypeVar("T")
Decide = Callable[[Partition], Result[Decision, Failure]]
Durable = Future[Result[int, Failure]]
APPEND_TIMEOUT_S = 30.0
_KEEP_CLOSED_S = 600.0


class Commit(NamedTuple):
    """Asks for a decision to be made and its records to be appended."""

    decide: Decide


class View(NamedTuple):
    """Asks for a look at the state."""

    look: Callable[[Partition], Any]


class Committed(NamedTuple):
    """A decision, and the future that completes once everything it rests on is stored."""

    decision: Decision
    durable: Durable


class Seen(NamedTuple):
    """What a look returned, and the future that completes once it is stored."""

    value: Any
    durable: Durable


class Refused(NamedTuple):
    """A refusal, and the future that completes once the epoch it was decided in is confirmed."""

    failure: Failure
    durable: Durable


class PartitionActor(pykka.ThreadingActor):
    """Holds the state of one partition and its open log.

    State runs ahead of the log by the records under way. Nothing may be done or answered on the
    strength of a decision until its durable future has succeeded; after a failed append the
    actor refuses everything, since another host may own the partition.
    """

    use_daemon_thread = True

    def __init__(self, partition: int, epoch: int, log: Log, state: Partition) -> None:
        super().__init__()
        self._partition = partition
        self._epoch = epoch
        self._log = log
        self._state = state
        self._last: Durable = _stored()

    def on_receive(self, message: Any) -> Any:
        """Handles a Commit or a View."""
        if isinstance(message, Commit):
            return self._commit(message.decide)
        return self._view(message.look)

    def on_stop(self) -> None:
        """Finishes the appends under way."""
        self._log.close()

    def _commit(self, decide: Decide) -> Result[Committed | Refused, Failure]:
        lost = self._lost()
        if lost is not None:
            return Err(lost)
        outcome = decide(self._state)
        if not isinstance(outcome, Success):
            return Success(self._refuse(outcome.failure()))
        decision = outcome.unwrap()
        if decision.records:
            self._append(decision.records)
        return Success(Committed(decision, self._last))

    def _view(self, look: Callable[[Partition], Any]) -> Result[Seen | Refused, Failure]:
        lost = self._lost()
        if lost is not None:
            return Err(lost)
        value = look(self._state)
        if isinstance(value, Err):
            return Success(self._refuse(value.failure()))
        return Success(Seen(value, self._last))

    def _refuse(self, failure: Failure) -> Refused:
        # A process that was paused may hold an old state, in which a call that ran elsewhere is
        # missing. The empty append succeeds only while no later epoch has been opened.
        self._last = self._log.append([])
        return Refused(failure, self._last)

    def _append(self, records: Sequence[Record]) -> None:
        self._last = self._log.append([encode(record) for record in records])
        for record in records:
            apply(self._state, record)
        if self._log.snapshot_due():
            self._snapshot()

    def _snapshot(self) -> None:
        kept = snapshot(self._state, time.time() - _KEEP_CLOSED_S)
        self._log.snapshot([encode(record) for record in kept])

    def _lost(self) -> Failure | None:
        if not self._last.done():
            return None
        stored: Result[int, Failure] = self._last.result()
        if isinstance(stored, Success):
            return None
        failure = stored.failure()
        detail = f"appends to partition {self._partition:04x} fail: {failure}"
        return Failure(Code.NOT_OWNER, "programs.commit", "", detail, retry_after_s=1.0)


def start_actor(
    partition: int, epoch: int, opened: OpenedLog
) -> Result[pykka.ActorRef[PartitionActor], Failure]:
    """Rebuilds a partition from its log and starts its actor."""
    state = Partition()
    try:
        for data in opened.records:
            outcome = decode(data)
            if not isinstance(outcome, Success):
                return Err(outcome.failure())
            apply(state, outcome.unwrap())
    except DamagedLogError as exc:
        return Err(exc.failure)
    return Success(PartitionActor.start(partition, epoch, opened.log, state))


def commit(ref: "pykka.ActorRef[PartitionActor]", decide: Decide) -> Result[Decision, Failure]:
    """Makes a decision and waits until it is stored."""
    return _ask(ref, Commit(decide), lambda reply: reply.decision)


def view(
    ref: "pykka.ActorRef[PartitionActor]", look: Callable[[Partition], T]
) -> Result[T, Failure]:
    """Looks at the state and waits until everything seen is stored."""
    return _ask(ref, View(look), lambda reply: reply.value)


def _ask(
    ref: "pykka.ActorRef[PartitionActor]", message: Commit | View, pick: Callable[[Any], T]
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
        detail = f"the log did not answer within {APPEND_TIMEOUT_S} s"
        return Err(Failure(Code.STORAGE, "programs.append", "", detail))
    if not isinstance(stored, Success):
        # The records may be stored on some copies, and the next owner may act on them.
        return Err(stored.failure()._replace(not_run=False))
    if isinstance(reply, Refused):
        return Err(reply.failure)
    return Success(pick(reply))


def _stored() -> Durable:
    fut: Durable = Future()
    fut.set_result(Success(0))
    return fut
