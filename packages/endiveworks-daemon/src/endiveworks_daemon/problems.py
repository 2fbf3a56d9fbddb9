"""Converts failures to problem details (RFC 9457) with the HTTP status and Retry-After."""

import math
import random
from http import HTTPStatus
from typing import NamedTuple, NotRequired, TypedDict

import msgspec
from endiveworks.errors import Code, Failure

MEDIA_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:endiveworks:problem:"
_JITTER_FRACTION = 0.25
_MIN_JITTER_S = 2

_STATUS_BY_CODE = {
    Code.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Code.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Code.HEADERS_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Code.REQUEST_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    Code.UNKNOWN_PROGRAM: HTTPStatus.NOT_FOUND,
    Code.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Code.WRONG_TENANT: HTTPStatus.FORBIDDEN,
    Code.CALL_OUT_OF_ORDER: HTTPStatus.CONFLICT,
    Code.CALL_MISMATCH: HTTPStatus.UNPROCESSABLE_ENTITY,
    Code.PROGRAM_CLOSED: HTTPStatus.GONE,
    Code.BUDGET_EXCEEDED: HTTPStatus.PAYMENT_REQUIRED,
    Code.CONFLICT: HTTPStatus.CONFLICT,
    Code.UPSTREAM_FAILED: HTTPStatus.BAD_GATEWAY,
    Code.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    Code.TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
    Code.CORRUPT: HTTPStatus.INTERNAL_SERVER_ERROR,
    Code.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}


class ProblemDetails(TypedDict):
    """Problem details with this project's extension members."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    step: str
    peer: str
    not_run: bool
    retry_after_s: NotRequired[float]


class Problem(NamedTuple):
    """An error response.

    Attributes:
        status: HTTP status.
        headers: Content-Type and, if a retry is worthwhile, Retry-After.
        body: Problem details as JSON.
    """

    status: HTTPStatus
    headers: tuple[tuple[str, str], ...]
    body: bytes


def encode_problem(failure: Failure) -> Problem:
    """Returns the error response for a failure."""
    status = _STATUS_BY_CODE.get(failure.code, HTTPStatus.SERVICE_UNAVAILABLE)
    headers: tuple[tuple[str, str], ...] = (("Content-Type", MEDIA_TYPE),)
    if failure.retry_after_s is not None:
        headers += (("Retry-After", str(_add_jitter(failure.retry_after_s))),)
    return Problem(status, headers, encode_details(failure))


def encode_details(failure: Failure) -> bytes:
    """Returns the problem details of a failure as JSON."""
    status = _STATUS_BY_CODE.get(failure.code, HTTPStatus.SERVICE_UNAVAILABLE)
    fields = ProblemDetails(
        type=f"{_TYPE_PREFIX}{failure.code}",
        title=status.phrase,
        status=status.value,
        detail=failure.detail,
        code=failure.code,
        step=failure.step,
        peer=failure.peer,
        not_run=failure.not_run,
    )
    if failure.retry_after_s is not None:
        fields["retry_after_s"] = failure.retry_after_s
    return msgspec.json.encode(fields)


def _add_jitter(retry_after_s: float) -> int:
    """Returns whole seconds with jitter, so that callers rejected together don't retry together."""
    if retry_after_s <= 0:
        return 0
    min_s = math.ceil(retry_after_s)
    return random.randint(min_s, min_s + max(_MIN_JITTER_S, int(min_s * _JITTER_FRACTION)))
