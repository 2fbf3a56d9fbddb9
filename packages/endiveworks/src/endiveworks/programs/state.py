"""State of the programs of one partition, built from its records."""

from typing import NamedTuple

from ..engines.chat_format import answer_message, messages_of
from .records import (
    CHAT,
    CallClaimed,
    CallEnded,
    CallReleased,
    CallStarted,
    Outcome,
    ProgramClosed,
    ProgramOpened,
    Record,
)


class Call(NamedTuple):
    """One call of a program; ended is None while it runs."""

    started: CallStarted
    claims: tuple[CallClaimed, ...] = ()
    ended: CallEnded | None = None

    @property
    def reserved_tokens(self) -> int:
        """Tokens reserved by all attempts."""
        return self.started.reserved_tokens + sum(claim.reserved_tokens for claim in self.claims)


class Program:
    """One program: its calls in order and its budget.

    Attributes:
        opened: The record that opened it.
        calls: Calls by number, from 1 without gaps.
        closed: Why it takes no more calls; empty while it does.
        budget_tokens: Tokens that may still be reserved; children draw on their root's.
        attained_tokens: Tokens that all its calls have used.
        history_tokens: Tokens of the history as the engine last counted them.
        messages: The history: each message as JSON, oldest first.
        attempts: Number of attempts dispatched for all its calls.
        last_upstream: Host of the upstream process that ran the last chat.
    """

    def __init__(self, opened: ProgramOpened) -> None:
        self.opened = opened
        self.calls: dict[int, Call] = {}
        self.closed = ""
        self.budget_tokens = opened.budget_tokens
        self.attained_tokens = 0
        self.history_tokens = 0
        self.messages: list[bytes] = []
        self.attempts = 0
        self.last_upstream = ""

    @property
    def next_call(self) -> int:
        """Number of the next new call."""
        return len(self.calls) + 1

    @property
    def running(self) -> Call | None:
        """The call under way, if any."""
        last = self.calls.get(len(self.calls))
        return last if last is not None and last.ended is None else None


class Partition:
    """All programs of one partition.

    Attributes:
        programs: Programs by id.
        opened_keys: Program opened under each idempotency key of a tenant.
    """

    def __init__(self) -> None:
        self.programs: dict[str, Program] = {}
        self.opened_keys: dict[tuple[str, str], str] = {}

    def root(self, program: str) -> Program:
        """Returns the program whose budget the given program draws on."""
        found = self.programs[program]
        while found.opened.parent:
            found = self.programs[found.opened.parent]
        return found

    def limits(self, program: str) -> tuple[Program, ...]:
        """Returns the program and its ancestors, each of which limits its spending."""
        found = self.programs[program]
        chain = [found]
        while found.opened.parent:
            found = self.programs[found.opened.parent]
            chain.append(found)
        return tuple(chain)


def apply(partition: Partition, record: Record) -> None:
    """Changes the partition as one record says; records come in the order of the log."""
    match record:
        case ProgramOpened():
            _open(partition, record)
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


def _open(partition: Partition, record: ProgramOpened) -> None:
    partition.programs[record.program] = Program(record)
    if record.request_key:
        partition.opened_keys[record.tenant, record.request_key] = record.program


def _start(partition: Partition, record: CallStarted) -> None:
    partition.programs[record.program].calls[record.call] = Call(record)
    _charge(partition, record.program, record.reserved_tokens)


def _claim(partition: Partition, record: CallClaimed) -> None:
    program = partition.programs[record.program]
    call = program.calls[record.call]
    program.calls[record.call] = call._replace(claims=(*call.claims, record))
    program.attempts = record.attempt
    _charge(partition, record.program, record.reserved_tokens)


def _release(partition: Partition, record: CallReleased) -> None:
    call = partition.programs[record.program].calls.pop(record.call)
    _charge(partition, record.program, record.spent_tokens - call.reserved_tokens)


def _end(partition: Partition, record: CallEnded) -> None:
    program = partition.programs[record.program]
    call = program.calls[record.call]
    program.calls[record.call] = call._replace(ended=record)
    _charge(partition, record.program, record.spent_tokens - call.reserved_tokens)
    used = record.prompt_tokens + record.completion_tokens
    program.attained_tokens += used
    if record.outcome is Outcome.DONE and call.started.operation == CHAT:
        program.history_tokens = used
        program.messages += messages_of(call.started.body)
        program.messages.append(answer_message(record.answer))
        program.last_upstream = record.upstream


def _close(partition: Partition, record: ProgramClosed) -> None:
    program = partition.programs[record.program]
    program.closed = record.reason
    program.messages = []


def _charge(partition: Partition, program: str, tokens: int) -> None:
    for limited in partition.limits(program):
        limited.budget_tokens -= tokens
