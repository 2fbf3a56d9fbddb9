"""Problem details (RFC 9457) for failures, with the HTTP status and when to ask again."""

import math
import random
from http import HTTPStatus
from typing import NamedTuple, NotRequired, TypedDict

import msgspec
from endiveworks.errors import Code, Failure

MEDIA_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:endiveworks:problem:"
_SPREAD = 0.25
_LEAST_SPREAD_S = 2

_STATUS = {
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


class Details(TypedDict):
    """Problem details, with the members that this project adds."""

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
    """An error answer.

    Attributes:
        status: HTTP status.
        headers: Headers beyond those of every answer.
        body: Problem details as JSON.
    """

    status: HTTPStatus
    headers: tuple[tuple[str, str], ...]
    body: bytes


def problem(failure: Failure) -> Problem:
    """Returns the answer for a failure."""
    status = _STATUS.get(failure.code, HTTPStatus.SERVICE_UNAVAILABLE)
    headers: tuple[tuple[str, str], ...] = (("Content-Type", MEDIA_TYPE),)
    if failure.retry_after_s is not None:
        headers += (("Retry-After", str(_spread(failure.retry_after_s))),)
    return Problem(status, headers, details(failure))


def details(failure: Failure) -> bytes:
    """Returns the problem details of a failure as JSON."""
    status = _STATUS.get(failure.code, HTTPStatus.SERVICE_UNAVAILABLE)
    fields = Details(
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


def _spread(retry_after_s: float) -> int:
    """Returns whole seconds, spread so that callers refused together don't return together."""
    if retry_after_s <= 0:
        return 0
    least_s = math.ceil(retry_after_s)
    return random.randint(least_s, least_s + max(_LEAST_SPREAD_S, int(least_s * _SPREAD)))
