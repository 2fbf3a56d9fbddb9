"""The callers' HTTP interface as a WSGI application."""

import re
import threading
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Annotated, Any, NamedTuple, Required, TypedDict

import msgspec
from endiveworks.calls.stream import Piece
from endiveworks.errors import Code, Failure
from endiveworks.programs.requests import CallRequest, OpenRequest
from endiveworks.telemetry.logs import logger
from returns.result import Failure as Err
from returns.result import Result, Success

from . import forward, http_calls
from .forward import Owners
from .http_protocol import AFTER_SENT
from .http_request import (
    Answer,
    Request,
    bad,
    json_answer,
    problem_answer,
    read_request,
    request_key,
)
from .node import Command
from .outlet import Outlet

_PROGRAMS = re.compile(r"/v1/programs")
_PROGRAM = re.compile(r"/v1/programs/([^/]{1,64})")
_HISTORY = re.compile(r"/v1/programs/([^/]{1,64})/history")
_CHAT = re.compile(r"/v1/chat/completions")
_PLAIN = re.compile(r"/v1/services/([^/]{1,128})/([^/]{1,128})")
_BUSY_RETRY_S = 1.0
_CLOSE = ("Connection", "close")

Handler = Callable[..., Answer]


class Limits(NamedTuple):
    """Bounds of the callers' interface.

    Attributes:
        max_body_bytes: Largest body of a request.
        max_open: Requests answered at once; more are refused.
    """

    max_body_bytes: int
    max_open: int


# Body of a request that opens a program, as callers send it.
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


class Gate:
    """Counts the requests being answered, and refuses more when full or leaving."""

    def __init__(self, max_open: int) -> None:
        self._max_open = max_open
        self._open = 0
        self._leaving = False
        self._changed = threading.Condition()

    def enter(self) -> Failure | None:
        """Admits a request, or says why not."""
        with self._changed:
            if self._leaving:
                detail = "this host is leaving; another one takes the request"
                return Failure(Code.DRAINING, "http.gate", "", detail, True, 0.0)
            if self._open >= self._max_open:
                detail = f"{self._max_open} requests are being answered already"
                return Failure(Code.OVERLOADED, "http.gate", "", detail, True, _BUSY_RETRY_S)
            self._open += 1
        return None

    def leave(self) -> None:
        """Ends a request that was admitted."""
        with self._changed:
            self._open -= 1
            self._changed.notify_all()

    def close(self) -> None:
        """Refuses all further requests."""
        with self._changed:
            self._leaving = True

    def wait_empty(self, timeout_s: float) -> bool:
        """Waits until no request is being answered; returns whether that came about."""
        with self._changed:
            return self._changed.wait_for(lambda: self._open == 0, timeout_s)

    def open_count(self) -> int:
        """Returns the number of requests being answered."""
        with self._changed:
            return self._open


def make_app(owners: Owners, gate: Gate, limits: Limits) -> Callable[..., Iterable[bytes]]:
    """Returns the WSGI application."""

    def app(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        refusal = gate.enter()
        if refusal is not None:
            answer = problem_answer(refusal)
            # A caller that keeps its connection would come back to this host.
            return _start(answer._replace(headers=(*answer.headers, _CLOSE)), start_response)
        # The answer counts as open until its last byte is sent, so that a stop waits for it.
        environ[AFTER_SENT](gate.leave)
        return _start(_answer(owners, environ, limits), start_response)

    return app


def _start(answer: Answer, start_response: Callable[..., Any]) -> Iterable[bytes]:
    phrase = HTTPStatus(answer.status).phrase if answer.status in _STATUSES else "Status"
    start_response(f"{int(answer.status)} {phrase}", list(answer.headers))
    return answer.body


_STATUSES = frozenset(status.value for status in HTTPStatus)


def _answer(owners: Owners, environ: dict[str, Any], limits: Limits) -> Answer:
    read = read_request(environ, limits.max_body_bytes)
    if not isinstance(read, Success):
        return problem_answer(read.failure())
    req = read.unwrap()
    try:
        return _route(owners, req)
    except Exception as exc:  # A fault in one request must not show its trace to the caller.
        logger("http").error("request_failed", step="http.route", exc_info=exc)
        detail = "the request failed inside this host"
        return problem_answer(Failure(Code.INTERNAL, "http.route", "", detail))


def _route(owners: Owners, req: Request) -> Answer:
    """Finds the handler for the path and method."""

    def follow(call: CallRequest, outlet: Outlet) -> Iterator[Piece]:
        return forward.follow(owners, call, outlet)

    routes: tuple[tuple[str, re.Pattern[str], Handler], ...] = (
        ("POST", _CHAT, lambda: http_calls.chat(req, follow)),
        ("POST", _PLAIN, lambda service, op: http_calls.plain(req, service, op, follow)),
        ("POST", _PROGRAMS, lambda: _open(owners, req)),
        ("GET", _PROGRAM, lambda program: _manage(owners, "status", program, req)),
        ("GET", _HISTORY, lambda program: _manage(owners, "history", program, req)),
        ("DELETE", _PROGRAM, lambda program: _manage(owners, "close", program, req)),
    )
    allowed = []
    for method, pattern, handler in routes:
        match = pattern.fullmatch(req.path)
        if match and method == req.method:
            return handler(*match.groups())
        if match:
            allowed.append(method)
    return _no_route(req, allowed)


def _no_route(req: Request, allowed: list[str]) -> Answer:
    if allowed:
        detail = f"method {req.method} is not one of: {', '.join(allowed)}"
        answer = problem_answer(bad(detail))
        headers = (*answer.headers, ("Allow", ", ".join(allowed)))
        return answer._replace(status=HTTPStatus.METHOD_NOT_ALLOWED, headers=headers)
    answer = problem_answer(bad(f"path {req.path[:100]!r} does not exist"))
    return answer._replace(status=HTTPStatus.NOT_FOUND)


def _open(owners: Owners, req: Request) -> Answer:
    found = _open_request(req)
    if not isinstance(found, Success):
        return problem_answer(found.failure())
    encoded = msgspec.json.encode(found.unwrap())
    opened = forward.open_program(owners, req.tenant, encoded, found.unwrap()["parent"])
    return _managed(opened, HTTPStatus.CREATED)


def _open_request(req: Request) -> Result[OpenRequest, Failure]:
    try:
        body = msgspec.json.decode(req.body, type=OpenBody)
        unknown = msgspec.json.decode(req.body, type=dict).keys() - OpenBody.__annotations__.keys()
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Err(bad(f"the body is malformed: {exc}"))
    if unknown:
        return Err(bad(f"the body has unknown fields: {', '.join(sorted(unknown))[:200]}"))
    key = request_key(req.environ)
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


def _manage(owners: Owners, action: str, program: str, req: Request) -> Answer:
    return _managed(forward.manage(owners, Command(action, program, req.tenant)), HTTPStatus.OK)


def _managed(outcome: Result[bytes, Failure], status: HTTPStatus) -> Answer:
    if not isinstance(outcome, Success):
        return problem_answer(outcome.failure())
    return json_answer(outcome.unwrap(), status)
