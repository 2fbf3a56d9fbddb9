"""Runs a chat completion on an engine and relays its events as they arrive."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..calls.stream import FinalStatus
from ..errors import Code, Failure
from .chat_format import EVENT_END, Usage, event_data, read_usage

EVENT_STREAM = "text/event-stream"
_MAX_RESUMES = 3
_CONNECT_TIMEOUT_S = 1.0
_READ_BYTES = 65536
_ID_PREFIX = b"id: "
_STEP = "engines.chat"


class ChatJob(NamedTuple):
    """One completion to run.

    Attributes:
        base_url: URL of the engine.
        request_id: Id of the completion; the same when it is resumed.
        body: Request as JSON, with streaming enabled.
        idle_timeout_s: Seconds without an event after which the connection is closed.
        emit: Called with the bytes of each event; returns False to cancel the completion.
    """

    base_url: str
    request_id: str
    body: bytes
    idle_timeout_s: float
    emit: Callable[[bytes], bool]


class _Progress:
    """Progress of one completion."""

    def __init__(self) -> None:
        self.last_id = b""
        self.usage: Usage = {}
        self.events = 0
        self.done = False
        self.cancelled = False


def run_chat(http: urllib3.PoolManager, job: ChatJob) -> FinalStatus:
    """Runs a completion to its end, and resumes it when its stream breaks off.

    The final event is not emitted: the owner of the program sends it after storing the response.
    """
    progress = _Progress()
    failure = Failure(Code.UPSTREAM_FAILED, _STEP, job.base_url, "not attempted")
    for _ in range(_MAX_RESUMES + 1):
        outcome = _attempt(http, job, progress)
        if isinstance(outcome, Success):
            return outcome.unwrap()
        failure = outcome.failure()
        if not progress.last_id:
            break
    return FinalStatus(502, EVENT_STREAM, 0, progress.events, 0, failure)


def _attempt(
    http: urllib3.PoolManager, job: ChatJob, progress: _Progress
) -> Result[FinalStatus, Failure]:
    headers = {"Content-Type": "application/json", "X-Request-Id": job.request_id}
    if progress.last_id:
        headers["Last-Event-ID"] = progress.last_id.decode()
    try:
        response = http.request(
            "POST",
            f"{job.base_url}/v1/chat/completions",
            body=job.body,
            headers=headers,
            preload_content=False,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=job.idle_timeout_s),
        )
    except urllib3.exceptions.HTTPError as exc:
        not_run = isinstance(exc, urllib3.exceptions.NewConnectionError) and not progress.events
        failure = Failure(Code.UPSTREAM_FAILED, _STEP, job.base_url, str(exc), not_run=not_run)
        return Err(failure)
    try:
        if response.status != 200:
            return _rejected(job, response, progress)
        return _relay_events(http, job, response, progress)
    except urllib3.exceptions.HTTPError as exc:
        return Err(Failure(Code.UPSTREAM_FAILED, _STEP, job.base_url, str(exc)))
    finally:
        # A connection with unread bytes can't be reused.
        if progress.done:
            response.release_conn()
        else:
            response.close()


def _rejected(
    job: ChatJob, response: urllib3.BaseHTTPResponse, progress: _Progress
) -> Result[FinalStatus, Failure]:
    body = response.read(_READ_BYTES)
    started = progress.events > 0
    if started or response.status >= 500 or response.status == 429:
        detail = f"the engine returned status {response.status}"
        return Err(Failure(Code.UPSTREAM_FAILED, _STEP, job.base_url, detail, not started, 1.0))
    job.emit(body)
    content_type = response.headers.get("Content-Type", "application/json")
    return Success(FinalStatus(response.status, content_type))


def _relay_events(
    http: urllib3.PoolManager, job: ChatJob, response: urllib3.BaseHTTPResponse, progress: _Progress
) -> Result[FinalStatus, Failure]:
    for event in _events(response):
        try:
            _record_event(event, progress)
        except ValueError as exc:
            detail = f"the engine sent an event that can't be read: {exc}"
            return Err(Failure(Code.UPSTREAM_FAILED, _STEP, job.base_url, detail))
        if progress.done:
            response.drain_conn()
            return Success(_completed(progress))
        if not job.emit(event):
            _cancel(http, job)
            failure = Failure(Code.REVOKED, _STEP, job.base_url, "the call was cancelled")
            return Success(FinalStatus(499, EVENT_STREAM, 0, progress.events, 0, failure))
    return Err(
        Failure(Code.UPSTREAM_FAILED, _STEP, job.base_url, "the engine closed the stream early")
    )


def _cancel(http: urllib3.PoolManager, job: ChatJob) -> None:
    """Asks the engine to cancel; if the request is lost, the closed connection cancels it."""
    try:
        http.request(
            "POST",
            f"{job.base_url}/v1/cancel",
            json={"request_id": job.request_id},
            retries=False,
            redirect=False,
            timeout=_CONNECT_TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError:
        return


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b""
    while True:
        data = response.read1(_READ_BYTES)
        if not data:
            return
        pending += data
        *events, pending = pending.split(EVENT_END)
        for event in events:
            # Events without data are keep-alive comments.
            if event_data(event):
                yield event + EVENT_END


def _record_event(event: bytes, progress: _Progress) -> None:
    data = event_data(event)
    if data == b"[DONE]":
        progress.done = True
        return
    progress.usage = read_usage(data) or progress.usage
    progress.events += 1
    for line in event.split(b"\n"):
        if line.startswith(_ID_PREFIX):
            progress.last_id = line[len(_ID_PREFIX) :].strip()


def _completed(progress: _Progress) -> FinalStatus:
    usage = progress.usage
    cached = (usage.get("prompt_tokens_details") or {}).get("cached_tokens") or 0
    return FinalStatus(
        status=200,
        content_type=EVENT_STREAM,
        prompt_tokens=usage.get("prompt_tokens", 0),
        completion_tokens=usage.get("completion_tokens", progress.events),
        cached_tokens=cached,
    )
