"""The HTTP server for operators: status, programs, metrics and health."""

from collections.abc import Callable, Iterable
from typing import NamedTuple
from urllib.parse import parse_qs
from wsgiref.types import StartResponse, WSGIApplication, WSGIEnvironment

import msgspec
from endiveworks.telemetry.status import (
    EXPLAIN_PATH,
    HEALTH_PATH,
    MAX_PROGRAM_ROWS,
    METRICS_PATH,
    PROGRAMS_PATH,
    STATUS_PATH,
    Sources,
    encode_metrics,
)

from . import http_server
from .http_server import HttpServer, ServerLimits

_LIMITS = ServerLimits(
    threads=2,
    connections=32,
    header_bytes=8192,
    body_bytes=1024,
    request_s=5.0,
    silence_s=10,
)


class _Answer(NamedTuple):
    """An HTTP answer."""

    status: str
    content_type: str
    body: bytes


def serve(address: str, sources: Sources) -> HttpServer:
    """Starts the server in daemon threads.

    Args:
        address: The address to listen on, as "ip:port"; port 0 takes a free one.
        sources: Where the answers come from.

    Raises:
        OSError: The address can't be bound.
    """
    return http_server.serve(address, application(sources), _LIMITS, "admin")


def application(sources: Sources) -> WSGIApplication:
    """Returns the WSGI application that answers operators."""
    pages: dict[str, Callable[[str], _Answer]] = {
        METRICS_PATH: lambda _query: _json(encode_metrics(sources.metrics())),
        STATUS_PATH: lambda _query: _json(msgspec.json.encode(sources.status())),
        PROGRAMS_PATH: lambda query: _programs(sources, query),
        EXPLAIN_PATH: lambda query: _explain(sources, query),
        HEALTH_PATH: lambda _query: _health(sources),
    }

    def answer(environ: WSGIEnvironment, start_response: StartResponse) -> Iterable[bytes]:
        result = _route(pages, environ)
        headers = [
            ("Content-Type", result.content_type),
            ("Content-Length", str(len(result.body))),
        ]
        start_response(result.status, headers)
        return [result.body]

    return answer


def _route(pages: dict[str, Callable[[str], _Answer]], environ: WSGIEnvironment) -> _Answer:
    page = pages.get(environ["PATH_INFO"])
    if page is None:
        return _problem("404 Not Found", "Known paths: " + ", ".join(pages))
    if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
        return _problem("405 Method Not Allowed", "Only GET is allowed.")
    return page(environ.get("QUERY_STRING", ""))


def _programs(sources: Sources, query: str) -> _Answer:
    text = parse_qs(query).get("limit", [str(MAX_PROGRAM_ROWS)])[0]
    if not text.isdecimal() or not 1 <= int(text) <= MAX_PROGRAM_ROWS:
        return _problem("400 Bad Request", f"limit must be between 1 and {MAX_PROGRAM_ROWS}.")
    return _json(msgspec.json.encode(sources.programs(int(text))))


def _explain(sources: Sources, query: str) -> _Answer:
    program = parse_qs(query).get("program", [""])[0]
    if not program:
        return _problem("400 Bad Request", "program must be named.")
    return _json(msgspec.json.encode(sources.explain(program)))


def _health(sources: Sources) -> _Answer:
    if sources.status()["draining"]:
        return _Answer("503 Service Unavailable", "text/plain", b"draining\n")
    return _Answer("200 OK", "text/plain", b"ready\n")


def _json(body: bytes) -> _Answer:
    return _Answer("200 OK", "application/json", body)


def _problem(status: str, detail: str) -> _Answer:
    body = msgspec.json.encode({"title": status[4:], "status": int(status[:3]), "detail": detail})
    return _Answer(status, "application/problem+json", body)
