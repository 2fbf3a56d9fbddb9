"""Plan of a call: what its dispatch needs from the state of its program."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
import pykka
from returns.result import Failure as Err
from returns.result import Result, Success

from ..calls.messages import CallKey, Job, RevokeOutcome
from ..calls.poll_client import ReadRequest
from ..calls.stream import Chunk, FinalStatus, Stream
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
from .partition import PartitionActor, query
from .records import CHAT, Call, CallStarted
from .state import Partition


class PlacementRequest(NamedTuple):
    """Properties of a call that determine the choice of its upstream.

    Attributes:
        service: Service that runs it.
        program: Program of the call.
        tenant: Tenant of the program.
        class_name: Class of the program.
        last_upstream: Host that ran the program's last chat; empty before the first chat.
        history_tokens: Tokens of the history.
        new_tokens: Upper bound of the tokens beyond the history.
        max_tokens: Maximum size of the response, in tokens.
        attained_tokens: Tokens that the program has used so far.
        excluded_hosts: Hosts that have already refused the call or failed to complete it.
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
    excluded_hosts: frozenset[str]


class Upstreams(NamedTuple):
    """Functions that reach the upstream processes.

    Attributes:
        choose: Chooses the upstream process for a call, or returns when to retry.
        submit: Sends an attempt to an upstream process.
        read: Reads one chunk of an attempt's response at a host, from an offset on.
        tail: Passes the rest of a response at a host to a callback, and returns the last chunk.
            Its last argument is called about once a second.
        revoke: Revokes an attempt with an unknown outcome at an incarnation of a host, under an
            epoch.
        on_ended: Called with the final status of each attempt at a host.
    """

    choose: Callable[[PlacementRequest], Result[Member, Failure]]
    submit: Callable[[Member, Job], Result[None, Failure]]
    read: Callable[[str, CallKey, int, float], Result[Chunk, Failure]]
    tail: Callable[
        [str, ReadRequest, Callable[[Chunk], None], Callable[[], None]], Result[Chunk, Failure]
    ]
    revoke: Callable[[str, CallKey, int, int], Result[RevokeOutcome, Failure]]
    on_ended: Callable[[str, PlacementRequest, FinalStatus], None]


class CallContext(NamedTuple):
    """Dependencies of a running call.

    Attributes:
        ref: Actor of its partition.
        epoch: Epoch of this host's ownership of the partition.
        upstreams: Functions that reach the upstream processes.
        bundle: Returns the current configuration.
        cancelled: Returns whether the call's program has been closed.
    """

    ref: "pykka.ActorRef[PartitionActor]"
    epoch: int
    upstreams: Upstreams
    bundle: Callable[[], Bundle]
    cancelled: Callable[[], bool]


class Plan(NamedTuple):
    """A call, prepared for dispatch.

    Attributes:
        started: The record that accepted the call.
        placement: Properties that determine the choice of its upstream.
        history: Messages of the program so far, each as JSON.
        attempt: Number of the next attempt.
        chat: The body of a chat; None for other operations.
    """

    started: CallStarted
    placement: PlacementRequest
    history: tuple[bytes, ...]
    attempt: int
    chat: ChatRequest | None


def make_plan(ctx: CallContext, call: Call) -> Result[Plan, Failure]:
    """Returns the plan of a running call."""
    started = call.started
    service = ctx.bundle().services.get(started.service)
    if service is None:
        detail = f"service {started.service!r} was removed"
        return Err(Failure(Code.UNKNOWN_SERVICE, "programs.plan", "", detail))

    # Parsed outside the actor, to keep other calls from waiting for it.
    chat = parse_request(started.body).unwrap() if started.operation == CHAT else None

    def select(partition: Partition) -> Result[Plan, Failure]:
        program = partition.programs[started.program]
        current = program.calls.get(started.call)
        if current is None or current.claims != call.claims or current.ended is not None:
            # Two threads that run the same call would dispatch it twice.
            detail = f"call {started.call} of {started.program} is run by another thread"
            return Err(Failure(Code.CONFLICT, "programs.plan", "", detail))
        placement = PlacementRequest(
            service=service,
            program=started.program,
            tenant=program.opened.tenant,
            class_name=program.opened.class_name,
            last_upstream=program.last_upstream,
            history_tokens=program.history_tokens,
            new_tokens=chat.new_prompt_tokens if chat else 0,
            max_tokens=max_response_tokens(service, chat.max_tokens) if chat else 0,
            attained_tokens=program.attained_tokens,
            excluded_hosts=frozenset(),
        )
        return Success(
            Plan(started, placement, tuple(program.messages), program.attempts + 1, chat)
        )

    return query(ctx.ref, select).bind(lambda outcome: outcome)


def max_response_tokens(service: Service, requested_tokens: int) -> int:
    """Returns the maximum response of a call, in tokens; 0 requests the service's maximum."""
    return min(requested_tokens, service.max_tokens) if requested_tokens else service.max_tokens


def max_attempt_tokens(plan: Plan) -> int:
    """Returns the tokens that one more attempt may use."""
    if plan.started.operation != CHAT:
        return 0
    placement = plan.placement
    return placement.history_tokens + placement.new_tokens + placement.max_tokens


def make_job(ctx: CallContext, plan: Plan, member: Member, stream: Stream) -> Job:
    """Returns the message that dispatches the next attempt to an upstream process.

    A partial response is continued, up to the maximum length of the complete response; each event
    of the partial response counts as one token.
    """
    started, placement = plan.started, plan.placement
    partial = stream.read(0, 0.0).data
    max_tokens = (
        max(1, placement.max_tokens - partial.count(EVENT_END)) if partial else placement.max_tokens
    )
    return Job(
        key=CallKey(started.program, started.call, plan.attempt),
        epoch=ctx.epoch,
        incarnation=member.incarnation,
        tenant=placement.tenant,
        service=started.service,
        operation=started.operation,
        class_name=placement.class_name,
        at_most_once=started.at_most_once,
        attained_tokens=placement.attained_tokens,
        deadline_s=placement.service.deadline_s,
        prompt_tokens=placement.history_tokens + placement.new_tokens,
        max_tokens=max_tokens,
        body=_body(plan, partial, max_tokens),
    )


def _body(plan: Plan, partial: bytes, max_tokens: int) -> bytes:
    if plan.chat is None:
        return plan.started.body
    message = _partial_message(partial) if partial else b""
    placement = plan.placement
    return engine_request(
        placement.service.model, placement.program, plan.history, plan.chat, max_tokens, message
    )


def _partial_message(events: bytes) -> bytes:
    message = msgspec.json.decode(assemble(events))["choices"][0]["message"]
    return msgspec.json.encode(message)
