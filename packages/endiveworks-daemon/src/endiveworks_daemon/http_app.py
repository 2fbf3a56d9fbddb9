"""The callers' HTTP interface as a WSGI application."""

import re
import threading
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Annotated, Any, NamedTuple, Required, TypedDict

import msgspec
from endiveworks.calls.stream import Chunk
from endiveworks.decoding import DECODE_ERRORS
from endiveworks.errors import Code, Failure
from endiveworks.programs.requests import CallRequest, OpenRequest
from endiveworks.telemetry.logs import logger
from returns.result import Failure as Err
from returns.result import Result, Success

from . import forward, http_calls
from .forward import OwnerLocator
from .http_protocol import AFTER_SENT
from .http_request import (
    REQUEST_MEMORY,
    Request,
    Response,
    bad_request,
    json_response,
    parse_request_key,
    problem_response,
    read_request,
)
from .node import Command
from .response_sink import ResponseSink

_PROGRAMS = re.compile(r"/v1/programs")
_PROGRAM = re.compile(r"/v1/programs/([^/]{1,64})")
_HISTORY = re.compile(r"/v1/programs/([^/]{1,64})/history")
_CHAT = re.compile(r"/v1/chat/completions")
_PLAIN = re.compile(r"/v1/services/([^/]{1,128})/([^/]{1,128})")
_OVERLOAD_RETRY_AFTER_S = 1.0
_CONNECTION_CLOSE = ("Connection", "close")

Handler = Callable[..., Response]


class Limits(NamedTuple):
    """Limits of the callers' interface.

    Attributes:
        max_body_bytes: Maximum size of a request body.
        max_open: Maximum number of requests in flight; further ones are rejected.
    """

    max_body_bytes: int
    max_open: int


# JSON body of a request that opens a program.
OpenBody = TypedDict(
    "OpenBody",
    {
        "service": Required[str],
        "class": str,
        "budget_tokens": Annotated[int, msgspec.Meta(ge=0)],
        "parent": str,
    },
    total=False,
)


class RequestLimiter:
    """Limits the number of requests in flight, and rejects new ones while draining."""

    def __init__(self, max_open: int) -> None:
        self._max_open = max_open
        self._in_flight = 0
        self._refused = 0
        self._draining = False
        self._changed = threading.Condition()

    def acquire(self) -> Failure | None:
        """Admits a request; returns the failure to report if it is rejected."""
        with self._changed:
            if self._draining:
                detail = "this host is draining; send the request to another host"
                return Failure(Code.DRAINING, "http.gate", "", detail, True, 0.0)
            if self._in_flight >= self._max_open:
                self._refused += 1
                detail = f"the limit of {self._max_open} requests in flight is reached"
                return Failure(
                    Code.OVERLOADED, "http.gate", "", detail, True, _OVERLOAD_RETRY_AFTER_S
                )
            self._in_flight += 1
        return None

    def release(self) -> None:
        """Records the end of an admitted request."""
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()

    def take_refused(self) -> int:
        """Returns the number of requests that had no place since the last call."""
        with self._changed:
            refused, self._refused = self._refused, 0
            return refused

    def start_draining(self) -> None:
        """Rejects all further requests."""
        with self._changed:
            self._draining = True

    def wait_drained(self, timeout_s: float) -> bool:
        """Waits until no request is in flight; returns False on timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self._in_flight == 0, timeout_s)

    def in_flight(self) -> int:
        """Returns the number of requests in flight."""
        with self._changed:
            return self._in_flight


def make_app(
    owners: OwnerLocator, limiter: RequestLimiter, limits: Limits
) -> Callable[..., Iterable[bytes]]:
    """Returns the WSGI application."""

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        refusal = limiter.acquire()
        if refusal is not None:
            response = problem_response(refusal)
            # On a kept-alive connection the caller's next request would reach this host again.
            return _start_response(
                response._replace(headers=(*response.headers, _CONNECTION_CLOSE)), start_response
            )
        # A request is in flight until its last response byte is sent, so that a drain waits for it.
        environ[AFTER_SENT](limiter.release)
        response = _handle(owners, environ, limits)
        if isinstance(response.body, tuple):
            environ[REQUEST_MEMORY].hold_response(sum(map(len, response.body)))
        return _start_response(response, start_response)

    return app


def _start_response(response: Response, start_response: Callable[..., Any]) -> Iterable[bytes]:
    phrase = HTTPStatus(response.status).phrase if response.status in _KNOWN_STATUSES else "Status"
    start_response(f"{int(response.status)} {phrase}", list(response.headers))
    return response.body


_KNOWN_STATUSES = frozenset(status.value for status in HTTPStatus)


def _handle(owners: OwnerLocator, environ: dict[str, Any], limits: Limits) -> Response:
    parsed = read_request(environ, limits.max_body_bytes)
    if not isinstance(parsed, Success):
        return problem_response(parsed.failure())
    req = parsed.unwrap()
    try:
        return _route(owners, req)
    except Exception as exc:  # The caller must not see a traceback.
        logger("http").error("request_failed", step="http.route", exc_info=exc)
        detail = "the request failed with an internal error"
        return problem_response(Failure(Code.INTERNAL, "http.route", "", detail))


def _route(owners: OwnerLocator, req: Request) -> Response:
    """Runs the handler for the path and method."""

    def follow(call: CallRequest, sink: ResponseSink) -> Iterator[Chunk]:
        return forward.follow(owners, call, sink)

    routes: tuple[tuple[str, re.Pattern[str], Handler], ...] = (
        ("POST", _CHAT, lambda: http_calls.chat(req, follow)),
        ("POST", _PLAIN, lambda service, op: http_calls.plain(req, service, op, follow)),
        ("POST", _PROGRAMS, lambda: _open_program(owners, req)),
        ("GET", _PROGRAM, lambda program: _run_command(owners, "status", program, req)),
        ("GET", _HISTORY, lambda program: _run_command(owners, "history", program, req)),
        ("DELETE", _PROGRAM, lambda program: _run_command(owners, "close", program, req)),
    )
    allowed = []
    for method, pattern, handler in routes:
        match = pattern.fullmatch(req.path)
        if match and method == req.method:
            return handler(*match.groups())
        if match:
            allowed.append(method)
    return _no_route(req, allowed)


def _no_route(req: Request, allowed: list[str]) -> Response:
    if allowed:
        detail = f"method {req.method} is not one of: {', '.join(allowed)}"
        response = problem_response(bad_request(detail))
        headers = (*response.headers, ("Allow", ", ".join(allowed)))
        return response._replace(status=HTTPStatus.METHOD_NOT_ALLOWED, headers=headers)
    response = problem_response(bad_request(f"path {req.path[:100]!r} does not exist"))
    return response._replace(status=HTTPStatus.NOT_FOUND)


def _open_program(owners: OwnerLocator, req: Request) -> Response:
    open_req = _parse_open_request(req)
    if not isinstance(open_req, Success):
        return problem_response(open_req.failure())
    encoded = msgspec.json.encode(open_req.unwrap())
    outcome = forward.open_program(owners, req.tenant, encoded, open_req.unwrap()["parent"])
    return _command_response(outcome, HTTPStatus.CREATED)


def _parse_open_request(req: Request) -> Result[OpenRequest, Failure]:
    try:
        body = msgspec.json.decode(req.body, type=OpenBody)
        unknown = msgspec.json.decode(req.body, type=dict).keys() - OpenBody.__annotations__.keys()
    except DECODE_ERRORS as exc:
        return Err(bad_request(f"the body is malformed: {exc}"))
    if unknown:
        return Err(bad_request(f"the body has unknown fields: {', '.join(sorted(unknown))[:200]}"))
    key = parse_request_key(req.environ)
    if not isinstance(key, Success):
        return Err(key.failure())
    return Success(
        OpenRequest(
            service=body["service"],
            class_name=body.get("class", ""),
            budget_tokens=body.get("budget_tokens", 0),
            parent=body.get("parent", ""),
            request_key=key.unwrap() or forward.new_request_key(),
        )
    )


def _run_command(owners: OwnerLocator, action: str, program: str, req: Request) -> Response:
    return _command_response(
        forward.manage(owners, Command(action, program, req.tenant)), HTTPStatus.OK
    )


def _command_response(outcome: Result[bytes, Failure], status: HTTPStatus) -> Response:
    if not isinstance(outcome, Success):
        return problem_response(outcome.failure())
    return json_response(outcome.unwrap(), status)
