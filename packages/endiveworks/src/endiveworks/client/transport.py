"""HTTP requests of a caller to the entries of a deployment, repeated while that is safe."""

import http
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

import msgspec
import urllib3
from returns.result import Failure as Failed
from returns.result import Result, Success

from ..errors import Code, Failure

MAX_ATTEMPTS = 8
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 5.0
_MAX_PROBLEM_BYTES = 65536
_PROBLEM_TYPE = "application/problem+json"
_CODES = frozenset(code.value for code in Code)

T = TypeVar("T")
Receive = Callable[[urllib3.BaseHTTPResponse], Result[T, Failure]]


class Request(NamedTuple):
    """One request. Every one can be repeated: its headers or its path make a repeat harmless."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class Deployment(NamedTuple):
    """How a caller reaches a deployment.

    Attributes:
        addresses: Entries as "ip:port", or the balancer's address.
        tenant: Tenant that the caller belongs to.
        timeout_s: Seconds after which a request is given up, repeats included.
        silence_s: Seconds without a byte after which a connection counts as lost.
        http: Pool of connections.
    """

    addresses: Sequence[str]
    tenant: str
    timeout_s: float
    silence_s: float
    http: urllib3.PoolManager


def send(deployment: Deployment, req: Request, receive: Receive[T]) -> Result[T, Failure]:
    """Sends a request and returns what `receive` makes of a good answer.

    A refusal that names a time to ask again, and a lost connection, lead to another attempt at the
    next address, up to MAX_ATTEMPTS and the deployment's timeout.
    """
    deadline = time.monotonic() + deployment.timeout_s
    first = random.randrange(len(deployment.addresses))
    for attempt in range(MAX_ATTEMPTS):
        address = deployment.addresses[(first + attempt) % len(deployment.addresses)]
        outcome = _attempt(deployment, address, req, receive, deadline)
        if isinstance(outcome, Success):
            return outcome
        failure = outcome.failure()
        pause_s = _pause(failure, attempt)
        last = attempt == MAX_ATTEMPTS - 1
        if failure.retry_after_s is None or last or time.monotonic() + pause_s > deadline:
            return outcome
        time.sleep(pause_s)
    raise AssertionError("unreachable")


def _attempt(
    deployment: Deployment, address: str, req: Request, receive: Receive[T], deadline: float
) -> Result[T, Failure]:
    left_s = max(0.001, deadline - time.monotonic())
    try:
        answer = deployment.http.request(
            req.method,
            f"http://{address}{req.path}",
            body=req.body,
            headers={"Endive-Tenant": deployment.tenant, **req.headers},
            timeout=min(deployment.silence_s, left_s),
            retries=False,
            redirect=False,
            preload_content=False,
        )
        try:
            if answer.headers.get("Content-Type", "") == _PROBLEM_TYPE:
                return Failed(_refusal(answer, address))
            return receive(answer)
        finally:
            # A connection whose answer was not read to its end can't be used again.
            answer.close()
            answer.release_conn()
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Failed(lost(address, type(exc).__name__))


def lost(peer: str, detail: str) -> Failure:
    """Returns the failure for a connection that ended before its answer did."""
    return Failure(Code.UNREACHABLE, "client.receive", peer, detail, retry_after_s=0.0)


def _refusal(answer: urllib3.BaseHTTPResponse, address: str) -> Failure:
    """Returns the failure that a problem-details answer stands for."""
    data = answer.read(_MAX_PROBLEM_BYTES)
    return problem_failure(data, address, answer.headers.get("Retry-After"))


def bad_status(answer: urllib3.BaseHTTPResponse) -> Failure | None:
    """Returns the failure for an answer with an error status that is not a problem's."""
    if answer.status < http.HTTPStatus.BAD_REQUEST:
        return None
    return Failure(Code.UPSTREAM_FAILED, "client.receive", "", f"status {answer.status}")


def problem_failure(data: bytes, address: str, retry_after: str | None = None) -> Failure:
    """Returns the failure of problem details in JSON."""
    try:
        details: dict[str, Any] = msgspec.json.decode(data, type=dict)
    except msgspec.DecodeError:
        details = {}
    code = details.get("code", "")
    retry_after_s = details.get("retry_after_s")
    if retry_after is not None and retry_after.isdecimal():
        retry_after_s = float(retry_after)
    return Failure(
        Code(code) if code in _CODES else Code.INTERNAL,
        str(details.get("step", "client.receive")),
        str(details.get("peer", "")) or address,
        str(details.get("detail", "the answer is malformed")),
        details.get("not_run") is True,
        retry_after_s if isinstance(retry_after_s, int | float) else None,
    )


def _pause(failure: Failure, attempt: int) -> float:
    backoff_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2**attempt)
    return max(failure.retry_after_s or 0.0, backoff_s * random.uniform(0.5, 1.0))
