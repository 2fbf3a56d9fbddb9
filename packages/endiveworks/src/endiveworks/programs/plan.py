"""What a call needs to be dispatched, taken from its program's state."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
import pykka
from returns.result import Failure as Err
from returns.result import Result, Success

from ..calls.messages import CallKey, Doubt, Job
from ..calls.pull import Want
from ..calls.stream import Ending, Piece, Stream
from ..config.bundle import Bundle, Service
from ..engines.chat_format import (
    EVENT_END,
    ChatRequest,
    assemble,
    engine_request,
    parse_request,
)
from ..errors import Code, Failure
from ..members.member import Member
from .partition import PartitionActor, view
from .records import CHAT, Call, CallStarted
from .state import Partition


class Wanted(NamedTuple):
    """What is known of a call when its upstream is chosen.

    Attributes:
        service: Service that runs it.
        program: Program of the call.
        tenant: Tenant of the program.
        class_name: Class of the program.
        last_upstream: Host that ran the program's last chat; empty at first.
        history_tokens: Tokens of the history.
        new_tokens: Upper bound of the tokens beyond the history.
        max_tokens: Largest answer, in tokens.
        attained_tokens: Tokens that the program has used so far.
        refused: Hosts that have refused or failed the call already.
    """

    service: Service
    program: str
    tenant: str
    class_name: str
    last_upstream: str
    history_tokens: int
    new_tokens: int
    max_tokens: int
    attained_tokens: int
    refused: frozenset[str]


class Upstreams(NamedTuple):
    """How the upstream processes are reached.

    Attributes:
        choose: Chooses the upstream process for a call, or says when to ask again.
        submit: Sends an attempt to an upstream process.
        read: Reads an attempt's answer at a host from an offset on, once.
        tail: Passes the rest of an answer at a host on, and returns its last piece. Its last
            argument is called about once a second.
        revoke: Settles a doubtful attempt at an incarnation of a host, under an epoch.
        done: Is told that an attempt at a host has ended, with its ending.
    """

    choose: Callable[[Wanted], Result[Member, Failure]]
    submit: Callable[[Member, Job], Result[None, Failure]]
    read: Callable[[str, CallKey, int, float], Result[Piece, Failure]]
    tail: Callable[[str, Want, Callable[[Piece], None], Callable[[], None]], Result[Piece, Failure]]
    revoke: Callable[[str, CallKey, int, int], Result[Doubt, Failure]]
    done: Callable[[str, Wanted, Ending], None]


class Context(NamedTuple):
    """What a call runs with.

    Attributes:
        ref: Actor of its partition.
        epoch: Epoch of this host's ownership of the partition.
        upstreams: How upstream processes are reached.
        bundle: Returns the configuration in force.
        cancelled: Returns whether the call's program has been closed.
    """

    ref: "pykka.ActorRef[PartitionActor]"
    epoch: int
    upstreams: Upstreams
    bundle: Callable[[], Bundle]
    cancelled: Callable[[], bool]


class Plan(NamedTuple):
    """One call as it is to be dispatched.

    Attributes:
        started: The call as accepted.
        wanted: What the choice of an upstream depends on.
        history: Messages of the program so far, each as JSON.
        attempt: Number of the next attempt.
        chat: The body of a chat; None for other operations.
    """

    started: CallStarted
    wanted: Wanted
    history: tuple[bytes, ...]
    attempt: int
    chat: ChatRequest | None


def make_plan(ctx: Context, call: Call) -> Result[Plan, Failure]:
    """Returns the plan of a running call."""
    started = call.started
    service = ctx.bundle().services.get(started.service)
    if service is None:
        detail = f"service {started.service!r} was removed"
        return Err(Failure(Code.UNKNOWN_SERVICE, "programs.plan", "", detail))

    # Outside the actor, which others wait for.
    chat = parse_request(started.body).unwrap() if started.operation == CHAT else None

    def look(partition: Partition) -> Result[Plan, Failure]:
        program = partition.programs[started.program]
        known = program.calls.get(started.call)
        if known is None or known.claims != call.claims or known.ended is not None:
            # Two threads that ran one call would dispatch it twice.
            detail = f"call {started.call} of {started.program} is run by another thread"
            return Err(Failure(Code.CONFLICT, "programs.plan", "", detail))
        wanted = Wanted(
            service=service,
            program=started.program,
            tenant=program.opened.tenant,
            class_name=program.opened.class_name,
            last_upstream=program.last_upstream,
            history_tokens=program.history_tokens,
            new_tokens=chat.new_prompt_tokens if chat else 0,
            max_tokens=answer_limit(service, chat.max_tokens) if chat else 0,
            attained_tokens=program.attained_tokens,
            refused=frozenset(),
        )
        return Success(Plan(started, wanted, tuple(program.messages), program.attempts + 1, chat))

    return view(ctx.ref, look).bind(lambda outcome: outcome)


def answer_limit(service: Service, asked_tokens: int) -> int:
    """Returns the largest answer of a call, in tokens; a caller that names none gets the most."""
    return min(asked_tokens, service.max_tokens) if asked_tokens else service.max_tokens


def attempt_tokens(plan: Plan) -> int:
    """Returns the tokens that one more attempt may use."""
    if plan.started.operation != CHAT:
        return 0
    wanted = plan.wanted
    return wanted.history_tokens + wanted.new_tokens + wanted.max_tokens


def make_job(ctx: Context, plan: Plan, member: Member, stream: Stream) -> Job:
    """Returns the message that dispatches the next attempt to an upstream process.

    An answer that was begun is continued, up to the length that the whole of it may have.
    """
    started, wanted = plan.started, plan.wanted
    begun = stream.read(0, 0.0).data
    max_tokens = max(1, wanted.max_tokens - begun.count(EVENT_END)) if begun else wanted.max_tokens
    return Job(
        key=CallKey(started.program, started.call, plan.attempt),
        epoch=ctx.epoch,
        incarnation=member.incarnation,
        tenant=wanted.tenant,
        service=started.service,
        operation=started.operation,
        class_name=wanted.class_name,
        at_most_once=started.at_most_once,
        attained_tokens=wanted.attained_tokens,
        deadline_s=wanted.service.deadline_s,
        prompt_tokens=wanted.history_tokens + wanted.new_tokens,
        max_tokens=max_tokens,
        body=_body(plan, begun, max_tokens),
    )


def _body(plan: Plan, begun: bytes, max_tokens: int) -> bytes:
    if plan.chat is None:
        return plan.started.body
    message = _begun_message(begun) if begun else b""
    wanted = plan.wanted
    return engine_request(
        wanted.service.model, wanted.program, plan.history, plan.chat, max_tokens, message
    )


def _begun_message(events: bytes) -> bytes:
    message = msgspec.json.decode(assemble(events))["choices"][0]["message"]
    return msgspec.json.encode(message)
