"""One attempt at a call: claimed, dispatched, followed, and settled when in doubt."""

import time
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result, Success

from ..calls.messages import CallKey, Doubt, Job
from ..calls.pull import Want
from ..calls.stream import Ending, Piece, Stream
from ..errors import Code, Failure
from ..members.member import Member
from .decide import claim_attempt
from .partition import commit
from .plan import Context, Plan, attempt_tokens, make_job
from .records import CHAT, Call, CallClaimed

PROBLEM = "application/problem+json"
_READ_WAIT_S = 1.0
_DOUBT_TRIES = 5
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0


class Spending(NamedTuple):
    """What the attempts so far may have used.

    Attributes:
        earlier_tokens: Tokens that earlier attempts may have used.
        reserved_tokens: Tokens reserved for the next attempt.
        ran: Whether an attempt may have run.
    """

    earlier_tokens: int
    reserved_tokens: int
    ran: bool


class Try(NamedTuple):
    """How one attempt ended.

    Attributes:
        ending: The attempt's ending.
        again: Whether another attempt is allowed.
        ran: Whether the attempt may have used tokens.
        upstream: Host that ran it; empty when none did.
    """

    ending: Ending
    again: bool
    ran: bool
    upstream: str


def refusal(failure: Failure) -> Ending:
    """Returns the ending of a call that a failure kept from running."""
    return Ending(503, PROBLEM, failure=failure)


def attempt_call(
    ctx: Context, plan: Plan, spending: Spending, stream: Stream
) -> tuple[Try, Spending]:
    """Claims, dispatches and follows the next attempt."""
    if ctx.cancelled():
        failure = Failure(Code.PROGRAM_CLOSED, "programs.attempt", "", "the program was closed")
        return Try(refusal(failure), False, False, ""), spending
    choice = ctx.upstreams.choose(plan.wanted)
    if not isinstance(choice, Success):
        return Try(refusal(choice.failure()), False, False, ""), spending
    member = choice.unwrap()
    extra = 0 if spending.reserved_tokens else attempt_tokens(plan)
    claim = _claim(plan, member, extra, stream)
    claimed = commit(ctx.ref, lambda partition: claim_attempt(partition, claim))
    if not isinstance(claimed, Success):
        ending = refusal(claimed.failure())
        ctx.upstreams.done(member.host, plan.wanted, ending)
        return Try(ending, False, False, ""), spending
    result = _dispatch(ctx, plan, member, make_job(ctx, plan, member, stream), stream)
    ctx.upstreams.done(member.host, plan.wanted, result.ending)
    spending = spending._replace(reserved_tokens=spending.reserved_tokens + extra)
    return result, after_try(spending, result)


def after_try(spending: Spending, last: Try) -> Spending:
    """Moves the reservation of an attempt that may have used tokens to what is spent."""
    spending = spending._replace(ran=spending.ran or last.ran)
    if last.ran and last.again:
        earlier = spending.earlier_tokens + spending.reserved_tokens
        return spending._replace(earlier_tokens=earlier, reserved_tokens=0)
    return spending


def settle_previous(ctx: Context, plan: Plan, call: Call, stream: Stream) -> Try:
    """Finds out what became of the attempt that a previous owner claimed last."""
    claim = call.claims[-1]
    key = CallKey(claim.program, claim.call, claim.attempt)
    if claim.continues and not plan.started.at_most_once:
        # The part of the answer that it continues is lost with the previous owner.
        ctx.upstreams.revoke(claim.upstream, key, claim.incarnation, ctx.epoch)
        failure = Failure(Code.UPSTREAM_FAILED, "programs.settle", claim.upstream, "begun again")
        return Try(Ending(502, PROBLEM, failure=failure), True, True, "")
    return _settle(ctx, plan, claim, key, stream)


def _claim(plan: Plan, member: Member, reserved_tokens: int, stream: Stream) -> CallClaimed:
    return CallClaimed(
        program=plan.started.program,
        call=plan.started.call,
        attempt=plan.attempt,
        upstream=member.host,
        incarnation=member.incarnation,
        reserved_tokens=reserved_tokens,
        continues=stream.size() > 0,
    )


def _dispatch(ctx: Context, plan: Plan, member: Member, job: Job, stream: Stream) -> Try:
    claim = _claim(plan, member, 0, stream)
    sent = ctx.upstreams.submit(member, job)
    if isinstance(sent, Success):
        return _follow(ctx, plan, claim, job.key, stream)
    failure = sent.failure()
    if failure.not_run:
        return Try(refusal(failure), True, False, member.host)
    return _settle(ctx, plan, claim, job.key, stream)


def _settle(ctx: Context, plan: Plan, claim: CallClaimed, key: CallKey, stream: Stream) -> Try:
    """Settles an attempt in doubt: follows it, or makes sure that it never runs.

    When the upstream process is gone, the outcome of an attempt that must not be repeated is
    unknown, and stays so.
    """
    if not plan.started.at_most_once:
        followed = _follow(ctx, plan, claim, key, stream)
        if followed.ending.failure is None or not followed.again:
            return followed
    outcome = _revoke(ctx, claim, key)
    if not isinstance(outcome, Success):
        return _lost(plan, claim.upstream, outcome.failure())
    match outcome.unwrap():
        case Doubt.REVOKED:
            detail = "the attempt was revoked before it ran"
            failure = Failure(Code.REVOKED, "programs.settle", claim.upstream, detail, True)
            return Try(refusal(failure), True, False, "")
        case Doubt.UNKNOWN:
            detail = "the upstream process restarted"
            failure = Failure(Code.UPSTREAM_FAILED, "programs.settle", claim.upstream, detail)
            return _lost(plan, claim.upstream, failure)
    if plan.started.at_most_once:
        return _follow(ctx, plan, claim, key, stream)
    failure = Failure(Code.UPSTREAM_FAILED, "programs.settle", claim.upstream, "it was cancelled")
    return _lost(plan, claim.upstream, failure)


def _revoke(ctx: Context, claim: CallClaimed, key: CallKey) -> Result[Doubt, Failure]:
    pause_s = _FIRST_PAUSE_S
    outcome = ctx.upstreams.revoke(claim.upstream, key, claim.incarnation, ctx.epoch)
    for _ in range(_DOUBT_TRIES):
        if isinstance(outcome, Success):
            break
        time.sleep(pause_s)
        pause_s = min(_LONGEST_PAUSE_S, 2 * pause_s)
        outcome = ctx.upstreams.revoke(claim.upstream, key, claim.incarnation, ctx.epoch)
    return outcome


def _lost(plan: Plan, host: str, failure: Failure) -> Try:
    """Returns the result of an attempt whose upstream process can't say what became of it."""
    code = Code.OUTCOME_UNKNOWN if plan.started.at_most_once else Code.UPSTREAM_FAILED
    ending = Ending(502, PROBLEM, failure=failure._replace(code=code, not_run=False))
    return Try(ending, not plan.started.at_most_once, True, host)


def _follow(ctx: Context, plan: Plan, claim: CallClaimed, key: CallKey, stream: Stream) -> Try:
    """Passes an attempt's answer on until it ends or its upstream process is lost."""
    host = claim.upstream
    offset = failures = 0
    cancel = _canceller(ctx, claim, key)
    # The next attempt can continue a chat, but any other answer it gives anew.
    whole = bytearray()

    def take(piece: Piece) -> None:
        nonlocal offset
        if plan.started.operation == CHAT:
            stream.append(piece.data, key.attempt)
        else:
            whole.extend(piece.data)
        offset += len(piece.data)

    while True:
        cancel()
        outcome = ctx.upstreams.read(host, key, offset, _READ_WAIT_S)
        if isinstance(outcome, Success):
            take(outcome.unwrap())
        if isinstance(outcome, Success) and offset and outcome.unwrap().ending is None:
            # Once it flows, its tokens come in messages shared with other answers.
            outcome = ctx.upstreams.tail(host, Want(key, offset), take, cancel)
        if isinstance(outcome, Success):
            failures = 0
            ending = outcome.unwrap().ending
            if ending is not None:
                stream.append(bytes(whole) if ending.failure is None else b"", key.attempt)
                return _ended(plan, host, ending)
            continue
        failures += 1
        failure = outcome.failure()
        if failure.code is Code.CONFLICT or failures >= _DOUBT_TRIES:
            return _lost(plan, host, failure)
        time.sleep(min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * failures))


def _canceller(ctx: Context, claim: CallClaimed, key: CallKey) -> Callable[[], None]:
    """Returns a function that revokes the attempt once its program has been closed.

    A running call that must not be repeated goes on; others end soon after.
    """
    done = False

    def cancel() -> None:
        nonlocal done
        if not done and ctx.cancelled():
            ctx.upstreams.revoke(claim.upstream, key, claim.incarnation, ctx.epoch)
            done = True

    return cancel


def _ended(plan: Plan, host: str, ending: Ending) -> Try:
    failure = ending.failure
    if failure is None:
        return Try(ending, False, True, host)
    if failure.not_run:
        return Try(ending, True, False, host)
    again = not plan.started.at_most_once and failure.code is not Code.REVOKED
    return Try(ending, again, True, host)
