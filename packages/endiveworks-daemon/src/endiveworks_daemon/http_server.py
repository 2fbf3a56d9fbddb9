"""HTTP server with limits on threads and connections, and timeouts for slow callers."""

import heapq
import logging
import math
import socket
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from cheroot import wsgi
from endiveworks.settings.checks import split_address
from endiveworks.telemetry.logs import logger

from .caller_memory import CallerMemory
from .http_protocol import Connection, Gateway, Request

_BACKLOG_CONNECTIONS = 1024
_IDLE_PERIOD_S = 0.5
_POLL_S = 0.05
# Share of the connections at the limit that are closed at once to make room for new ones.
_EVICTED_SHARE = 1 / 32
# Size of the kernel's buffer for what a caller has sent and has not been read.
_KERNEL_INPUT_BYTES = 16 * 1024
# Time between looks at the callers for which threads wait.
_LOOK_PERIOD_S = 0.25


class ServerLimits(NamedTuple):
    """Limits of one HTTP server.

    Attributes:
        threads: Worker threads; each processes one request at a time.
        connections: Open connections, idle ones included.
        header_bytes: Size of the request line and headers.
        body_bytes: Size of a request body.
        request_timeout_s: Seconds in which a request must arrive completely.
        idle_timeout_s: Seconds after which a connection is closed when it is idle or its caller
            does not read the response.
        held_bytes: Bytes that are held of all requests and responses.
    """

    threads: int
    connections: int
    header_bytes: int
    body_bytes: int
    request_timeout_s: float
    idle_timeout_s: int
    held_bytes: float = math.inf


class HttpServer(NamedTuple):
    """A running server.

    Attributes:
        address: Address as "ip:port".
        connections: Returns the number of open connections.
        wait_idle: Waits until no request has arrived for a short time, but at most the given
            seconds; requests that arrive meanwhile are served.
        stop: Stops the server.
    """

    address: str
    connections: Callable[[], int]
    wait_idle: Callable[[float], None]
    stop: Callable[[], None]


class _Server(wsgi.Server):
    """cheroot's server, with the limits of ServerLimits."""

    ConnectionClass = Connection

    def __init__(self, address: str, app: Any, limits: ServerLimits) -> None:
        super().__init__(
            split_address(address),
            app,
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=_BACKLOG_CONNECTIONS,
            timeout=limits.idle_timeout_s,
            server_name="endiveworks",
        )
        self.gateway = Gateway
        self.max_request_header_size = limits.header_bytes
        # The application rejects larger bodies with a clearer error; this limits what it reads.
        self.max_request_body_size = limits.body_bytes + 1
        self.keep_alive_conn_limit = limits.connections
        self.request_timeout_s = limits.request_timeout_s
        self.last_request_at_s = time.monotonic()
        self.caller_memory = CallerMemory(limits.held_bytes)
        self.working: set[Connection] = set()  # Connections that have a thread.
        self._idle: dict[Connection, None] = {}  # In the order in which they became idle.
        self._evicted = 0
        self._limits = limits
        self._open_connections = 0
        self._open_lock = threading.Lock()

    def adjust_open_connections(self, change: int) -> None:
        """Adds to the number of open connections."""
        with self._open_lock:
            self._open_connections += change

    def open_connections(self) -> int:
        """Returns the number of open connections."""
        with self._open_lock:
            return self._open_connections

    def process_conn(self, conn: Connection) -> None:
        """Hands a readable connection to a worker thread.

        A new connection first waits for its first byte without occupying a thread.
        """
        self._idle.pop(conn, None)
        if conn.is_evicted:
            conn.close()
            return
        if not conn.is_new:
            self.last_request_at_s = time.monotonic()
            super().process_conn(conn)
            return
        conn.is_new = False
        if self.open_connections() > self._limits.connections and not self._evict():
            Request(self, conn).simple_response("503", "Too many connections are open.")
            conn.has_unread_input = False
            conn.close()
            logger("http").warning("connection_refused", reason="too many connections")
            return
        self.put_conn(conn)

    def put_conn(self, conn: Connection) -> None:
        """Monitors an idle connection for its next request."""
        self._idle[conn] = None
        # An exception raised here would stop the server.
        try:
            super().put_conn(conn)
        except (OSError, ValueError, KeyError):
            self._idle.pop(conn, None)
            conn.close()

    def forget(self, conn: Connection) -> None:
        """Removes a connection that is closed."""
        self._idle.pop(conn, None)

    def _evict(self) -> int:
        """Ends the connections that have been idle longest; returns their number."""
        count = max(1, int(self._limits.connections * _EVICTED_SHARE))
        # Worker threads add connections meanwhile.
        evicted = list(self._idle.copy())[:count]
        for conn in evicted:
            self._idle.pop(conn, None)
            conn.evict()
        self._evicted += len(evicted)
        return len(evicted)

    def log_evictions(self) -> None:
        """Logs how many idle connections were closed since the last call."""
        evicted, self._evicted = self._evicted, 0
        if evicted:
            running = self.open_connections()
            logger("http").info("connections_evicted", amount=evicted, running=running)

    def cut_off_stuck(self, refused: int) -> None:
        """Cuts off callers for which threads wait, as many as others lack a thread or a place.

        Args:
            refused: Requests that had no place since the last call.
        """
        lacking = max(refused, 0 if self.requests.idle else self.requests.qsize)
        if not lacking:
            return
        now_s = time.monotonic()
        stuck = [
            (since_s, id(conn), conn)
            for conn in self.working.copy()
            if (since_s := conn.stuck_since_s(now_s)) is not None
        ]
        cut = heapq.nsmallest(lacking, stuck)
        for _, _, conn in cut:
            conn.cut_off(now_s)
        if cut:
            wait_ms = round((now_s - cut[0][0]) * 1000)
            logger("http").info("callers_cut", amount=len(cut), wait_ms=wait_ms)

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Logs the current exception without msg, which may quote a caller's content."""
        exc = sys.exc_info()[1]
        if isinstance(exc, ConnectionError | TimeoutError):
            logger("http").info("caller_lost", error_type=type(exc).__name__)
        elif exc is not None:
            logger("http").warning("connection_failed", exc_info=exc)
        elif level >= logging.WARNING:
            logger("http").warning("connection_failed")


def _cut_off_forever(httpd: _Server, take_refused: Callable[[], int]) -> None:
    while httpd.ready:
        time.sleep(_LOOK_PERIOD_S)
        httpd.cut_off_stuck(take_refused())
        httpd.log_evictions()


def serve(
    address: str,
    app: Any,
    limits: ServerLimits,
    name: str,
    take_refused: Callable[[], int] = lambda: 0,
) -> HttpServer:
    """Starts a server in daemon threads.

    Args:
        address: The address to listen on, as "ip:port"; port 0 selects a free port.
        app: The WSGI application.
        limits: Limits of the server.
        name: Name of the thread that accepts connections.
        take_refused: Returns the number of requests that the application has refused since the last
            call because too many others were at work.

    Raises:
        OSError: The address can't be bound.
    """
    httpd = _Server(address, app, limits)
    httpd.prepare()
    httpd.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_INPUT_BYTES)
    threading.Thread(target=httpd.serve, name=name, daemon=True).start()
    threading.Thread(
        target=_cut_off_forever, args=(httpd, take_refused), name=f"{name}-cuts", daemon=True
    ).start()
    host, port = httpd.bind_addr[:2]

    def wait_idle(timeout_s: float) -> None:
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < min(deadline_s, httpd.last_request_at_s + _IDLE_PERIOD_S):
            time.sleep(_POLL_S)

    bound_address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    return HttpServer(bound_address, httpd.open_connections, wait_idle, httpd.stop)
