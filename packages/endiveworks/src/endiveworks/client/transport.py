"""HTTP requests from a caller to the entries of a deployment, with retries."""

import http
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

import msgspec
import urllib3
from returns.result import Failure as Failed
from returns.result import Result, Success

from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure

MAX_ATTEMPTS = 8
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 5.0
_MAX_PROBLEM_BYTES = 65536
_PROBLEM_TYPE = "application/problem+json"
_CODES = frozenset(code.value for code in Code)

T = TypeVar("T")
ResponseReader = Callable[[urllib3.BaseHTTPResponse], Result[T, Failure]]


class Request(NamedTuple):
    """A request. All requests are idempotent, through their headers or their path."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class Deployment(NamedTuple):
    """Addresses and connection settings of a deployment.

    Attributes:
        addresses: Addresses of entries as "ip:port", or the load balancer's address.
        tenant: Tenant that the caller belongs to.
        timeout_s: Total time limit of a request, retries included, in seconds.
        silence_s: Seconds without receiving a byte after which a connection is treated as lost.
        http: Connection pool.
    """

    addresses: Sequence[str]
    tenant: str
    timeout_s: float
    silence_s: float
    http: urllib3.PoolManager


def send(
    deployment: Deployment, req: Request, read_response: ResponseReader[T]
) -> Result[T, Failure]:
    """Sends a request and returns the result of `read_response` for its response.

    A refusal with a retry delay and a lost connection are retried at the next address, for at most
    MAX_ATTEMPTS attempts and within the deployment's timeout. A problem response is a failure and
    is not passed to `read_response`.
    """
    deadline = time.monotonic() + deployment.timeout_s
    first = random.randrange(len(deployment.addresses))
    for attempt in range(MAX_ATTEMPTS):
        address = deployment.addresses[(first + attempt) % len(deployment.addresses)]
        outcome = _attempt(deployment, address, req, read_response, deadline)
        if isinstance(outcome, Success):
            return outcome
        failure = outcome.failure()
        delay_s = _retry_delay_s(failure, attempt)
        is_last = attempt == MAX_ATTEMPTS - 1
        if failure.retry_after_s is None or is_last or time.monotonic() + delay_s > deadline:
            return outcome
        time.sleep(delay_s)
    raise AssertionError("unreachable")


def _attempt(
    deployment: Deployment,
    address: str,
    req: Request,
    read_response: ResponseReader[T],
    deadline: float,
) -> Result[T, Failure]:
    remaining_s = max(0.001, deadline - time.monotonic())
    try:
        resp = deployment.http.request(
            req.method,
            f"http://{address}{req.path}",
            body=req.body,
            headers={"Endive-Tenant": deployment.tenant, **req.headers},
            timeout=min(deployment.silence_s, remaining_s),
            retries=False,
            redirect=False,
            preload_content=False,
        )
        try:
            if resp.headers.get("Content-Type", "") == _PROBLEM_TYPE:
                return Failed(_read_problem(resp, address))
            return read_response(resp)
        finally:
            # A connection whose response was not read completely can't be reused.
            resp.close()
            resp.release_conn()
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Failed(connection_lost(address, type(exc).__name__))


def connection_lost(peer: str, detail: str) -> Failure:
    """Returns the retryable failure for a connection lost before the response was complete."""
    return Failure(Code.UNREACHABLE, "client.receive", peer, detail, retry_after_s=0.0)


def _read_problem(resp: urllib3.BaseHTTPResponse, address: str) -> Failure:
    """Returns the failure in a response with problem details."""
    data = resp.read(_MAX_PROBLEM_BYTES)
    return problem_failure(data, address, resp.headers.get("Retry-After"))


def status_failure(resp: urllib3.BaseHTTPResponse) -> Failure | None:
    """Returns the failure for an error status without problem details; None for other statuses."""
    if resp.status < http.HTTPStatus.BAD_REQUEST:
        return None
    return Failure(Code.UPSTREAM_FAILED, "client.receive", "", f"status {resp.status}")


def problem_failure(data: bytes, address: str, retry_after: str | None = None) -> Failure:
    """Returns the failure that JSON problem details describe."""
    try:
        details: dict[str, Any] = msgspec.json.decode(data, type=dict)
    except DECODE_ERRORS:
        details = {}
    code = details.get("code", "")
    retry_after_s = details.get("retry_after_s")
    if retry_after is not None and retry_after.isdecimal():
        retry_after_s = float(retry_after)
    return Failure(
        Code(code) if code in _CODES else Code.INTERNAL,
        str(details.get("step", "client.receive")),
        str(details.get("peer", "")) or address,
        str(details.get("detail", "the response has no valid problem details")),
        details.get("not_run") is True,
        retry_after_s if isinstance(retry_after_s, int | float) else None,
    )


def _retry_delay_s(failure: Failure, attempt: int) -> float:
    backoff_s = min(_MAX_BACKOFF_S, _MIN_BACKOFF_S * 2**attempt)
    return max(failure.retry_after_s or 0.0, backoff_s * random.uniform(0.5, 1.0))
