"""Runs an accepted call, with retries, until its final record is stored."""

import time

from returns.result import Success

from ..calls.stream import FinalStatus, Stream
from ..engines.chat_format import DONE_EVENT, assemble
from ..errors import Code, Failure
from ..telemetry.logs import logger
from .attempt import (
    PROBLEM_JSON,
    AttemptResult,
    AttemptUsage,
    attempt_call,
    failure_status,
    resolve_previous,
    update_usage,
)
from .decide import CLAIM_STEP, end_call, release_call
from .partition import commit
from .plan import CallContext, Plan, make_plan
from .records import CHAT, Call, CallEnded, CallReleased, Outcome

MAX_ATTEMPTS = 4
_RETRY_AFTER_S = 1.0
_NOT_ATTEMPTED = AttemptResult(FinalStatus(503, PROBLEM_JSON), True, False, "")


def run_call(ctx: CallContext, call: Call, stream: Stream) -> bool:
    """Runs an accepted call until it ends, and finishes the stream with its final status.

    Args:
        ctx: Dependencies of the call.
        call: The call; one with claims was started by a previous owner.
        stream: Receives the response.

    Returns:
        Whether the call's end is stored. If not, the stream's content is provisional: another
        thread or another owner completes the call.
    """
    outcome = make_plan(ctx, call)
    if not isinstance(outcome, Success):
        return _release_unplanned(ctx, call, outcome.failure(), stream)
    plan = outcome.unwrap()
    # The outcomes of attempts before the last are not recorded.
    usage = AttemptUsage(0, call.reserved_tokens, may_have_run=len(call.claims) > 1)
    last = _NOT_ATTEMPTED
    if call.claims:
        last = resolve_previous(ctx, plan, call, stream)
        usage = update_usage(usage, last)
    for _ in range(MAX_ATTEMPTS):
        if not last.retry_allowed:
            break
        previous = last
        last, usage = attempt_call(ctx, plan, usage, stream)
        last = _keep_retry_after(previous, last)
        plan = _next_plan(plan, last)
    failure = last.final_status.failure
    if failure is None or failure.code is Code.OUTCOME_UNKNOWN:
        return _store_end(ctx, plan, last, usage, stream)
    if failure.step == CLAIM_STEP and failure.code is Code.CONFLICT:
        # The thread that made the claim completes the call.
        stream.finish(failure_status(failure._replace(not_run=False)))
        return False
    return _release(ctx, plan, last, usage, stream)


def _release_unplanned(ctx: CallContext, call: Call, failure: Failure, stream: Stream) -> bool:
    """Releases a call that can't be planned, unless an at-most-once attempt may have run."""
    started = call.started
    is_stored = False
    if failure.code is Code.UNKNOWN_SERVICE and not (call.claims and started.at_most_once):
        spent = call.reserved_tokens if call.claims else 0
        released = CallReleased(started.program, started.call, spent)
        stored = commit(ctx.ref, lambda partition: release_call(partition, released))
        is_stored = isinstance(stored, Success)
        failure = failure._replace(not_run=is_stored and not call.claims)
    stream.finish(failure_status(failure))
    return is_stored


def _keep_retry_after(previous: AttemptResult, last: AttemptResult) -> AttemptResult:
    """Keeps an upstream's refusal, with its Retry-After time, if no other upstream is left."""
    refused, failure = previous.final_status.failure, last.final_status.failure
    if failure is None or failure.code is not Code.NO_UPSTREAM:
        return last
    if refused is None or not refused.not_run:
        return last
    return previous._replace(retry_allowed=False)


def _next_plan(plan: Plan, last: AttemptResult) -> Plan:
    excluded_hosts = plan.placement.excluded_hosts | {last.upstream}
    return plan._replace(
        attempt=plan.attempt + 1, placement=plan.placement._replace(excluded_hosts=excluded_hosts)
    )


def _store_end(
    ctx: CallContext, plan: Plan, last: AttemptResult, usage: AttemptUsage, stream: Stream
) -> bool:
    """Stores the final response before it finishes the stream."""
    ended = _make_end_record(plan, last, usage, stream)
    stored = commit(ctx.ref, lambda partition: end_call(partition, ended))
    if not isinstance(stored, Success):
        # Another host may own the partition now and complete the call.
        stream.finish(failure_status(stored.failure()._replace(not_run=False)))
        return False
    if ended.outcome is Outcome.DONE and ended.status == 200 and plan.started.operation == CHAT:
        stream.append(DONE_EVENT)
    stream.finish(last.final_status)
    return True


def _make_end_record(
    plan: Plan, last: AttemptResult, usage: AttemptUsage, stream: Stream
) -> CallEnded:
    final_status = last.final_status
    data = stream.read(0, 0.0).data
    is_completion = plan.started.operation == CHAT and final_status.status == 200
    spent = final_status.prompt_tokens + final_status.completion_tokens
    outcome = Outcome.DONE if final_status.status < 400 else Outcome.FAILED
    if final_status.failure is not None:
        outcome, spent = Outcome.UNKNOWN, usage.reserved_tokens
    return CallEnded(
        program=plan.started.program,
        call=plan.started.call,
        outcome=outcome,
        status=final_status.status,
        content_type=final_status.content_type,
        response=assemble(data) if is_completion else data,
        spent_tokens=usage.earlier_tokens + spent,
        prompt_tokens=final_status.prompt_tokens,
        completion_tokens=final_status.completion_tokens,
        cached_tokens=final_status.cached_tokens,
        upstream=last.upstream,
        at_s=time.time(),
    )


def _release(
    ctx: CallContext, plan: Plan, last: AttemptResult, usage: AttemptUsage, stream: Stream
) -> bool:
    """Releases the call, so that its number may be used again."""
    failure = last.final_status.failure
    assert failure is not None
    started = plan.started
    spent = usage.earlier_tokens + (usage.reserved_tokens if last.may_have_run else 0)
    released = CallReleased(started.program, started.call, spent)
    stored = commit(ctx.ref, lambda partition: release_call(partition, released))
    if not isinstance(stored, Success):
        stream.finish(failure_status(stored.failure()._replace(not_run=False)))
        return False
    retry_after = _RETRY_AFTER_S if failure.retry_after_s is None else failure.retry_after_s
    final = failure._replace(not_run=not usage.may_have_run, retry_after_s=retry_after)
    log = logger("programs")
    log.warning(
        "call_given_up",
        program=started.program,
        call=started.call,
        code=final.code,
        detail=str(final),
    )
    stream.finish(failure_status(final))
    return True
