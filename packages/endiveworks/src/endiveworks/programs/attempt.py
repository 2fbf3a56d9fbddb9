"""One attempt at a call: claim, dispatch, follow the response, resolve an unknown outcome."""

import time
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result, Success

from ..calls.messages import CallKey, Job, RevokeOutcome
from ..calls.poll_client import ReadRequest
from ..calls.stream import Chunk, FinalStatus, Stream
from ..errors import Code, Failure
from ..members.member import Member
from .decide import claim_attempt
from .partition import commit
from .plan import CallContext, Plan, make_job, max_attempt_tokens
from .records import CHAT, Call, CallClaimed

PROBLEM_JSON = "application/problem+json"
_READ_WAIT_S = 1.0
_MAX_RETRIES = 5
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0


class AttemptUsage(NamedTuple):
    """Upper bound of the tokens that the attempts at a call have used.

    Attributes:
        earlier_tokens: Tokens that earlier attempts may have used.
        reserved_tokens: Tokens reserved for the next attempt.
        may_have_run: Whether any attempt may have run.
    """

    earlier_tokens: int
    reserved_tokens: int
    may_have_run: bool


class AttemptResult(NamedTuple):
    """Result of one attempt.

    Attributes:
        final_status: Final status of the response.
        retry_allowed: Whether another attempt is allowed.
        may_have_run: Whether the attempt may have used tokens.
        upstream: Host that ran the attempt; empty when none did.
    """

    final_status: FinalStatus
    retry_allowed: bool
    may_have_run: bool
    upstream: str


def failure_status(failure: Failure) -> FinalStatus:
    """Returns the final status that reports a failure to the caller, with status 503."""
    return FinalStatus(503, PROBLEM_JSON, failure=failure)


def attempt_call(
    ctx: CallContext, plan: Plan, usage: AttemptUsage, stream: Stream
) -> tuple[AttemptResult, AttemptUsage]:
    """Claims and dispatches the next attempt, and follows its response."""
    if ctx.cancelled():
        failure = Failure(Code.PROGRAM_CLOSED, "programs.attempt", "", "the program was closed")
        return AttemptResult(failure_status(failure), False, False, ""), usage
    choice = ctx.upstreams.choose(plan.placement)
    if not isinstance(choice, Success):
        return AttemptResult(failure_status(choice.failure()), False, False, ""), usage
    member = choice.unwrap()
    extra_tokens = 0 if usage.reserved_tokens else max_attempt_tokens(plan)
    claim = _make_claim(plan, member, extra_tokens, stream)
    claimed = commit(ctx.ref, lambda partition: claim_attempt(partition, claim))
    if not isinstance(claimed, Success):
        final_status = failure_status(claimed.failure())
        ctx.upstreams.on_ended(member.host, plan.placement, final_status)
        return AttemptResult(final_status, False, False, ""), usage
    result = _dispatch(ctx, plan, member, make_job(ctx, plan, member, stream), stream)
    ctx.upstreams.on_ended(member.host, plan.placement, result.final_status)
    usage = usage._replace(reserved_tokens=usage.reserved_tokens + extra_tokens)
    return result, update_usage(usage, result)


def update_usage(usage: AttemptUsage, last: AttemptResult) -> AttemptUsage:
    """Counts the reserved tokens as used when an attempt that may have run is retried."""
    usage = usage._replace(may_have_run=usage.may_have_run or last.may_have_run)
    if last.may_have_run and last.retry_allowed:
        earlier = usage.earlier_tokens + usage.reserved_tokens
        return usage._replace(earlier_tokens=earlier, reserved_tokens=0)
    return usage


def resolve_previous(ctx: CallContext, plan: Plan, call: Call, stream: Stream) -> AttemptResult:
    """Determines the outcome of the last attempt that a previous owner claimed."""
    claim = call.claims[-1]
    key = CallKey(claim.program, claim.call, claim.attempt)
    if claim.continues and not plan.started.at_most_once:
        # This attempt continues a partial response that only the previous owner held in memory.
        ctx.upstreams.revoke(claim.upstream, key, claim.incarnation, ctx.epoch)
        failure = Failure(
            Code.UPSTREAM_FAILED, "programs.settle", claim.upstream, "the partial response is lost"
        )
        return AttemptResult(FinalStatus(502, PROBLEM_JSON, failure=failure), True, True, "")
    return _resolve(ctx, plan, claim, key, stream)


def _make_claim(plan: Plan, member: Member, reserved_tokens: int, stream: Stream) -> CallClaimed:
    return CallClaimed(
        program=plan.started.program,
        call=plan.started.call,
        attempt=plan.attempt,
        upstream=member.host,
        incarnation=member.incarnation,
        reserved_tokens=reserved_tokens,
        continues=stream.size() > 0,
    )


def _dispatch(
    ctx: CallContext, plan: Plan, member: Member, job: Job, stream: Stream
) -> AttemptResult:
    claim = _make_claim(plan, member, 0, stream)
    sent = ctx.upstreams.submit(member, job)
    if isinstance(sent, Success):
        return _follow(ctx, plan, claim, job.key, stream)
    failure = sent.failure()
    if failure.not_run:
        return AttemptResult(failure_status(failure), True, False, member.host)
    return _resolve(ctx, plan, claim, job.key, stream)


def _resolve(
    ctx: CallContext, plan: Plan, claim: CallClaimed, key: CallKey, stream: Stream
) -> AttemptResult:
    """Resolves an attempt with an unknown outcome: follows it, or revokes it before it runs.

    If the upstream process is gone, the outcome of an at-most-once attempt stays unknown.
    """
    if not plan.started.at_most_once:
        followed = _follow(ctx, plan, claim, key, stream)
        if followed.final_status.failure is None or not followed.retry_allowed:
            return followed
    outcome = _revoke(ctx, claim, key)
    if not isinstance(outcome, Success):
        return _unresolved(plan, claim.upstream, outcome.failure())
    match outcome.unwrap():
        case RevokeOutcome.REVOKED:
            detail = "the attempt was revoked before it ran"
            failure = Failure(Code.REVOKED, "programs.settle", claim.upstream, detail, True)
            return AttemptResult(failure_status(failure), True, False, "")
        case RevokeOutcome.UNKNOWN:
            detail = "the upstream process restarted"
            failure = Failure(Code.UPSTREAM_FAILED, "programs.settle", claim.upstream, detail)
            return _unresolved(plan, claim.upstream, failure)
    if plan.started.at_most_once:
        return _follow(ctx, plan, claim, key, stream)
    failure = Failure(
        Code.UPSTREAM_FAILED, "programs.settle", claim.upstream, "the attempt was cancelled"
    )
    return _unresolved(plan, claim.upstream, failure)


def _revoke(ctx: CallContext, claim: CallClaimed, key: CallKey) -> Result[RevokeOutcome, Failure]:
    backoff_s = _MIN_BACKOFF_S
    outcome = ctx.upstreams.revoke(claim.upstream, key, claim.incarnation, ctx.epoch)
    for _ in range(_MAX_RETRIES):
        if isinstance(outcome, Success):
            break
        time.sleep(backoff_s)
        backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
        outcome = ctx.upstreams.revoke(claim.upstream, key, claim.incarnation, ctx.epoch)
    return outcome


def _unresolved(plan: Plan, host: str, failure: Failure) -> AttemptResult:
    """Returns the result of an attempt whose outcome its upstream process can't report."""
    code = Code.OUTCOME_UNKNOWN if plan.started.at_most_once else Code.UPSTREAM_FAILED
    final_status = FinalStatus(
        502, PROBLEM_JSON, failure=failure._replace(code=code, not_run=False)
    )
    return AttemptResult(final_status, not plan.started.at_most_once, True, host)


def _follow(
    ctx: CallContext, plan: Plan, claim: CallClaimed, key: CallKey, stream: Stream
) -> AttemptResult:
    """Copies an attempt's response to the stream until it ends or its upstream process is lost."""
    host = claim.upstream
    offset = failures = 0
    check_cancelled = _make_cancel_check(ctx, claim, key)
    # The next attempt can continue a partial chat, but produces any other response from its start,
    # so that other responses are buffered until they are complete.
    buffered = bytearray()

    def on_chunk(chunk: Chunk) -> None:
        nonlocal offset
        if plan.started.operation == CHAT:
            stream.append(chunk.data, key.attempt)
        else:
            buffered.extend(chunk.data)
        offset += len(chunk.data)

    while True:
        check_cancelled()
        outcome = ctx.upstreams.read(host, key, offset, _READ_WAIT_S)
        if isinstance(outcome, Success):
            on_chunk(outcome.unwrap())
        if isinstance(outcome, Success) and offset and outcome.unwrap().final_status is None:
            # Once the response has begun, the rest is read by polls shared with other responses.
            outcome = ctx.upstreams.tail(host, ReadRequest(key, offset), on_chunk, check_cancelled)
        if isinstance(outcome, Success):
            failures = 0
            final_status = outcome.unwrap().final_status
            if final_status is not None:
                stream.append(bytes(buffered) if final_status.failure is None else b"", key.attempt)
                return _result_of(plan, host, final_status)
            continue
        failures += 1
        failure = outcome.failure()
        if failure.code is Code.CONFLICT or failures >= _MAX_RETRIES:
            return _unresolved(plan, host, failure)
        time.sleep(min(_MAX_BACKOFF_S, _MIN_BACKOFF_S * failures))


def _make_cancel_check(ctx: CallContext, claim: CallClaimed, key: CallKey) -> Callable[[], None]:
    """Returns a function that revokes the attempt, once, after its program has been closed.

    A running at-most-once call continues; any other call ends soon after.
    """
    revoked = False

    def check_cancelled() -> None:
        nonlocal revoked
        if not revoked and ctx.cancelled():
            ctx.upstreams.revoke(claim.upstream, key, claim.incarnation, ctx.epoch)
            revoked = True

    return check_cancelled


def _result_of(plan: Plan, host: str, final_status: FinalStatus) -> AttemptResult:
    failure = final_status.failure
    if failure is None:
        return AttemptResult(final_status, False, True, host)
    if failure.not_run:
        return AttemptResult(final_status, True, False, host)
    retry_allowed = not plan.started.at_most_once and failure.code is not Code.REVOKED
    return AttemptResult(final_status, retry_allowed, True, host)
