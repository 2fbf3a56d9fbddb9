"""HTTP interface of the engine stand-in."""

import json
import time
import uuid
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from .faults import Faults
from .loop import EngineLoop, Request
from .orders import KINDS, OrderFaults, Orders
from .text import hash_prompt, response_pieces

READ_WAIT_S = 5.0
DEFAULT_MAX_TOKENS = 256

Json = dict[str, Any]
Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Response(NamedTuple):
    """A buffered response: status line and JSON body."""

    status: str
    body: Json


class Stream(NamedTuple):
    """A response that is streamed."""

    parts: Iterator[bytes]


OK = "200 OK"


def make_app(
    loop: EngineLoop, orders: Orders, mean_tokens: int
) -> Callable[[Environ, StartResponse], Iterable[bytes]]:
    """Builds the WSGI application of the stand-in."""
    routes: dict[tuple[str, str], Callable[[Environ], Response | Stream]] = {
        ("POST", "/v1/chat/completions"): lambda env: _complete(loop, orders, mean_tokens, env),
        ("POST", "/v1/cancel"): lambda env: _cancel(loop, env),
        ("GET", "/load"): lambda env: Response(OK, loop.read_load()._asdict()),
        ("GET", "/cache/events"): lambda env: _events(loop, env),
        ("GET", "/cache/list"): lambda env: _list(loop),
        ("POST", "/cache/release"): lambda env: _on_prefix(loop.release, env),
        ("POST", "/cache/export"): lambda env: _on_prefix(loop.export_prefix, env),
        ("POST", "/cache/import"): lambda env: _on_prefix(loop.import_prefix, env),
        ("POST", "/orders"): lambda env: _apply_order(orders, env),
        ("GET", "/orders"): lambda env: Response(OK, orders.describe()),
        ("POST", "/standin/order_faults"): lambda env: _set_order_faults(orders, env),
        ("POST", "/standin/faults"): lambda env: _set_faults(loop, env),
    }

    def app(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        handler = routes.get((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        try:
            response = handler(environ) if handler else _problem("404 Not Found", "path not found")
        except (ValueError, TypeError, KeyError, AttributeError) as exc:
            response = _problem("400 Bad Request", str(exc))
        if isinstance(response, Stream):
            start_response(OK, [("Content-Type", "text/event-stream")])
            return response.parts
        data = json.dumps(response.body).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        start_response(response.status, headers)
        return [data]

    return app


def _problem(status: str, message: str) -> Response:
    return Response(status, {"error": {"message": message}})


def _body(environ: Environ) -> Json:
    return json.loads(environ["wsgi.input"].read() or b"{}")


def _complete(
    loop: EngineLoop, orders: Orders, mean_tokens: int, environ: Environ
) -> Response | Stream:
    body = _body(environ)
    if not orders.serves(str(body.get("model", ""))):
        loop.log("not_served", model=str(body.get("model", "")))
        return _problem("503 Service Unavailable", f"model {body.get('model', '')!r} is not loaded")
    request_id = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
    after = int(environ.get("HTTP_LAST_EVENT_ID") or 0)
    if after and request_id not in loop.requests:
        return _problem("404 Not Found", f"request {request_id} is unknown and cannot be resumed")
    prompt = hash_prompt(
        body["messages"], loop.options.seed, bool(body.get("continue_final_message"))
    )
    limit = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
    if prompt.tokens + limit > loop.rates.memory_tokens:
        return _problem("400 Bad Request", "the request exceeds the engine's memory")
    pieces = response_pieces(prompt.response_seed, prompt.continued_text, mean_tokens, limit)
    salt = str(body.get("cache_salt", ""))
    loop.log("asked", request=request_id, salt=salt, messages=body["messages"])
    request = loop.submit(request_id, salt, prompt, pieces)
    if body.get("stream"):
        return Stream(_stream(loop, request, after, str(body.get("model", ""))))
    return _buffered(loop, request)


def _buffered(loop: EngineLoop, request: Request) -> Response:
    for _ in _stream(loop, request, 0, ""):
        pass
    if request.finish_reason != "stop":
        return _problem("503 Service Unavailable", request.finish_reason)
    message = {"role": "assistant", "content": "".join(request.pieces)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return Response(OK, {"choices": [choice], "usage": _usage(loop, request)})


def _usage(loop: EngineLoop, request: Request) -> Json:
    prompt_tokens = request.seq.prompt_tokens
    completion_tokens = request.produced + loop.faults.extra_tokens
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": request.seq.cached_tokens},
    }


def _stream(loop: EngineLoop, request: Request, after: int, model: str) -> Iterator[bytes]:
    sent = after
    cut = False
    head = json.dumps({"id": request.seq.request, "object": "chat.completion.chunk"})[:-1]
    head += f', "model": {json.dumps(model)}, "choices": [{{"index": 0, "delta": {{"content": "'
    with request.changed:
        request.readers += 1
    try:
        yield b": accepted\n\n"
        while True:
            produced, finish_reason = _wait_for_progress(request, sent)
            if request.cut_after and produced >= request.cut_after:
                produced, cut = request.cut_after, True
                request.cut_after = 0
            pieces = request.pieces[sent:produced]
            for at, piece in enumerate(pieces, sent + 1):
                yield f'id: {at}\ndata: {head}{piece}"}}}}]}}\n\n'.encode()
                sent = at
            if cut:
                raise ConnectionAbortedError("stream closed by an injected fault")
            if finish_reason:
                yield from _final_events(loop, request, finish_reason)
                return
    finally:
        with request.changed:
            request.readers -= 1
            request.last_read_at = time.monotonic()
        loop.log("sent", request=request.seq.request, after=after, sent=sent, cut=cut)


def _wait_for_progress(request: Request, sent: int) -> tuple[int, str]:
    with request.changed:
        while request.produced <= sent and not request.finish_reason:
            request.changed.wait(READ_WAIT_S)
        return request.produced, request.finish_reason


def _final_events(loop: EngineLoop, request: Request, finish_reason: str) -> Iterator[bytes]:
    if finish_reason == "lost":
        raise ConnectionAbortedError("engine restarted")
    body = {
        "id": request.seq.request,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": finish_reason}],
        "usage": _usage(loop, request),
    }
    yield f"id: {request.produced + 1}\ndata: {json.dumps(body)}\n\n".encode()
    yield b"data: [DONE]\n\n"


def _cancel(loop: EngineLoop, environ: Environ) -> Response:
    return Response(OK, {"cancelled": loop.cancel(str(_body(environ)["request_id"]))})


def _events(loop: EngineLoop, environ: Environ) -> Response:
    query = environ.get("QUERY_STRING", "")
    after = int(query.removeprefix("after=") or 0)
    return Response(OK, {"events": [event._asdict() for event in loop.read_events(after)]})


def _list(loop: EngineLoop) -> Response:
    return Response(OK, {"prefixes": loop.list_cache(), "exported": loop.list_exported()})


def _on_prefix(action: Callable[[str], int], environ: Environ) -> Response:
    return Response(OK, {"tokens": action(str(_body(environ)["cache_salt"]))})


def _apply_order(orders: Orders, environ: Environ) -> Response | Stream:
    body = _body(environ)
    if body["kind"] not in KINDS:
        return _problem("400 Bad Request", f"kind must be one of {', '.join(KINDS)}")
    outcome = orders.apply(body["kind"], str(body["value"]), int(body.get("fencing", 0)))
    if outcome.lose_response:
        return Stream(_truncated())
    return Response(outcome.status, {"fencing": outcome.fencing})


def _truncated() -> Iterator[bytes]:
    yield b"{"
    raise ConnectionAbortedError("response cut by an injected fault")


def _set_order_faults(orders: Orders, environ: Environ) -> Response:
    orders.faults = OrderFaults(**_body(environ))
    return Response(OK, orders.faults._asdict())


def _set_faults(loop: EngineLoop, environ: Environ) -> Response:
    loop.set_faults(Faults(**_body(environ)))
    return Response(OK, loop.faults._asdict())
