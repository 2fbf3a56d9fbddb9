"""Measures calls, queues and requests as they pass, and records them as metrics."""

import threading
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from endiveworks.calls.messages import CallKey, Job
from endiveworks.calls.queue import Queue
from endiveworks.calls.stream import Ending, Piece
from endiveworks.errors import Failure
from endiveworks.members.member import Member
from endiveworks.programs.plan import PlacementRequest, Upstreams
from endiveworks.programs.records import ProgramClosed, ProgramOpened
from endiveworks.telemetry.metrics import Metrics
from returns.result import Result, Success

from .http_request import TENANT, is_name

_MAX_BEGUN = 4096


class _Begun(NamedTuple):
    """A call under way at this owner."""

    wanted: PlacementRequest
    began_at: float


class _Calls:
    """The calls under way at this owner. A program has at most one, so its id is the key."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._begun: dict[str, _Begun] = {}

    def begin(self, wanted: PlacementRequest) -> None:
        """Notes the first choice of an upstream for a call."""
        with self._lock:
            if not wanted.excluded_hosts or wanted.program not in self._begun:
                self._begun[wanted.program] = _Begun(wanted, time.monotonic())
            # Calls that are given up leave without an ending.
            if len(self._begun) > _MAX_BEGUN:
                self._begun.pop(next(iter(self._begun)))

    def first_data(self, program: str) -> None:
        """Records the time to the first part of an answer."""
        with self._lock:
            begun = self._begun.get(program)
        if begun is not None:
            self._record("first_token_ms", _since_ms(begun.began_at), begun.wanted)

    def end(self, wanted: PlacementRequest, ending: Ending) -> None:
        """Records a whole answer, or counts a failed attempt."""
        if ending.failure is not None:
            self._metrics.count("failed_attempts", 1, wanted.tenant, wanted.class_name)
            return
        begun = self.forget(wanted.program)
        if begun is not None:
            self._record("call_ms", _since_ms(begun.began_at), wanted)
        if ending.prompt_tokens:
            wasted = max(0, wanted.history_tokens - ending.cached_tokens)
            self._record("wasted_cache_tokens", wasted, wanted)

    def forget(self, program: str) -> _Begun | None:
        """Drops a call that has ended."""
        with self._lock:
            return self._begun.pop(program, None)

    def _record(self, name: str, value: float, wanted: PlacementRequest) -> None:
        self._metrics.record(name, value, wanted.tenant, wanted.class_name)


def measured_upstreams(upstreams: Upstreams, metrics: Metrics) -> Upstreams:
    """Returns the same functions, which also record the calls that pass through them.

    Recorded are first_token_ms and call_ms, both from the choice of an upstream, and
    wasted_cache_tokens: tokens of the history that the engine did not find in its cache.
    """
    calls = _Calls(metrics)

    def choose(wanted: PlacementRequest) -> Result[Member, Failure]:
        calls.begin(wanted)
        chosen = upstreams.choose(wanted)
        if not isinstance(chosen, Success):
            calls.forget(wanted.program)
        return chosen

    def read(host: str, key: CallKey, offset: int, wait_s: float) -> Result[Piece, Failure]:
        outcome = upstreams.read(host, key, offset, wait_s)
        if offset == 0 and isinstance(outcome, Success) and outcome.unwrap().data:
            calls.first_data(key.program)
        return outcome

    def on_ended(host: str, wanted: PlacementRequest, ending: Ending) -> None:
        upstreams.on_ended(host, wanted, ending)
        calls.end(wanted, ending)

    return upstreams._replace(choose=choose, read=read, on_ended=on_ended)


def measured_queue(queue: Queue, metrics: Metrics) -> Queue:
    """Returns the same queue, which also records queue_wait_ms of the jobs taken from it."""
    offered: dict[CallKey, float] = {}

    def offer(job: Job, now: float) -> Failure | None:
        refusal = queue.offer(job, now)
        if refusal is None:
            offered[job.key] = now
        else:
            metrics.count("queue_refusals", 1, job.tenant, job.class_name)
        return refusal

    def take(now: float) -> Job | None:
        job = queue.take(now)
        if job is not None:
            wait_ms = (now - offered.pop(job.key, now)) * 1000
            metrics.record("queue_wait_ms", wait_ms, job.tenant, job.class_name)
        return job

    def withdraw(key: CallKey) -> None:
        offered.pop(key, None)
        queue.withdraw(key)

    def expire(now: float) -> Sequence[tuple[Job, Failure]]:
        expired = queue.expire(now)
        for job, _ in expired:
            offered.pop(job.key, None)
            metrics.count("queue_refusals", 1, job.tenant, job.class_name)
        return expired

    return queue._replace(offer=offer, take=take, withdraw=withdraw, expire=expire)


def program_observer(metrics: Metrics) -> Callable[[ProgramOpened, ProgramClosed], None]:
    """Returns a function that records program_ms of each program that is closed."""

    def closed(opened: ProgramOpened, record: ProgramClosed) -> None:
        latency_ms = (record.at_s - opened.at_s) * 1000
        metrics.record("program_ms", latency_ms, opened.tenant, opened.class_name)

    return closed


def counted_app(
    app: Callable[..., Iterable[bytes]], metrics: Metrics
) -> Callable[..., Iterable[bytes]]:
    """Returns the same WSGI application, which also counts answers by the class of their status."""

    def counted(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        def start(status: str, headers: Any, exc_info: Any = None) -> Any:
            tenant = environ.get(TENANT, "")
            metrics.count(f"answers_{status[:1]}xx", 1, tenant if is_name(tenant) else "")
            return start_response(status, headers)

        return app(environ, start)

    return counted


def _since_ms(began_at: float) -> float:
    return (time.monotonic() - began_at) * 1000
