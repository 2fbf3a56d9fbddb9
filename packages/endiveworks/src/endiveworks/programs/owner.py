"""Manages the programs of the partitions that this host owns, and runs their calls."""

import contextlib
import itertools
import threading
import time
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import pykka
from returns.result import Failure as Err
from returns.result import Result, Success

from ..calls.stream import Chunk, Stream
from ..config.bundle import Bundle
from ..errors import Code, Failure
from ..journal.api import OpenedLog
from .decide import (
    Decision,
    close_idle,
    close_program,
    find_program,
    open_program,
    start_call,
)
from .memory import ProgramMemory
from .partition import PartitionActor, RemoveClosed, commit, query, start_actor
from .plan import CallContext, Upstreams
from .queries import ProgramStatus, ended_call, history_of, running_calls, status_of, stored_stream
from .records import Call, ProgramClosed, ProgramOpened
from .requests import (
    CallRequest,
    OpenRequest,
    new_program_id,
    open_command,
    partition_of,
    start_command,
)
from .running import RunningCalls
from .state import Partition, Program

T = TypeVar("T")


class _OwnedPartition(NamedTuple):
    """A partition that this host owns."""

    epoch: int
    ref: "pykka.ActorRef[PartitionActor]"


class Owner:
    """Owns the partitions of this host and their running calls.

    Args:
        upstreams: Functions that reach the upstream processes.
        bundle: Returns the current configuration.
        on_closed: Called for each program that is closed.
        memory: Bounds what the programs take; None for no bound.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        bundle: Callable[[], Bundle],
        on_closed: Callable[[ProgramOpened, ProgramClosed], None] = lambda opened, closed: None,
        memory: ProgramMemory | None = None,
    ) -> None:
        self.memory = memory or ProgramMemory()
        self._upstreams = upstreams
        self._bundle = bundle
        self._on_closed = on_closed
        self._lock = threading.Lock()
        self._partitions: dict[int, _OwnedPartition] = {}
        self._calls = RunningCalls()

    def add_partition(self, partition: int, epoch: int, opened: OpenedLog) -> Result[None, Failure]:
        """Starts to serve a partition and completes the calls that were running in it."""
        started = start_actor(partition, epoch, opened, self.memory)
        if not isinstance(started, Success):
            return Err(started.failure())
        owned = _OwnedPartition(epoch, started.unwrap())
        # Queried before the partition accepts calls: one accepted before the query would run twice.
        for call in query(owned.ref, running_calls).value_or(()):
            self._run(owned, call)
        with self._lock:
            self._partitions[partition] = owned
        return Success(None)

    def remove_partition(self, partition: int) -> None:
        """Stops serving a partition, after its pending appends have finished."""
        with self._lock:
            owned = self._partitions.pop(partition, None)
        if owned is not None:
            owned.ref.stop()

    def owned_partitions(self) -> tuple[int, ...]:
        """Returns the partitions that this host owns."""
        with self._lock:
            return tuple(self._partitions)

    def count_running_calls(self) -> int:
        """Returns the number of running calls."""
        return self._calls.count()

    def open(
        self, partition: int, tenant: str, body: OpenRequest
    ) -> Result[ProgramStatus, Failure]:
        """Opens a program in a partition of this host."""
        owned = self._find_partition(partition)
        if not isinstance(owned, Success):
            return Err(owned.failure())
        program = new_program_id(partition)
        req = open_command(tenant, body, time.time())
        services = self._bundle().services
        ref = owned.unwrap().ref
        decided = commit(
            ref, lambda state: open_program(state, req, program, services, self.memory)
        )
        if not isinstance(decided, Success):
            return Err(decided.failure())

        def select(state: Partition) -> ProgramStatus:
            opened_id = state.opened_keys.get((tenant, req.request_key), program)
            return status_of(state, state.programs[opened_id])

        return query(ref, select)

    def status(self, program: str, tenant: str) -> Result[ProgramStatus, Failure]:
        """Returns a program's status."""
        return self._query_program(program, tenant, status_of)

    def history(self, program: str, tenant: str) -> Result[bytes, Failure]:
        """Returns a program's messages as a JSON list."""
        return self._query_program(program, tenant, history_of)

    def close(self, program: str, tenant: str) -> Result[ProgramStatus, Failure]:
        """Closes a program and those of its sub-agents."""
        owned = self._find_partition_of(program)
        if not isinstance(owned, Success):
            return Err(owned.failure())
        ref = owned.unwrap().ref
        decided = commit(
            ref, lambda state: close_program(state, program, tenant, "by its caller", time.time())
        )
        if not isinstance(decided, Success):
            return Err(decided.failure())
        self._cancel_closed(owned.unwrap(), decided.unwrap())
        return self.status(program, tenant)

    def close_idle(self, idle_s: float) -> None:
        """Closes programs that have been idle for a number of seconds."""
        now_s = time.time()
        with self._lock:
            owned = tuple(self._partitions.values())
        for partition in owned:
            decided = commit(partition.ref, lambda state: close_idle(state, now_s - idle_s, now_s))
            if isinstance(decided, Success):
                self._cancel_closed(partition, decided.unwrap())

    def remove_closed(self) -> None:
        """Removes programs that were closed long ago."""
        with self._lock:
            owned = tuple(self._partitions.values())
        for partition in owned:
            with contextlib.suppress(pykka.ActorDeadError):  # It has moved to another host.
                partition.ref.tell(RemoveClosed())

    def list_open_programs(self, limit: int) -> list[ProgramStatus]:
        """Returns up to limit programs that are not closed, in no particular order."""

        def select(state: Partition) -> list[ProgramStatus]:
            found = (program for program in state.programs.values() if program.closed is None)
            return [status_of(state, program) for program in itertools.islice(found, limit)]

        statuses: list[ProgramStatus] = []
        with self._lock:
            owned = tuple(self._partitions.values())
        for partition in owned:
            if len(statuses) >= limit:
                break
            statuses += query(partition.ref, select).value_or([])
        return statuses[:limit]

    def query_partitions(self, select: Callable[[Partition], list[T]]) -> list[tuple[int, list[T]]]:
        """Returns the result of a query on each partition of this host, with the epoch."""
        with self._lock:
            owned = tuple(self._partitions.values())
        return [(partition.epoch, query(partition.ref, select).value_or([])) for partition in owned]

    def submit(self, req: CallRequest) -> Result[None, Failure]:
        """Accepts a call, unless it was accepted before; read() then returns its response."""
        bundle = self._bundle()
        start = start_command(req, bundle)
        owned = self._find_partition_of(req.program)
        if not isinstance(start, Success):
            return Err(start.failure())
        if not isinstance(owned, Success):
            return Err(owned.failure())
        decided = commit(
            owned.unwrap().ref,
            lambda state: start_call(state, start.unwrap(), bundle.services, self.memory),
        )
        if not isinstance(decided, Success):
            return Err(decided.failure())
        self._run_if_needed(owned.unwrap(), decided.unwrap())
        return Success(None)

    def read(self, program: str, number: int, offset: int, wait_s: float) -> Result[Chunk, Failure]:
        """Returns bytes of a call's response from an offset on; waits up to wait_s for new ones."""
        return self.find_stream(program, number).map(lambda stream: stream.read(offset, wait_s))

    def find_stream(self, program: str, number: int) -> Result[Stream, Failure]:
        """Returns the response stream of a call that is running or has ended."""
        stream = self._calls.find(program, number)
        if stream is not None:
            return Success(stream)
        owned = self._find_partition_of(program)
        if not isinstance(owned, Success):
            return Err(owned.failure())
        found = query(owned.unwrap().ref, lambda state: ended_call(state, program, number))
        if not isinstance(found, Success):
            return Err(found.failure())
        ended = found.unwrap()
        if ended is None:
            detail = f"call {number} of {program} is not running"
            return Err(Failure(Code.CONFLICT, "programs.read", "", detail, retry_after_s=0.0))
        return Success(stored_stream(ended))

    def _cancel_closed(self, owned: _OwnedPartition, decision: Decision) -> None:
        """Cancels the calls of programs that were closed, and calls on_closed for each program."""
        records = [record for record in decision.records if isinstance(record, ProgramClosed)]
        for record in records:
            self._calls.cancel(record.program)

        def select(state: Partition) -> list[ProgramOpened]:
            return [state.programs[record.program].opened for record in records]

        for opened, record in zip(query(owned.ref, select).value_or([]), records, strict=False):
            self._on_closed(opened, record)

    def _run_if_needed(self, owned: _OwnedPartition, decision: Decision) -> None:
        """Runs a call that was just accepted, or whose thread ended without storing its end."""
        call = decision.call
        assert call is not None
        started = call.started
        if call.ended is None and (
            decision.records or self._calls.pop_unstored(started.program, started.call, owned.epoch)
        ):
            self._run(owned, call)

    def _run(self, owned: _OwnedPartition, call: Call) -> None:
        def context(cancelled: Callable[[], bool]) -> CallContext:
            return CallContext(owned.ref, owned.epoch, self._upstreams, self._bundle, cancelled)

        self._calls.run(call, context)

    def _query_program(
        self, program: str, tenant: str, pick: Callable[[Partition, Program], T]
    ) -> Result[T, Failure]:
        owned = self._find_partition_of(program)
        if not isinstance(owned, Success):
            return Err(owned.failure())

        def select(state: Partition) -> Result[T, Failure]:
            found = find_program(state, program, tenant, "programs.look")
            return found.map(lambda found_program: pick(state, found_program))

        return query(owned.unwrap().ref, select).bind(lambda outcome: outcome)

    def _find_partition_of(self, program: str) -> Result[_OwnedPartition, Failure]:
        partition = partition_of(program)
        if partition is None:
            detail = f"program {program!r} does not exist"
            return Err(Failure(Code.UNKNOWN_PROGRAM, "programs.find", "", detail, not_run=True))
        return self._find_partition(partition)

    def _find_partition(self, partition: int) -> Result[_OwnedPartition, Failure]:
        with self._lock:
            owned = self._partitions.get(partition)
        if owned is None:
            detail = f"partition {partition:04x} is not owned by this host"
            return Err(Failure(Code.NOT_OWNER, "programs.find", "", detail, retry_after_s=0.0))
        return Success(owned)
