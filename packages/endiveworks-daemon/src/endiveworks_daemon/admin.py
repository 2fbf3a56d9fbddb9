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
    StatusSources,
    encode_metrics,
)

from . import http_server
from .http_server import HttpServer, ServerLimits

_LIMITS = ServerLimits(
    threads=2,
    connections=32,
    header_bytes=8192,
    body_bytes=1024,
    request_timeout_s=5.0,
    idle_timeout_s=10,
)


class _Response(NamedTuple):
    """A complete HTTP response."""

    status: str
    content_type: str
    body: bytes


def serve(address: str, sources: StatusSources) -> HttpServer:
    """Starts the server in daemon threads.

    Args:
        address: The address to listen on, as "ip:port"; port 0 selects a free port.
        sources: Functions that return the data to serve.

    Raises:
        OSError: The address can't be bound.
    """
    return http_server.serve(address, application(sources), _LIMITS, "admin")


def application(sources: StatusSources) -> WSGIApplication:
    """Returns the WSGI application that serves operators."""
    handlers: dict[str, Callable[[str], _Response]] = {
        METRICS_PATH: lambda _query: _json(encode_metrics(sources.metrics())),
        STATUS_PATH: lambda _query: _json(msgspec.json.encode(sources.status())),
        PROGRAMS_PATH: lambda query: _programs(sources, query),
        EXPLAIN_PATH: lambda query: _explain(sources, query),
        HEALTH_PATH: lambda _query: _health(sources),
    }

    def app(environ: WSGIEnvironment, start_response: StartResponse) -> Iterable[bytes]:
        response = _route(handlers, environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(response.status, headers)
        return [response.body]

    return app


def _route(handlers: dict[str, Callable[[str], _Response]], environ: WSGIEnvironment) -> _Response:
    handler = handlers.get(environ["PATH_INFO"])
    if handler is None:
        return _problem("404 Not Found", "Known paths: " + ", ".join(handlers))
    if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
        return _problem("405 Method Not Allowed", "Only GET is allowed.")
    return handler(environ.get("QUERY_STRING", ""))


def _programs(sources: StatusSources, query: str) -> _Response:
    limit = parse_qs(query).get("limit", [str(MAX_PROGRAM_ROWS)])[0]
    if not limit.isdecimal() or not 1 <= int(limit) <= MAX_PROGRAM_ROWS:
        return _problem("400 Bad Request", f"limit must be between 1 and {MAX_PROGRAM_ROWS}.")
    return _json(msgspec.json.encode(sources.programs(int(limit))))


def _explain(sources: StatusSources, query: str) -> _Response:
    program = parse_qs(query).get("program", [""])[0]
    if not program:
        return _problem("400 Bad Request", "The parameter program is required.")
    return _json(msgspec.json.encode(sources.explain(program)))


def _health(sources: StatusSources) -> _Response:
    if sources.status()["draining"]:
        return _Response("503 Service Unavailable", "text/plain", b"draining\n")
    return _Response("200 OK", "text/plain", b"ready\n")


def _json(body: bytes) -> _Response:
    return _Response("200 OK", "application/json", body)


def _problem(status: str, detail: str) -> _Response:
    body = msgspec.json.encode({"title": status[4:], "status": int(status[:3]), "detail": detail})
    return _Response(status, "application/problem+json", body)
