"""Runs a call on a service without a model; a failure tells whether the call may have run."""

import http.client
import time
from http import HTTPStatus
from typing import Any, NamedTuple

import urllib3
from urllib3.connection import HTTPConnection

from ..calls.stream import FinalStatus
from ..errors import Code, Failure

_CONNECT_TIMEOUT_S = 1.0
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_READ_BYTES = 65536
_STEP = "engines.plain"


class PlainJob(NamedTuple):
    """One call to run.

    Attributes:
        base_url: URL of the service.
        operation: Name of the operation, the last part of the path.
        request_id: Id of the call, sent as the idempotency key.
        body: Body of the request, as sent by the caller.
        at_most_once: Whether the call must not be repeated.
        timeout_s: Seconds to wait for the response.
    """

    base_url: str
    operation: str
    request_id: str
    body: bytes
    at_most_once: bool
    timeout_s: float


class PlainResponse(NamedTuple):
    """Body and final status of a response."""

    data: bytes
    final_status: FinalStatus


class _WholeLines:
    """A response's file that raises an error at the end of the connection within a line.

    The HTTP parser would take the first digits of a chunk's size, or of a header, for all of it.
    """

    def __init__(self, file: Any) -> None:
        self._file = file

    def readline(self, limit: int = -1) -> bytes:
        """Returns the next line; raises IncompleteRead if the connection ends within it."""
        line: bytes = self._file.readline(limit)
        if line and not line.endswith(b"\n") and (limit < 0 or len(line) < limit):
            raise http.client.IncompleteRead(line)
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class _Response(http.client.HTTPResponse):
    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        self.fp: Any = _WholeLines(self.fp)


class _Connection(HTTPConnection):
    response_class = _Response


class _ConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def run_plain(job: PlainJob) -> PlainResponse:
    """Runs a call once on a fresh connection, without retries or redirects.

    Each call opens its own connection: on a stale pooled connection, it would be unknown whether
    the request was received.
    """
    deadline = time.monotonic() + job.timeout_s
    with urllib3.PoolManager(num_pools=1, maxsize=1) as pools:
        pools.pool_classes_by_scheme = {**pools.pool_classes_by_scheme, "http": _ConnectionPool}
        try:
            response = pools.request(
                "POST",
                f"{job.base_url}/{job.operation}",
                body=job.body,
                headers={
                    "Content-Type": "application/json",
                    "Idempotency-Key": job.request_id,
                    "Connection": "close",
                },
                retries=False,
                redirect=False,
                preload_content=False,
                timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=job.timeout_s),
            )
            data = _read(response, deadline)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return _failed(job, Code.UNREACHABLE, "no connection was established", not_run=True)
        except urllib3.exceptions.HTTPError as exc:
            return _failed(job, _unknown_outcome_code(job), str(exc), not_run=False)
    if len(data) > _MAX_RESPONSE_BYTES:
        return _failed(
            job,
            _unknown_outcome_code(job),
            f"the response exceeds {_MAX_RESPONSE_BYTES} bytes",
            False,
        )
    if not data and not _is_framed(response):
        # The HTTP parser accepts a response that was cut off in the headers as complete and empty.
        return _failed(
            job, _unknown_outcome_code(job), "the response has neither body nor length", False
        )
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    return PlainResponse(data, FinalStatus(response.status, content_type))


def _read(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    """Reads a response body; the connection timeout bounds each read only, not their sum.

    Raises:
        urllib3.exceptions.TimeoutError: The response was not complete at the deadline.
    """
    data = bytearray()
    while len(data) <= _MAX_RESPONSE_BYTES:
        chunk = response.read1(_READ_BYTES)
        if not chunk:
            break
        data += chunk
        if time.monotonic() > deadline:
            raise urllib3.exceptions.TimeoutError("the response was not complete at the deadline")
    return bytes(data)


def _is_framed(response: urllib3.BaseHTTPResponse) -> bool:
    if response.status == HTTPStatus.NO_CONTENT:
        return True
    if response.headers.get("Content-Length", "").strip().isdigit():
        return True
    return response.headers.get("Transfer-Encoding", "").lower() == "chunked"


def _unknown_outcome_code(job: PlainJob) -> Code:
    return Code.OUTCOME_UNKNOWN if job.at_most_once else Code.UPSTREAM_FAILED


def _failed(job: PlainJob, code: Code, detail: str, not_run: bool) -> PlainResponse:
    failure = Failure(code, _STEP, job.base_url, detail, not_run)
    return PlainResponse(b"", FinalStatus(502, "application/problem+json", failure=failure))
