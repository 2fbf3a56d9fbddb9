"""Carries an accepted call to its final record, over as many attempts as it takes."""

import time

from returns.result import Success

from ..calls.stream import Ending, Stream
from ..engines.chat_format import DONE_EVENT, assemble
from ..errors import Code, Failure
from ..telemetry.logs import logger
from .attempt import (
    PROBLEM,
    Spending,
    Try,
    after_try,
    attempt_call,
    refusal,
    settle_previous,
)
from .decide import CLAIM_STEP, end_call, release_call
from .partition import commit
from .plan import Context, Plan, make_plan
from .records import CHAT, Call, CallEnded, CallReleased, Outcome

MAX_ATTEMPTS = 4
_RETRY_AFTER_S = 1.0
_NOT_TRIED = Try(Ending(503, PROBLEM), True, False, "")


def run_call(ctx: Context, call: Call, stream: Stream) -> bool:
    """Runs an accepted call to its final answer and finishes the stream with it.

    Args:
        ctx: What the call runs with.
        call: The call; one with claims was begun by a previous owner.
        stream: Receives the answer.

    Returns:
        Whether the end is stored. If it is not, the stream tells nothing that lasts: another
        thread or another owner brings the call to its end.
    """
    outcome = make_plan(ctx, call)
    if not isinstance(outcome, Success):
        return _abandon(ctx, call, outcome.failure(), stream)
    plan = outcome.unwrap()
    # What became of attempts before the last is not recorded.
    spending = Spending(0, call.reserved_tokens, ran=len(call.claims) > 1)
    last = _NOT_TRIED
    if call.claims:
        last = settle_previous(ctx, plan, call, stream)
        spending = after_try(spending, last)
    for _ in range(MAX_ATTEMPTS):
        if not last.again:
            break
        before = last
        last, spending = attempt_call(ctx, plan, spending, stream)
        last = _telling_when(before, last)
        plan = _next_plan(plan, last)
    failure = last.ending.failure
    if failure is None or failure.code is Code.OUTCOME_UNKNOWN:
        return _end(ctx, plan, last, spending, stream)
    if failure.step == CLAIM_STEP and failure.code is Code.CONFLICT:
        # The thread that made the claim brings the call to its end.
        stream.finish(refusal(failure._replace(not_run=False)))
        return False
    return _give_up(ctx, plan, last, spending, stream)


def _abandon(ctx: Context, call: Call, failure: Failure, stream: Stream) -> bool:
    """Takes back a call that can't be planned, unless an attempt at it may have run for good."""
    started = call.started
    is_stored = False
    if failure.code is Code.UNKNOWN_SERVICE and not (call.claims and started.at_most_once):
        spent = call.reserved_tokens if call.claims else 0
        released = CallReleased(started.program, started.call, spent)
        stored = commit(ctx.ref, lambda partition: release_call(partition, released))
        is_stored = isinstance(stored, Success)
        failure = failure._replace(not_run=is_stored and not call.claims)
    stream.finish(refusal(failure))
    return is_stored


def _telling_when(before: Try, last: Try) -> Try:
    """Keeps an upstream's refusal, which says when to ask again, if no other upstream is left."""
    refused, failure = before.ending.failure, last.ending.failure
    if failure is None or failure.code is not Code.NO_UPSTREAM:
        return last
    if refused is None or not refused.not_run:
        return last
    return before._replace(again=False)


def _next_plan(plan: Plan, last: Try) -> Plan:
    refused = plan.wanted.refused | {last.upstream}
    return plan._replace(attempt=plan.attempt + 1, wanted=plan.wanted._replace(refused=refused))


def _end(ctx: Context, plan: Plan, last: Try, spending: Spending, stream: Stream) -> bool:
    """Stores the final answer, and only then lets the stream end."""
    ended = _final_record(plan, last, spending, stream)
    stored = commit(ctx.ref, lambda partition: end_call(partition, ended))
    if not isinstance(stored, Success):
        # Another host may own the partition now and bring the call to its end.
        stream.finish(refusal(stored.failure()._replace(not_run=False)))
        return False
    if ended.outcome is Outcome.DONE and ended.status == 200 and plan.started.operation == CHAT:
        stream.append(DONE_EVENT)
    stream.finish(last.ending)
    return True


def _final_record(plan: Plan, last: Try, spending: Spending, stream: Stream) -> CallEnded:
    ending = last.ending
    data = stream.read(0, 0.0).data
    whole_chat = plan.started.operation == CHAT and ending.status == 200
    spent = ending.prompt_tokens + ending.completion_tokens
    outcome = Outcome.DONE if ending.status < 400 else Outcome.FAILED
    if ending.failure is not None:
        outcome, spent = Outcome.UNKNOWN, spending.reserved_tokens
    return CallEnded(
        program=plan.started.program,
        call=plan.started.call,
        outcome=outcome,
        status=ending.status,
        content_type=ending.content_type,
        answer=assemble(data) if whole_chat else data,
        spent_tokens=spending.earlier_tokens + spent,
        prompt_tokens=ending.prompt_tokens,
        completion_tokens=ending.completion_tokens,
        cached_tokens=ending.cached_tokens,
        upstream=last.upstream,
        at_s=time.time(),
    )


def _give_up(ctx: Context, plan: Plan, last: Try, spending: Spending, stream: Stream) -> bool:
    """Takes the call back, so that its number may be used again."""
    failure = last.ending.failure
    assert failure is not None
    started = plan.started
    spent = spending.earlier_tokens + (spending.reserved_tokens if last.ran else 0)
    released = CallReleased(started.program, started.call, spent)
    stored = commit(ctx.ref, lambda partition: release_call(partition, released))
    if not isinstance(stored, Success):
        stream.finish(refusal(stored.failure()._replace(not_run=False)))
        return False
    retry_after = _RETRY_AFTER_S if failure.retry_after_s is None else failure.retry_after_s
    final = failure._replace(not_run=not spending.ran, retry_after_s=retry_after)
    log = logger("programs")
    log.warning(
        "call_given_up",
        program=started.program,
        call=started.call,
        code=final.code,
        detail=str(final),
    )
    stream.finish(refusal(final))
    return True
