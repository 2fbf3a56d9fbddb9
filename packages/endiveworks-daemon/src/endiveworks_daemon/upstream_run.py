"""Runs one attempt on the upstream of this process."""

import threading
from collections.abc import Callable, Sequence

import msgspec
import urllib3
from endiveworks.calls.executor import Run
from endiveworks.calls.messages import CallKey, Job
from endiveworks.calls.queue import Queue
from endiveworks.calls.stream import Ending, Stream
from endiveworks.engines.chat import ChatJob, run_chat
from endiveworks.engines.chat_format import continued_request, count_events
from endiveworks.engines.plain import PlainJob, run_plain
from endiveworks.errors import Failure
from endiveworks.programs.records import CHAT

from .prefix_eviction import PrefixEviction
from .program_returns import ProgramReturns

_MAX_ENGINE_CONNECTIONS = 256


def with_room(run: Run, room: PrefixEviction, need_tokens: Callable[[Job], int]) -> Run:
    """Returns the same function, which makes room in the engine's memory before each chat.

    Args:
        run: Runs an attempt.
        room: What is known of the engine's memory.
        need_tokens: Returns the memory that an attempt is expected to take.
    """

    def run_in_room(job: Job, stream: Stream, cancelled: threading.Event) -> Ending:
        if job.operation != CHAT:
            return run(job, stream, cancelled)
        room.begin(job.key.program, need_tokens(job))
        try:
            return run(job, stream, cancelled)
        finally:
            room.end(job.key.program)

    return run_in_room


def with_model(run: Run, model: Callable[[], str]) -> Run:
    """Returns the same function, which names the model that the engine has loaded.

    While a new model is rolled out, requests may come for the old one at a changed replica, and
    for the new one at a replica that is still to change.

    Args:
        run: Runs an attempt.
        model: Returns the model that the engine has loaded; empty when it is not known.
    """

    def run_with_model(job: Job, stream: Stream, cancelled: threading.Event) -> Ending:
        loaded = model()
        if job.operation == CHAT and loaded:
            job = job._replace(body=_naming(job.body, loaded))
        return run(job, stream, cancelled)

    return run_with_model


def _naming(body: bytes, model: str) -> bytes:
    named = msgspec.json.encode(model)
    if body.startswith(b'{"model":' + named + b","):
        return body
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    return msgspec.json.encode({**fields, "model": msgspec.Raw(named)})


def with_returns(waiting: Queue, returns: ProgramReturns) -> Queue:
    """Returns the same queue, which tells when programs have calls here and when they pause."""

    def offer(job: Job, now_s: float) -> Failure | None:
        refused = waiting.offer(job, now_s)
        if refused is None:
            returns.arrived(job.key.program)
        return refused

    def withdraw(key: CallKey) -> None:
        waiting.withdraw(key)
        returns.paused(key.program)

    def requeue(job: Job, now_s: float) -> None:
        waiting.requeue(job, now_s)
        returns.interrupted(job.key.program)

    def finished(job: Job, ending: Ending, now_s: float) -> None:
        waiting.finished(job, ending, now_s)
        returns.paused(job.key.program)

    def expire(now_s: float) -> Sequence[tuple[Job, Failure]]:
        late = waiting.expire(now_s)
        for job, _ in late:
            returns.paused(job.key.program)
        return late

    return waiting._replace(
        offer=offer, withdraw=withdraw, finished=finished, requeue=requeue, expire=expire
    )


def runner(upstream_url: str, silence_s: float) -> Run:
    """Returns the function that runs attempts.

    Args:
        upstream_url: URL of the engine or plain service.
        silence_s: Seconds without an event after which a stream is given up.
    """
    http = urllib3.PoolManager(num_pools=1, maxsize=_MAX_ENGINE_CONNECTIONS)

    def run(job: Job, stream: Stream, cancelled: threading.Event) -> Ending:
        if job.operation == CHAT:
            return _run_chat(job, stream, cancelled)
        return _run_plain(job, stream)

    def _run_chat(job: Job, stream: Stream, cancelled: threading.Event) -> Ending:
        def emit(event: bytes) -> bool:
            stream.append(event)
            return not cancelled.is_set()

        begun = stream.read(0, 0.0).data
        if not begun:
            return run_chat(http, ChatJob(upstream_url, str(job.key), job.body, silence_s, emit))
        # The attempt was paused for a call of a higher class and goes on.
        tokens = count_events(begun)
        request_id = f"{job.key}+{tokens}"
        body = continued_request(job.body, begun)
        rest = run_chat(http, ChatJob(upstream_url, request_id, body, silence_s, emit))
        return rest._replace(
            prompt_tokens=max(0, rest.prompt_tokens - tokens),
            completion_tokens=rest.completion_tokens + tokens,
        )

    def _run_plain(job: Job, stream: Stream) -> Ending:
        answer = run_plain(
            PlainJob(
                base_url=upstream_url,
                operation=job.operation,
                request_id=str(job.key),
                body=job.body,
                at_most_once=job.at_most_once,
                timeout_s=job.deadline_s,
            )
        )
        stream.append(answer.data)
        return answer.ending

    return run
