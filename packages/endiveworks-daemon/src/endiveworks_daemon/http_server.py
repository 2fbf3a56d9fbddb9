"""HTTP server with bounded threads and connections, and time limits for slow callers."""

import logging
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from cheroot import wsgi
from endiveworks.settings.checks import split_address
from endiveworks.telemetry.logs import logger

from .http_protocol import Connection, Gateway, Request

_BACKLOG_CONNECTIONS = 1024
_QUIET_S = 0.5
_POLL_S = 0.05


class ServerLimits(NamedTuple):
    """Bounds of one HTTP server.

    Attributes:
        threads: Requests read or answered at once.
        connections: Open connections, idle ones included.
        header_bytes: Size of a request line with its headers.
        body_bytes: Size of a body.
        request_s: Seconds in which a request must arrive whole.
        silence_s: Seconds after which an idle connection, or one whose caller does not read, is
            closed.
    """

    threads: int
    connections: int
    header_bytes: int
    body_bytes: int
    request_s: float
    silence_s: int


class HttpServer(NamedTuple):
    """A running server.

    Attributes:
        address: Address as "ip:port".
        connections: Returns the number of open connections.
        settle: Waits until no request has come in for a moment, for at most some seconds; requests
            still arriving are answered.
        stop: Stops the server.
    """

    address: str
    connections: Callable[[], int]
    settle: Callable[[float], None]
    stop: Callable[[], None]


class _Server(wsgi.Server):
    """cheroot's server with the limits."""

    ConnectionClass = Connection

    def __init__(self, address: str, app: Any, limits: ServerLimits) -> None:
        super().__init__(
            split_address(address),
            app,
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=_BACKLOG_CONNECTIONS,
            timeout=limits.silence_s,
            server_name="endiveworks",
        )
        self.gateway = Gateway
        self.max_request_header_size = limits.header_bytes
        # The application refuses larger bodies with a better answer; this bounds what it reads.
        self.max_request_body_size = limits.body_bytes + 1
        self.keep_alive_conn_limit = limits.connections
        self.request_s = limits.request_s
        self.last_request_at = time.monotonic()
        self._limits = limits
        self._open = 0
        self._open_lock = threading.Lock()

    def count_connection(self, change: int) -> None:
        """Adds to the number of open connections."""
        with self._open_lock:
            self._open += change

    def open_connections(self) -> int:
        """Returns the number of open connections."""
        with self._open_lock:
            return self._open

    def process_conn(self, conn: Connection) -> None:
        """Gives a readable connection a thread; a new one waits for its first byte without."""
        if not conn.fresh:
            self.last_request_at = time.monotonic()
            super().process_conn(conn)
            return
        conn.fresh = False
        if self.open_connections() > self._limits.connections:
            Request(self, conn).simple_response("503", "Too many connections are open.")
            conn.unread = False
            conn.close()
            logger("http").warning("connection_refused", reason="too many connections")
            return
        self.put_conn(conn)

    def put_conn(self, conn: Connection) -> None:
        """Keeps an idle connection until its next request."""
        # An error raised here would end the server.
        try:
            super().put_conn(conn)
        except (OSError, ValueError, KeyError):
            conn.close()

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Logs what happened, without the text, which may quote a caller's content."""
        exc = sys.exc_info()[1]
        if isinstance(exc, ConnectionError | TimeoutError):
            logger("http").info("caller_lost", error_type=type(exc).__name__)
        elif exc is not None:
            logger("http").warning("connection_failed", exc_info=exc)
        elif level >= logging.WARNING:
            logger("http").warning("connection_failed")


def serve(address: str, app: Any, limits: ServerLimits, name: str) -> HttpServer:
    """Starts a server in daemon threads.

    Args:
        address: The address to listen on, as "ip:port"; port 0 takes a free one.
        app: The WSGI application.
        limits: Bounds of the server.
        name: Name of the thread that accepts connections.

    Raises:
        OSError: The address can't be bound.
    """
    httpd = _Server(address, app, limits)
    httpd.prepare()
    threading.Thread(target=httpd.serve, name=name, daemon=True).start()
    host, port = httpd.bind_addr[:2]

    def settle(timeout_s: float) -> None:
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < min(deadline, httpd.last_request_at + _QUIET_S):
            time.sleep(_POLL_S)

    bound = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    return HttpServer(bound, httpd.open_connections, settle, httpd.stop)
