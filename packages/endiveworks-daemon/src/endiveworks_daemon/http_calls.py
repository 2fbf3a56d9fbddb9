"""HTTP responses to calls: streamed as data arrives, or buffered for callers that don't stream."""

from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import TypedDict

import msgspec
from endiveworks.calls.stream import Chunk, FinalStatus
from endiveworks.decoding import DECODE_ERRORS
from endiveworks.engines.chat import EVENT_STREAM
from endiveworks.engines.chat_format import assemble, parse_request
from endiveworks.errors import Code, Failure
from endiveworks.programs.records import CHAT
from endiveworks.programs.requests import CallRequest
from returns.result import Failure as Err
from returns.result import Result, Success

from .http_protocol import CHUNK_WRITER
from .http_request import (
    PROGRAM_HEADER,
    Request,
    Response,
    bad_request,
    is_valid_name,
    json_response,
    parse_call_number,
    parse_request_key,
    problem_response,
)
from .problems import encode_details
from .response_sink import ResponseSink

Follow = Callable[[CallRequest, ResponseSink], Iterator[Chunk]]


class TruncatedError(Exception):
    """Aborts the connection so that the caller sees an incomplete response."""


class _Model(TypedDict):
    model: str


def chat(req: Request, follow: Follow) -> Response:
    """Handles a chat completion; the model field names the service."""
    parsed = parse_request(req.body)
    if not isinstance(parsed, Success):
        return problem_response(parsed.failure())
    try:
        service = msgspec.json.decode(req.body, type=_Model)["model"]
    except DECODE_ERRORS:
        return problem_response(bad_request("the field model is missing or not a string"))
    call = _call_request(req, service, CHAT)
    if not isinstance(call, Success):
        return problem_response(call.failure())
    sink = ResponseSink(req.environ[CHUNK_WRITER])
    chunks = follow(call.unwrap(), sink)
    return _stream_response(chunks, sink) if parsed.unwrap().stream else _buffered_response(chunks)


def plain(req: Request, service: str, operation: str, follow: Follow) -> Response:
    """Handles a call to a plain service; the response has the service's own status and body."""
    call = _call_request(req, service, operation)
    if not isinstance(call, Success):
        return problem_response(call.failure())
    return _buffered_response(follow(call.unwrap(), ResponseSink(lambda: None)))


def _call_request(req: Request, service: str, operation: str) -> Result[CallRequest, Failure]:
    program = req.environ.get(PROGRAM_HEADER, "")
    if not is_valid_name(program):
        return Err(bad_request("the header Endive-Program is missing or malformed"))
    number = parse_call_number(req.environ)
    if not isinstance(number, Success):
        return Err(number.failure())
    key = parse_request_key(req.environ)
    if not isinstance(key, Success):
        return Err(key.failure())
    return Success(
        CallRequest(
            program, number.unwrap(), req.tenant, service, operation, key.unwrap(), req.body
        )
    )


def _stream_response(chunks: Iterator[Chunk], sink: ResponseSink) -> Response:
    first = next(chunks)
    if not first.data and first.final_status is not None:
        return _final_response(first.final_status, b"")
    if first.final_status is not None and first.final_status.content_type != EVENT_STREAM:
        return _final_response(first.final_status, first.data)
    headers = (("Content-Type", EVENT_STREAM), ("Cache-Control", "no-store"))
    return Response(HTTPStatus.OK, headers, _stream_body(first, chunks, sink))


def _stream_body(first: Chunk, chunks: Iterator[Chunk], sink: ResponseSink) -> Iterator[bytes]:
    yield first.data
    sink.open()
    final_status = first.final_status
    for chunk in chunks if final_status is None else ():
        final_status = chunk.final_status
        if chunk.data:
            yield chunk.data
    failure = final_status.failure if final_status is not None else _truncated_failure()
    if failure is not None:
        yield b"event: error\ndata: " + encode_details(failure) + b"\n\n"
        raise TruncatedError(str(failure))


def _buffered_response(chunks: Iterator[Chunk]) -> Response:
    data = bytearray()
    final_status = None
    for chunk in chunks:
        data += chunk.data
        final_status = chunk.final_status
    if final_status is None:
        return problem_response(_truncated_failure())
    return _final_response(final_status, bytes(data))


def _final_response(final_status: FinalStatus, data: bytes) -> Response:
    if final_status.failure is not None:
        return problem_response(final_status.failure)
    if final_status.content_type == EVENT_STREAM and final_status.status == HTTPStatus.OK:
        return json_response(assemble(data))
    headers = (("Content-Type", final_status.content_type), ("Content-Length", str(len(data))))
    return Response(final_status.status, headers, (data,))


def _truncated_failure() -> Failure:
    detail = "the response ended early; repeat the call to get it completely"
    return Failure(Code.UPSTREAM_FAILED, "http.answer", "", detail, retry_after_s=0.0)
