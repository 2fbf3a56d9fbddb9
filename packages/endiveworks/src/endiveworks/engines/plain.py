"""Runs a call on a service without a model; a failure tells whether the call may have run."""

import time
from typing import NamedTuple

import urllib3

from ..calls.stream import FinalStatus
from ..checked_http import is_framed, pool_manager
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


def run_plain(job: PlainJob) -> PlainResponse:
    """Runs a call once on a fresh connection, without retries or redirects.

    Each call opens its own connection: on a stale pooled connection, it would be unknown whether
    the request was received.
    """
    deadline = time.monotonic() + job.timeout_s
    with pool_manager(num_pools=1, maxsize=1) as pools:
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
    if not data and not is_framed(response):
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


def _unknown_outcome_code(job: PlainJob) -> Code:
    return Code.OUTCOME_UNKNOWN if job.at_most_once else Code.UPSTREAM_FAILED


def _failed(job: PlainJob, code: Code, detail: str, not_run: bool) -> PlainResponse:
    failure = Failure(code, _STEP, job.base_url, detail, not_run)
    return PlainResponse(b"", FinalStatus(502, "application/problem+json", failure=failure))
