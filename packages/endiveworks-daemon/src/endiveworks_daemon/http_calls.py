"""Answers to calls: streamed as they grow, or whole for callers that want them so."""

from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import TypedDict

import msgspec
from endiveworks.calls.stream import Ending, Piece
from endiveworks.engines.chat import EVENT_STREAM
from endiveworks.engines.chat_format import assemble, parse_request
from endiveworks.errors import Code, Failure
from endiveworks.programs.records import CHAT
from endiveworks.programs.requests import CallRequest
from returns.result import Failure as Err
from returns.result import Result, Success

from .http_protocol import CHUNK_WRITER
from .http_request import (
    PROGRAM,
    Answer,
    Request,
    bad,
    call_number,
    is_name,
    json_answer,
    problem_answer,
    request_key,
)
from .outlet import Outlet
from .problems import details

Follow = Callable[[CallRequest, Outlet], Iterator[Piece]]


class TruncatedError(Exception):
    """Ends a connection without the mark of a complete answer."""


class _Model(TypedDict):
    model: str


def chat(req: Request, follow: Follow) -> Answer:
    """Answers a chat completion; the model field names the service."""
    parsed = parse_request(req.body)
    if not isinstance(parsed, Success):
        return problem_answer(parsed.failure())
    try:
        service = msgspec.json.decode(req.body, type=_Model)["model"]
    except msgspec.MsgspecError:
        return problem_answer(bad("the field model is missing or not a string"))
    call = _call_request(req, service, CHAT)
    if not isinstance(call, Success):
        return problem_answer(call.failure())
    outlet = Outlet(req.environ[CHUNK_WRITER])
    pieces = follow(call.unwrap(), outlet)
    return _streamed(pieces, outlet) if parsed.unwrap().stream else _whole(pieces)


def plain(req: Request, service: str, operation: str, follow: Follow) -> Answer:
    """Answers a call of a plain service with the service's own status and body."""
    call = _call_request(req, service, operation)
    if not isinstance(call, Success):
        return problem_answer(call.failure())
    return _whole(follow(call.unwrap(), Outlet(lambda: None)))


def _call_request(req: Request, service: str, operation: str) -> Result[CallRequest, Failure]:
    program = req.environ.get(PROGRAM, "")
    if not is_name(program):
        return Err(bad("the header Endive-Program is missing or malformed"))
    number = call_number(req.environ)
    if not isinstance(number, Success):
        return Err(number.failure())
    key = request_key(req.environ)
    if not isinstance(key, Success):
        return Err(key.failure())
    return Success(
        CallRequest(
            program, number.unwrap(), req.tenant, service, operation, key.unwrap(), req.body
        )
    )


def _streamed(pieces: Iterator[Piece], outlet: Outlet) -> Answer:
    first = next(pieces)
    if not first.data and first.ending is not None:
        return _ended(first.ending, b"")
    if first.ending is not None and first.ending.content_type != EVENT_STREAM:
        return _ended(first.ending, first.data)
    headers = (("Content-Type", EVENT_STREAM), ("Cache-Control", "no-store"))
    return Answer(HTTPStatus.OK, headers, _body(first, pieces, outlet))


def _body(first: Piece, pieces: Iterator[Piece], outlet: Outlet) -> Iterator[bytes]:
    yield first.data
    outlet.open()
    ending = first.ending
    for piece in pieces if ending is None else ():
        ending = piece.ending
        if piece.data:
            yield piece.data
    failure = ending.failure if ending is not None else _cut()
    if failure is not None:
        yield b"event: error\ndata: " + details(failure) + b"\n\n"
        raise TruncatedError(str(failure))


def _whole(pieces: Iterator[Piece]) -> Answer:
    data = bytearray()
    ending = None
    for piece in pieces:
        data += piece.data
        ending = piece.ending
    if ending is None:
        return problem_answer(_cut())
    return _ended(ending, bytes(data))


def _ended(ending: Ending, data: bytes) -> Answer:
    if ending.failure is not None:
        return problem_answer(ending.failure)
    if ending.content_type == EVENT_STREAM and ending.status == HTTPStatus.OK:
        return json_answer(assemble(data))
    headers = (("Content-Type", ending.content_type), ("Content-Length", str(len(data))))
    return Answer(ending.status, headers, (data,))


def _cut() -> Failure:
    detail = "the answer stopped; ask again to get it whole"
    return Failure(Code.UPSTREAM_FAILED, "http.answer", "", detail, retry_after_s=0.0)
