"""Read-only queries on programs, for callers and operators."""

from typing import TypedDict

from ..calls.stream import STORED_GENERATION, FinalStatus, Stream
from ..engines.chat import EVENT_STREAM
from ..engines.chat_format import render_events
from ..errors import Code, Failure
from .records import Call, CallEnded, Outcome
from .state import Partition, Program


class ProgramStatus(TypedDict):
    """Status of a program, as callers receive it."""

    id: str
    tenant: str
    parent: str
    next_call: int
    running: bool
    budget_tokens: int
    attained_tokens: int
    closed: str


def status_of(state: Partition, program: Program) -> ProgramStatus:
    """Returns a program's status."""
    opened = program.opened
    return ProgramStatus(
        id=opened.program,
        tenant=opened.tenant,
        parent=opened.parent,
        next_call=program.next_call,
        running=program.running is not None,
        budget_tokens=min(found.budget_tokens for found in state.with_ancestors(opened.program)),
        attained_tokens=program.attained_tokens,
        closed=program.closed.reason if program.closed is not None else "",
    )


def history_of(state: Partition, program: Program) -> bytes:
    """Returns a program's messages as a JSON list."""
    return b"[" + b",".join(program.messages) + b"]"


def running_calls(state: Partition) -> tuple[Call, ...]:
    """Returns the running calls."""
    programs = state.programs.values()
    return tuple(program.running for program in programs if program.running is not None)


def ended_call(state: Partition, program: str, number: int) -> CallEnded | None:
    """Returns the record that ended a call; None when it is running or does not exist."""
    found = state.programs.get(program)
    call = found.calls.get(number) if found is not None else None
    return call.ended if call is not None else None


def stored_stream(ended: CallEnded) -> Stream:
    """Returns a finished stream with the stored response of a call."""
    stream = Stream()
    failure = None
    if ended.outcome is Outcome.UNKNOWN:
        detail = "the call may have run; it is not repeated"
        failure = Failure(Code.OUTCOME_UNKNOWN, "programs.read", ended.upstream, detail)
    is_completion = ended.content_type == EVENT_STREAM and ended.status == 200
    stream.append(
        render_events(ended.response) if is_completion else ended.response, STORED_GENERATION
    )
    stream.finish(
        FinalStatus(
            ended.status,
            ended.content_type,
            ended.prompt_tokens,
            ended.completion_tokens,
            ended.cached_tokens,
            failure,
        )
    )
    return stream
