"""State of the programs of one partition, rebuilt from the records of its log."""

from collections.abc import Callable, Sequence

from ..engines.chat_format import completion_message, parse_messages
from .records import (
    CHAT,
    Call,
    CallClaimed,
    CallEnded,
    CallReleased,
    CallStarted,
    Outcome,
    ProgramClosed,
    ProgramOpened,
    ProgramSnapshot,
    Record,
)

# Memory of one item beside its bytes.
_PROGRAM_BYTES = 2048
_CALL_BYTES = 1536
_CLAIM_BYTES = 512
_MESSAGE_BYTES = 64


class Program:
    """One program: its calls in order and its budget.

    Attributes:
        opened: The record that opened it.
        calls: Calls by number, from 1 without gaps.
        closed: The record that closed it; None while it is open.
        budget_tokens: Tokens that may still be reserved, by its sub-agents too.
        attained_tokens: Tokens that all its calls have used.
        history_tokens: Tokens of the history, as last counted by the engine.
        messages: The history: each message as JSON, oldest first.
        attempts: Number of attempts dispatched for all its calls.
        last_upstream: Host of the upstream process that ran the last chat.
        stored_bytes: Bytes that it takes in memory.
    """

    def __init__(self, opened: ProgramOpened) -> None:
        self.opened = opened
        self.calls: dict[int, Call] = {}
        self.closed: ProgramClosed | None = None
        self.budget_tokens = opened.budget_tokens
        self.attained_tokens = 0
        self.history_tokens = 0
        self.messages: list[bytes] = []
        self.attempts = 0
        self.last_upstream = ""
        self.stored_bytes = 0

    @property
    def next_call(self) -> int:
        """Number of the next call."""
        return len(self.calls) + 1

    @property
    def running(self) -> Call | None:
        """The running call, if any."""
        last = self.calls.get(len(self.calls))
        return last if last is not None and last.ended is None else None

    @property
    def active_at_s(self) -> float:
        """Time when the last call ended, else when the program was opened, in Unix seconds."""
        last = self.calls.get(len(self.calls))
        if last is None or last.ended is None:
            return self.opened.at_s
        return last.ended.at_s


class Partition:
    """All programs of one partition.

    Attributes:
        programs: Programs by id.
        opened_keys: Program opened under each idempotency key of a tenant.
        tenant_bytes: Bytes that the programs of each tenant take in memory.
        on_bytes: Called with a tenant and the bytes by which its programs grow.
    """

    def __init__(self) -> None:
        self.programs: dict[str, Program] = {}
        self.opened_keys: dict[tuple[str, str], str] = {}
        self.tenant_bytes: dict[str, int] = {}
        self.on_bytes: Callable[[str, int], None] = lambda tenant, size: None

    def with_ancestors(self, program: str) -> tuple[Program, ...]:
        """Returns the program and its ancestors; the budget of each limits the program."""
        found = self.programs[program]
        chain = [found]
        while found.opened.parent in self.programs:
            found = self.programs[found.opened.parent]
            chain.append(found)
        return tuple(chain)


def apply(partition: Partition, record: Record) -> None:
    """Applies one record to the partition; records must be applied in the order of the log."""
    match record:
        case ProgramOpened():
            _open(partition, Program(record))
        case CallStarted():
            _start(partition, record)
        case CallClaimed():
            _claim(partition, record)
        case CallReleased():
            _release(partition, record)
        case CallEnded():
            _end(partition, record)
        case ProgramClosed():
            _close(partition, record)
        case ProgramSnapshot():
            _open(partition, _from_snapshot(record))


def snapshot(partition: Partition, closed_before_s: float) -> list[Record]:
    """Returns records that rebuild the partition, and removes programs closed long ago.

    Args:
        partition: State of the partition.
        closed_before_s: Programs closed before this time, in seconds since the Unix epoch, are
            removed.
    """
    remove_closed(partition, closed_before_s)
    return [_snapshot_of(program) for program in partition.programs.values()]


def remove_closed(partition: Partition, closed_before_s: float) -> None:
    """Removes programs closed before a time, in seconds since the Unix epoch."""
    for name, program in list(partition.programs.items()):
        if program.closed is not None and program.closed.at_s < closed_before_s:
            _remove(partition, name)


def _open(partition: Partition, program: Program) -> None:
    opened = program.opened
    partition.programs[opened.program] = program
    _add_bytes(partition, program, _size_of(program))
    if opened.request_key:
        partition.opened_keys[opened.tenant, opened.request_key] = opened.program


def _start(partition: Partition, record: CallStarted) -> None:
    program = partition.programs[record.program]
    program.calls[record.call] = Call(record)
    _add_bytes(partition, program, _CALL_BYTES + len(record.body))
    _charge(partition, record.program, record.reserved_tokens)


def _claim(partition: Partition, record: CallClaimed) -> None:
    program = partition.programs[record.program]
    call = program.calls[record.call]
    program.calls[record.call] = call._replace(claims=(*call.claims, record))
    program.attempts = record.attempt
    _add_bytes(partition, program, _CLAIM_BYTES)
    _charge(partition, record.program, record.reserved_tokens)


def _release(partition: Partition, record: CallReleased) -> None:
    program = partition.programs[record.program]
    call = program.calls.pop(record.call)
    _add_bytes(partition, program, -_call_bytes(call))
    _charge(partition, record.program, record.spent_tokens - call.reserved_tokens)


def _end(partition: Partition, record: CallEnded) -> None:
    program = partition.programs[record.program]
    call = program.calls[record.call]
    _charge(partition, record.program, record.spent_tokens - call.reserved_tokens)
    used = record.prompt_tokens + record.completion_tokens
    program.attained_tokens += used
    started = call.started
    if record.outcome is Outcome.DONE and started.operation == CHAT and program.closed is None:
        program.history_tokens = used
        messages = [*parse_messages(started.body), completion_message(record.response)]
        program.messages += messages
        _add_bytes(partition, program, _messages_bytes(messages))
        program.last_upstream = record.upstream
    # The body is no longer needed: the history holds the messages, and the digest distinguishes a
    # repeat from another request.
    ended = program.calls[record.call] = Call(started._replace(body=b""), (), record)
    _add_bytes(partition, program, _call_bytes(ended) - _call_bytes(call))


def _close(partition: Partition, record: ProgramClosed) -> None:
    program = partition.programs[record.program]
    program.closed = record
    _add_bytes(partition, program, -_messages_bytes(program.messages))
    program.messages = []


def _remove(partition: Partition, name: str) -> None:
    program = partition.programs.pop(name)
    _add_bytes(partition, program, -program.stored_bytes)
    opened = program.opened
    partition.opened_keys.pop((opened.tenant, opened.request_key), None)


def _snapshot_of(program: Program) -> ProgramSnapshot:
    return ProgramSnapshot(
        opened=program.opened,
        calls=tuple(program.calls.values()),
        closed=program.closed,
        messages=tuple(program.messages),
        budget_tokens=program.budget_tokens,
        attained_tokens=program.attained_tokens,
        history_tokens=program.history_tokens,
        attempts=program.attempts,
        last_upstream=program.last_upstream,
    )


def _from_snapshot(record: ProgramSnapshot) -> Program:
    program = Program(record.opened)
    program.calls = {call.started.call: call for call in record.calls}
    program.closed = record.closed
    program.messages = list(record.messages)
    program.budget_tokens = record.budget_tokens
    program.attained_tokens = record.attained_tokens
    program.history_tokens = record.history_tokens
    program.attempts = record.attempts
    program.last_upstream = record.last_upstream
    return program


def _add_bytes(partition: Partition, program: Program, size: int) -> None:
    tenant = program.opened.tenant
    program.stored_bytes += size
    left = partition.tenant_bytes.get(tenant, 0) + size
    if left:
        partition.tenant_bytes[tenant] = left
    else:
        partition.tenant_bytes.pop(tenant, None)
    partition.on_bytes(tenant, size)


def _size_of(program: Program) -> int:
    calls = sum(_call_bytes(call) for call in program.calls.values())
    return _PROGRAM_BYTES + calls + _messages_bytes(program.messages)


def _call_bytes(call: Call) -> int:
    response = len(call.ended.response) if call.ended is not None else 0
    return _CALL_BYTES + len(call.started.body) + len(call.claims) * _CLAIM_BYTES + response


def _messages_bytes(messages: Sequence[bytes]) -> int:
    return sum(map(len, messages)) + len(messages) * _MESSAGE_BYTES


def _charge(partition: Partition, program: str, tokens: int) -> None:
    for found in partition.with_ancestors(program):
        found.budget_tokens -= tokens
