"""Validated requests of callers and the responses to them."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

from endiveworks.errors import Code, Failure
from returns.result import Failure as Err
from returns.result import Result, Success

from .body_reader import BodyTooLongError, NoRoomError, read_body
from .caller_memory import RequestMemory
from .problems import encode_problem

# Keys of request headers in the WSGI environment.
TENANT_HEADER = "HTTP_ENDIVE_TENANT"
PROGRAM_HEADER = "HTTP_ENDIVE_PROGRAM"
CALL_HEADER = "HTTP_ENDIVE_CALL"
IDEMPOTENCY_KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
_MAX_NAME_CHARS = 256
# Key of the memory that is held for the request, in the WSGI environment.
REQUEST_MEMORY = "endiveworks.request_memory"
_MAX_CALL_NUMBER = 1_000_000
# Time after which a caller may come back if there was no memory for its request.
_NO_ROOM_RETRY_AFTER_S = 1.0
_STEP = "http.request"


class Request(NamedTuple):
    """A request of a caller.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        tenant: Tenant of the caller.
        environ: The WSGI environment, for headers that only some requests have.
        body: Body as received.
    """

    method: str
    path: str
    tenant: str
    environ: dict[str, Any]
    body: bytes


class Response(NamedTuple):
    """An HTTP response; the body may be generated while it is sent."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]


def json_response(body: bytes, status: HTTPStatus = HTTPStatus.OK) -> Response:
    """Returns a response with a JSON body."""
    headers = (("Content-Type", "application/json"), ("Content-Length", str(len(body))))
    return Response(status, headers, (body,))


def problem_response(failure: Failure) -> Response:
    """Returns the error response for a failure."""
    encoded = encode_problem(failure)
    headers = (*encoded.headers, ("Content-Length", str(len(encoded.body))))
    return Response(encoded.status, headers, (encoded.body,))


def read_request(environ: dict[str, Any], max_body_bytes: int) -> Result[Request, Failure]:
    """Reads the body and checks the header that every request must have."""
    tenant = environ.get(TENANT_HEADER, "")
    if not is_valid_name(tenant):
        return Err(bad_request("the header Endive-Tenant is missing or malformed"))
    body = _read_body(environ, max_body_bytes)
    if not isinstance(body, Success):
        return Err(body.failure())
    method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
    return Success(Request(method, path, tenant, environ, body.unwrap()))


def parse_call_number(environ: dict[str, Any]) -> Result[int, Failure]:
    """Returns the number in the header Endive-Call."""
    text = environ.get(CALL_HEADER, "")
    if text.isascii() and text.isdigit() and len(text) < 8 and 1 <= int(text) <= _MAX_CALL_NUMBER:
        return Success(int(text))
    return Err(
        bad_request(
            f"the header Endive-Call is missing or not an integer from 1 to {_MAX_CALL_NUMBER}"
        )
    )


def parse_request_key(environ: dict[str, Any]) -> Result[str, Failure]:
    """Returns the idempotency key; empty if the header is missing."""
    key = environ.get(IDEMPOTENCY_KEY_HEADER, "")
    if key and not is_valid_name(key):
        return Err(bad_request("the header Idempotency-Key is malformed"))
    return Success(key)


def is_valid_name(text: str) -> bool:
    """Returns whether a text is 1 to _MAX_NAME_CHARS printable ASCII characters, none a comma.

    A comma would come from a repeated header, whose values are joined.
    """
    printable = text.isascii() and text.isprintable() and "," not in text
    return printable and 0 < len(text) <= _MAX_NAME_CHARS


def bad_request(detail: str) -> Failure:
    """Returns the failure for a malformed request."""
    return Failure(Code.BAD_REQUEST, _STEP, "", detail, not_run=True)


def _read_body(environ: dict[str, Any], max_body_bytes: int) -> Result[bytes, Failure]:
    length = environ.get("CONTENT_LENGTH") or ""
    if length and (not length.isdigit() or int(length) > max_body_bytes):
        return Err(_too_large(max_body_bytes))
    if not length and environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
        return Success(b"")
    memory: RequestMemory = environ[REQUEST_MEMORY]
    try:
        body = read_body(
            environ["wsgi.input"], int(length) if length else None, max_body_bytes, memory
        )
    except NoRoomError:
        detail = "too little memory is free for the body"
        return Err(Failure(Code.OVERLOADED, _STEP, "", detail, True, _NO_ROOM_RETRY_AFTER_S))
    except TimeoutError:
        detail = "the body did not arrive in time"
        return Err(Failure(Code.REQUEST_TIMEOUT, _STEP, "", detail, not_run=True))
    except BodyTooLongError:
        return Err(_too_large(max_body_bytes))
    except (OSError, ValueError) as exc:
        return Err(bad_request(f"the body could not be read: {type(exc).__name__}"))
    if length and len(body) < int(length):
        return Err(bad_request("the body is shorter than Content-Length"))
    return Success(body)


def _too_large(max_body_bytes: int) -> Failure:
    detail = f"the body may have at most {max_body_bytes} bytes"
    return Failure(Code.BODY_TOO_LARGE, _STEP, "", detail, not_run=True)
