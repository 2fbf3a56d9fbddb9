"""The HTTP server for callers."""

from collections.abc import Callable, Iterable

from endiveworks.settings.flags import Values

from . import http_server
from .caller_memory import bound_bytes
from .http_server import HttpServer, ServerLimits

_SPARE_THREADS = 16


def serve_callers(
    cfg: Values, app: Callable[..., Iterable[bytes]], take_refused: Callable[[], int]
) -> HttpServer:
    """Starts the server in daemon threads.

    It has more threads than max_open, so that requests over that limit can still be rejected.

    Args:
        cfg: The settings.
        app: The WSGI application.
        take_refused: See http_server.serve.

    Raises:
        OSError: The address can't be bound.
    """
    limits = ServerLimits(
        threads=cfg.integer("max_open") + _SPARE_THREADS,
        connections=cfg.integer("max_callers"),
        header_bytes=cfg.integer("max_header_bytes"),
        body_bytes=cfg.integer("max_body_bytes"),
        request_timeout_s=cfg.number("request_s"),
        idle_timeout_s=cfg.integer("caller_silence_s"),
        held_bytes=bound_bytes(cfg.integer("caller_memory_mb")),
    )
    return http_server.serve(cfg.text("http"), app, limits, "http", take_refused)
