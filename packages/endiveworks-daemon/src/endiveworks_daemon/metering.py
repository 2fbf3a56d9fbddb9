"""Wrappers that record metrics of calls, queues, programs and HTTP requests."""

import threading
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from endiveworks.calls.messages import CallKey, Job
from endiveworks.calls.queue import Queue
from endiveworks.calls.stream import Chunk, FinalStatus
from endiveworks.errors import Failure
from endiveworks.members.member import Member
from endiveworks.programs.plan import PlacementRequest, Upstreams
from endiveworks.programs.records import ProgramClosed, ProgramOpened
from endiveworks.telemetry.metrics import Metrics
from returns.result import Result, Success

from .http_request import TENANT_HEADER, is_valid_name

_MAX_TRACKED_CALLS = 4096


class _RunningCall(NamedTuple):
    """A call in progress at this owner."""

    req: PlacementRequest
    started_at_s: float


class _CallTracker:
    """Calls in progress at this owner, by program: a program has at most one call at a time."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._running: dict[str, _RunningCall] = {}

    def start_call(self, req: PlacementRequest) -> None:
        """Starts timing a call at its first choice of an upstream; a retry doesn't restart it."""
        with self._lock:
            if not req.excluded_hosts or req.program not in self._running:
                self._running[req.program] = _RunningCall(req, time.monotonic())
            # Abandoned calls never end, so the oldest entries are evicted.
            if len(self._running) > _MAX_TRACKED_CALLS:
                self._running.pop(next(iter(self._running)))

    def record_first_data(self, program: str) -> None:
        """Records the time to the first data of a response."""
        with self._lock:
            call = self._running.get(program)
        if call is not None:
            self._record("first_token_ms", _since_ms(call.started_at_s), call.req)

    def record_end(self, req: PlacementRequest, final_status: FinalStatus) -> None:
        """Records the metrics of a complete response, or counts a failed attempt."""
        if final_status.failure is not None:
            self._metrics.count("failed_attempts", 1, req.tenant, req.class_name)
            return
        call = self.remove(req.program)
        if call is not None:
            self._record("call_ms", _since_ms(call.started_at_s), req)
        if final_status.prompt_tokens:
            wasted_tokens = max(0, req.history_tokens - final_status.cached_tokens)
            self._record("wasted_cache_tokens", wasted_tokens, req)

    def remove(self, program: str) -> _RunningCall | None:
        """Stops tracking a program's call; returns it if it was tracked."""
        with self._lock:
            return self._running.pop(program, None)

    def _record(self, name: str, value: float, req: PlacementRequest) -> None:
        self._metrics.record(name, value, req.tenant, req.class_name)


def instrument_upstreams(upstreams: Upstreams, metrics: Metrics) -> Upstreams:
    """Wraps the functions to record metrics of calls.

    These are first_token_ms and call_ms, both measured from the first choice of an upstream,
    failed_attempts, and wasted_cache_tokens: history tokens that the engine's cache missed.
    """
    tracker = _CallTracker(metrics)

    def choose(req: PlacementRequest) -> Result[Member, Failure]:
        tracker.start_call(req)
        chosen = upstreams.choose(req)
        if not isinstance(chosen, Success):
            tracker.remove(req.program)
        return chosen

    def read(host: str, key: CallKey, offset: int, wait_s: float) -> Result[Chunk, Failure]:
        outcome = upstreams.read(host, key, offset, wait_s)
        if offset == 0 and isinstance(outcome, Success) and outcome.unwrap().data:
            tracker.record_first_data(key.program)
        return outcome

    def on_ended(host: str, req: PlacementRequest, final_status: FinalStatus) -> None:
        upstreams.on_ended(host, req, final_status)
        tracker.record_end(req, final_status)

    return upstreams._replace(choose=choose, read=read, on_ended=on_ended)


def instrument_queue(queue: Queue, metrics: Metrics) -> Queue:
    """Wraps a queue to record queue_wait_ms of dequeued jobs and count refused or expired ones."""
    enqueued_at_s: dict[CallKey, float] = {}

    def enqueue(job: Job, now_s: float) -> Failure | None:
        refusal = queue.enqueue(job, now_s)
        if refusal is None:
            enqueued_at_s[job.key] = now_s
        else:
            metrics.count("queue_refusals", 1, job.tenant, job.class_name)
        return refusal

    def dequeue(now_s: float) -> Job | None:
        job = queue.dequeue(now_s)
        if job is not None:
            wait_ms = (now_s - enqueued_at_s.pop(job.key, now_s)) * 1000
            metrics.record("queue_wait_ms", wait_ms, job.tenant, job.class_name)
        return job

    def remove(key: CallKey) -> None:
        enqueued_at_s.pop(key, None)
        queue.remove(key)

    def expire(now_s: float) -> Sequence[tuple[Job, Failure]]:
        expired = queue.expire(now_s)
        for job, _ in expired:
            enqueued_at_s.pop(job.key, None)
            metrics.count("queue_refusals", 1, job.tenant, job.class_name)
        return expired

    return queue._replace(enqueue=enqueue, dequeue=dequeue, remove=remove, expire=expire)


def program_observer(metrics: Metrics) -> Callable[[ProgramOpened, ProgramClosed], None]:
    """Returns a function that records program_ms of each closed program."""

    def record_closed(opened: ProgramOpened, record: ProgramClosed) -> None:
        latency_ms = (record.at_s - opened.at_s) * 1000
        metrics.record("program_ms", latency_ms, opened.tenant, opened.class_name)

    return record_closed


def instrument_app(
    app: Callable[..., Iterable[bytes]], metrics: Metrics
) -> Callable[..., Iterable[bytes]]:
    """Wraps a WSGI application to count responses by status class (answers_2xx and so on)."""

    def counting_app(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        def counting_start_response(status: str, headers: Any, exc_info: Any = None) -> Any:
            tenant = environ.get(TENANT_HEADER, "")
            metrics.count(f"answers_{status[:1]}xx", 1, tenant if is_valid_name(tenant) else "")
            return start_response(status, headers)

        return app(environ, counting_start_response)

    return counting_app


def _since_ms(started_at_s: float) -> float:
    return (time.monotonic() - started_at_s) * 1000
