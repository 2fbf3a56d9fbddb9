"""Programs of the partitions that this host owns: manages them and runs their calls."""

import itertools
import threading
import time
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import pykka
from returns.result import Failure as Err
from returns.result import Result, Success

from ..calls.stream import Piece, Stream
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
from .partition import PartitionActor, commit, start_actor, view
from .plan import Context, Upstreams
from .records import Call, ProgramClosed, ProgramOpened
from .requests import CallRequest, OpenRequest, new_program_id, opening, partition_of, start_of
from .running import RunningCalls
from .state import Partition, Program
from .views import ProgramStatus, ended_call, history_of, running_calls, status_of, stored_stream

T = TypeVar("T")


class _Held(NamedTuple):
    """A partition that this host owns."""

    epoch: int
    ref: "pykka.ActorRef[PartitionActor]"


class Owner:
    """Holds the partitions of this host and the calls under way in them.

    Args:
        upstreams: How upstream processes are reached.
        bundle: Returns the configuration in force.
        on_closed: Is told of each program that is closed.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        bundle: Callable[[], Bundle],
        on_closed: Callable[[ProgramOpened, ProgramClosed], None] = lambda opened, closed: None,
    ) -> None:
        self._upstreams = upstreams
        self._bundle = bundle
        self._on_closed = on_closed
        self._lock = threading.Lock()
        self._held: dict[int, _Held] = {}
        self._calls = RunningCalls()

    def adopt(self, partition: int, epoch: int, opened: OpenedLog) -> Result[None, Failure]:
        """Takes a partition and brings the calls that were under way to their end."""
        started = start_actor(partition, epoch, opened)
        if not isinstance(started, Success):
            return Err(started.failure())
        held = _Held(epoch, started.unwrap())
        # Before the partition takes calls, so that none accepted here is among them.
        for call in view(held.ref, running_calls).value_or(()):
            self._run(held, call)
        with self._lock:
            self._held[partition] = held
        return Success(None)

    def give_up(self, partition: int) -> None:
        """Stops acting on a partition; its appends under way are finished first."""
        with self._lock:
            held = self._held.pop(partition, None)
        if held is not None:
            held.ref.stop()

    def owned(self) -> tuple[int, ...]:
        """Returns the partitions that this host owns."""
        with self._lock:
            return tuple(self._held)

    def running(self) -> int:
        """Returns the number of calls under way."""
        return self._calls.count()

    def open(
        self, partition: int, tenant: str, body: OpenRequest
    ) -> Result[ProgramStatus, Failure]:
        """Opens a program in a partition of this host."""
        held = self._find(partition)
        if not isinstance(held, Success):
            return Err(held.failure())
        program = new_program_id(partition)
        req = opening(tenant, body, time.time())
        services = self._bundle().services
        ref = held.unwrap().ref
        decided = commit(ref, lambda state: open_program(state, req, program, services))
        if not isinstance(decided, Success):
            return Err(decided.failure())

        def look(state: Partition) -> ProgramStatus:
            known = state.opened_keys.get((tenant, req.request_key), program)
            return status_of(state, state.programs[known])

        return view(ref, look)

    def status(self, program: str, tenant: str) -> Result[ProgramStatus, Failure]:
        """Returns a program's status."""
        return self._look(program, tenant, status_of)

    def history(self, program: str, tenant: str) -> Result[bytes, Failure]:
        """Returns a program's messages as a JSON list."""
        return self._look(program, tenant, history_of)

    def close(self, program: str, tenant: str) -> Result[ProgramStatus, Failure]:
        """Closes a program and those of its sub-agents."""
        held = self._find_for(program)
        if not isinstance(held, Success):
            return Err(held.failure())
        ref = held.unwrap().ref
        decided = commit(
            ref, lambda state: close_program(state, program, tenant, "by its caller", time.time())
        )
        if not isinstance(decided, Success):
            return Err(decided.failure())
        self._drop_closed(held.unwrap(), decided.unwrap())
        return self.status(program, tenant)

    def close_idle(self, idle_s: float) -> None:
        """Closes programs that have done nothing for a number of seconds."""
        now_s = time.time()
        with self._lock:
            held = tuple(self._held.values())
        for partition in held:
            decided = commit(partition.ref, lambda state: close_idle(state, now_s - idle_s, now_s))
            if isinstance(decided, Success):
                self._drop_closed(partition, decided.unwrap())

    def list_open(self, limit: int) -> list[ProgramStatus]:
        """Returns up to a number of the programs that take calls, in no order."""

        def look(state: Partition) -> list[ProgramStatus]:
            found = (known for known in state.programs.values() if known.closed is None)
            return [status_of(state, program) for program in itertools.islice(found, limit)]

        rows: list[ProgramStatus] = []
        with self._lock:
            held = tuple(self._held.values())
        for partition in held:
            if len(rows) >= limit:
                break
            rows += view(partition.ref, look).value_or([])
        return rows[:limit]

    def view_owned(self, look: Callable[[Partition], list[T]]) -> list[tuple[int, list[T]]]:
        """Returns what a function finds in each partition of this host, with its epoch."""
        with self._lock:
            held = tuple(self._held.values())
        return [(partition.epoch, view(partition.ref, look).value_or([])) for partition in held]

    def submit(self, req: CallRequest) -> Result[None, Failure]:
        """Accepts a call, or finds it accepted before; its answer is then read."""
        bundle = self._bundle()
        start = start_of(req, bundle)
        held = self._find_for(req.program)
        if not isinstance(start, Success):
            return Err(start.failure())
        if not isinstance(held, Success):
            return Err(held.failure())
        decided = commit(
            held.unwrap().ref, lambda state: start_call(state, start.unwrap(), bundle.services)
        )
        if not isinstance(decided, Success):
            return Err(decided.failure())
        self._attach(held.unwrap(), decided.unwrap())
        return Success(None)

    def read(self, program: str, number: int, offset: int, wait_s: float) -> Result[Piece, Failure]:
        """Returns bytes of a call's answer from an offset on, waiting for news."""
        return self.find(program, number).map(lambda stream: stream.read(offset, wait_s))

    def find(self, program: str, number: int) -> Result[Stream, Failure]:
        """Returns the stream of a call's answer, under way or stored."""
        stream = self._calls.find(program, number)
        if stream is not None:
            return Success(stream)
        held = self._find_for(program)
        if not isinstance(held, Success):
            return Err(held.failure())
        found = view(held.unwrap().ref, lambda state: ended_call(state, program, number))
        if not isinstance(found, Success):
            return Err(found.failure())
        ended = found.unwrap()
        if ended is None:
            detail = f"call {number} of {program} is not running"
            return Err(Failure(Code.CONFLICT, "programs.read", "", detail, retry_after_s=0.0))
        return Success(stored_stream(ended))

    def _drop_closed(self, held: _Held, decision: Decision) -> None:
        """Cancels the calls of programs that were closed, and tells who keeps memory for them."""
        records = [record for record in decision.records if isinstance(record, ProgramClosed)]
        for record in records:
            self._calls.cancel(record.program)

        def look(state: Partition) -> list[ProgramOpened]:
            return [state.programs[record.program].opened for record in records]

        for opened, record in zip(view(held.ref, look).value_or([]), records, strict=False):
            self._on_closed(opened, record)

    def _attach(self, held: _Held, decision: Decision) -> None:
        """Runs a call that was accepted just now, or whose thread ended before the call did."""
        call = decision.call
        assert call is not None
        started = call.started
        if call.ended is None and (
            decision.records or self._calls.take_unstored(started.program, started.call, held.epoch)
        ):
            self._run(held, call)

    def _run(self, held: _Held, call: Call) -> None:
        def context(cancelled: Callable[[], bool]) -> Context:
            return Context(held.ref, held.epoch, self._upstreams, self._bundle, cancelled)

        self._calls.run(call, context)

    def _look(
        self, program: str, tenant: str, pick: Callable[[Partition, Program], T]
    ) -> Result[T, Failure]:
        held = self._find_for(program)
        if not isinstance(held, Success):
            return Err(held.failure())

        def look(state: Partition) -> Result[T, Failure]:
            found = find_program(state, program, tenant, "programs.look")
            return found.map(lambda known: pick(state, known))

        return view(held.unwrap().ref, look).bind(lambda outcome: outcome)

    def _find_for(self, program: str) -> Result[_Held, Failure]:
        partition = partition_of(program)
        if partition is None:
            detail = f"program {program!r} does not exist"
            return Err(Failure(Code.UNKNOWN_PROGRAM, "programs.find", "", detail, not_run=True))
        return self._find(partition)

    def _find(self, partition: int) -> Result[_Held, Failure]:
        with self._lock:
            held = self._held.get(partition)
        if held is None:
            detail = f"partition {partition:04x} is not owned by this host"
            return Err(Failure(Code.NOT_OWNER, "programs.find", "", detail, retry_after_s=0.0))
        return Success(held)
