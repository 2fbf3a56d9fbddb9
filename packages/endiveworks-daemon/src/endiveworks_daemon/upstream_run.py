"""Runs attempts on this process's engine or plain service."""

import threading
from collections.abc import Callable, Sequence

import msgspec
from endiveworks.calls.executor import RunAttempt
from endiveworks.calls.messages import CallKey, Job
from endiveworks.calls.queue import Queue
from endiveworks.calls.stream import FinalStatus, Stream
from endiveworks.checked_http import pool_manager
from endiveworks.engines.chat import ChatJob, run_chat
from endiveworks.engines.chat_format import continuation_request, count_events
from endiveworks.engines.plain import PlainJob, run_plain
from endiveworks.errors import Failure
from endiveworks.programs.records import CHAT

from .prefix_eviction import PrefixEviction
from .return_estimator import ReturnEstimator

_MAX_ENGINE_CONNECTIONS = 256


def with_evictions(
    run: RunAttempt, eviction: PrefixEviction, need_tokens: Callable[[Job], int]
) -> RunAttempt:
    """Wraps a function that runs attempts: evicts idle prefixes before each chat.

    Args:
        run: Runs an attempt.
        eviction: Evicts prefixes from the engine's memory.
        need_tokens: Returns the memory that an attempt is expected to use, in tokens.
    """

    def run_with_evictions(job: Job, stream: Stream, cancelled: threading.Event) -> FinalStatus:
        if job.operation != CHAT:
            return run(job, stream, cancelled)
        eviction.start_call(job.key.program, need_tokens(job))
        try:
            return run(job, stream, cancelled)
        finally:
            eviction.end_call(job.key.program)

    return run_with_evictions


def with_model(run: RunAttempt, model: Callable[[], str]) -> RunAttempt:
    """Wraps a function that runs attempts: sets each chat's model to the one that is loaded.

    During the rollout of a new model, a replica that has been updated may receive requests for the
    old model, and one that has not, requests for the new model.

    Args:
        run: Runs an attempt.
        model: Returns the model that the engine has loaded; empty when it is unknown.
    """

    def run_with_model(job: Job, stream: Stream, cancelled: threading.Event) -> FinalStatus:
        loaded_model = model()
        if job.operation == CHAT and loaded_model:
            job = job._replace(body=_set_model(job.body, loaded_model))
        return run(job, stream, cancelled)

    return run_with_model


def _set_model(body: bytes, model: str) -> bytes:
    encoded_model = msgspec.json.encode(model)
    if body.startswith(b'{"model":' + encoded_model + b","):
        return body
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    return msgspec.json.encode({**fields, "model": msgspec.Raw(encoded_model)})


def with_return_tracking(queue: Queue, return_estimator: ReturnEstimator) -> Queue:
    """Wraps a queue: records when programs have calls in this process and when they pause."""

    def enqueue(job: Job, now_s: float) -> Failure | None:
        failure = queue.enqueue(job, now_s)
        if failure is None:
            return_estimator.record_arrival(job.key.program)
        return failure

    def remove(key: CallKey) -> None:
        queue.remove(key)
        return_estimator.record_pause(key.program)

    def requeue(job: Job, now_s: float) -> None:
        queue.requeue(job, now_s)
        return_estimator.record_requeue(job.key.program)

    def on_finished(job: Job, final_status: FinalStatus, now_s: float) -> None:
        queue.on_finished(job, final_status, now_s)
        return_estimator.record_pause(job.key.program)

    def expire(now_s: float) -> Sequence[tuple[Job, Failure]]:
        expired = queue.expire(now_s)
        for job, _ in expired:
            return_estimator.record_pause(job.key.program)
        return expired

    return queue._replace(
        enqueue=enqueue, remove=remove, on_finished=on_finished, requeue=requeue, expire=expire
    )


def runner(upstream_url: str, silence_s: float) -> RunAttempt:
    """Returns a function that runs attempts.

    Args:
        upstream_url: URL of the engine or plain service.
        silence_s: Seconds without an event after which a stream is aborted.
    """
    http = pool_manager(num_pools=1, maxsize=_MAX_ENGINE_CONNECTIONS)

    def run(job: Job, stream: Stream, cancelled: threading.Event) -> FinalStatus:
        if job.operation == CHAT:
            return _run_chat(job, stream, cancelled)
        return _run_plain(job, stream)

    def _run_chat(job: Job, stream: Stream, cancelled: threading.Event) -> FinalStatus:
        def emit(event: bytes) -> bool:
            stream.append(event)
            return not cancelled.is_set()

        emitted = stream.read(0, 0.0).data
        if not emitted:
            return run_chat(http, ChatJob(upstream_url, str(job.key), job.body, silence_s, emit))
        # The attempt was preempted by a call of a higher class and is resumed.
        tokens = count_events(emitted)
        request_id = f"{job.key}+{tokens}"
        body = continuation_request(job.body, emitted)
        final_status = run_chat(http, ChatJob(upstream_url, request_id, body, silence_s, emit))
        return final_status._replace(
            prompt_tokens=max(0, final_status.prompt_tokens - tokens),
            completion_tokens=final_status.completion_tokens + tokens,
        )

    def _run_plain(job: Job, stream: Stream) -> FinalStatus:
        response = run_plain(
            PlainJob(
                base_url=upstream_url,
                operation=job.operation,
                request_id=str(job.key),
                body=job.body,
                at_most_once=job.at_most_once,
                timeout_s=job.deadline_s,
            )
        )
        stream.append(response.data)
        return response.final_status

    return run
