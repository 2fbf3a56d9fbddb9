"""HTTP requests and connections with strict limits; every rejection carries problem details."""

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
from cheroot.makefile import StreamReader, StreamWriter
from cheroot.wsgi import Gateway_10
from endiveworks.errors import Code, Failure
from endiveworks.gateway.memory_budget import CUT_AFTER_S, STALLED_S

from .caller_memory import RequestMemory
from .http_request import REQUEST_MEMORY
from .problems import encode_problem
from .response_sink import ChunkWriter

# WSGI environment key of a function that registers a callback for the end of the response.
AFTER_SENT = "endiveworks.after_sent"
# WSGI environment key of a function that returns a ChunkWriter once the headers of a chunked
# response have been sent, else None.
CHUNK_WRITER = "endiveworks.chunk_writer"

_LINGER_S = 1.0
_MAX_LINGER_BYTES = 1024 * 1024
_READ_BYTES = 65536
_MAX_LENGTH_DIGITS = 15
_TOKEN_CHARS = frozenset(
    b"!#$%&'*+-.^`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)
_LIST_HEADERS = frozenset(cheroot_server.comma_separated_headers)  # type: ignore[attr-defined]

_CODE_BY_STATUS = {
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Code.BODY_TOO_LARGE,
    HTTPStatus.REQUEST_TIMEOUT: Code.REQUEST_TIMEOUT,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: Code.HEADERS_TOO_LARGE,
    HTTPStatus.INTERNAL_SERVER_ERROR: Code.INTERNAL,
    HTTPStatus.SERVICE_UNAVAILABLE: Code.OVERLOADED,
}
_RETRY_AFTER_S = 1.0


class _Headers(dict[bytes, bytes]):
    """Headers of a request; rejects malformed names and repeated headers that are not lists."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        # WSGI maps "-" to "_", so a name with "_" could impersonate another header.
        if not name or not set(name) <= _TOKEN_CHARS:
            raise ValueError("A header name is malformed.")
        if name in self and name not in _LIST_HEADERS:
            raise ValueError(f"The header {name.decode('ascii')} occurs more than once.")
        if name == b"Content-Length" and not _is_valid_length(value):
            raise ValueError("The header Content-Length is not a number.")
        super().__setitem__(name, value)


class _HeaderReader(cheroot_server.HeaderReader):
    """Reads headers, and rejects whitespace between a name and its colon."""

    def _transform_key(self, key_name: bytes) -> bytes:
        if key_name != key_name.strip():
            raise ValueError("A header name has whitespace around it.")
        return key_name.title()


class Request(cheroot_server.HTTPRequest):
    """A request that must arrive completely before a deadline."""

    header_reader = _HeaderReader()

    def __init__(self, server: Any, conn: "Connection", **options: Any) -> None:
        super().__init__(server, conn, **options)
        self.inheaders = _Headers()

    def parse_request(self) -> None:
        """Reads the request line and the headers."""
        self.conn.start_deadline()
        limit = self.server.max_request_header_size
        self.rfile = cheroot_server.SizeCheckWrapper(self.conn.rfile, limit)
        try:
            self.ready = self.read_request_line() and self.read_request_headers()
        except cheroot_errors.MaxSizeExceeded:
            self.simple_response("431", f"The headers may have at most {limit} bytes.")

    def read_request_headers(self) -> bool:
        """Reads the headers; rejects Content-Length together with Transfer-Encoding."""
        if not super().read_request_headers():
            return False
        if b"Content-Length" in self.inheaders and b"Transfer-Encoding" in self.inheaders:
            self.simple_response("400", "Content-Length and Transfer-Encoding can't be combined.")
            return False
        return True

    def respond(self) -> None:
        """Responds to the request, and records whether part of its body is unread."""
        try:
            super().respond()
        finally:
            self.conn.has_unread_input = self._has_unread_body()

    def send_headers(self) -> None:
        """Sends the response headers; closes the connection if part of the body is unread.

        cheroot would otherwise wait for the rest of the body first.
        """
        self.close_connection = self.close_connection or self._has_unread_body()
        super().send_headers()

    def _has_unread_body(self) -> bool:
        if self.chunked_read:
            return not self.rfile.closed
        remaining: int = getattr(self.rfile, "remaining", 0)
        return remaining > 0

    def simple_response(self, status: str, msg: str = "") -> None:
        """Rejects the request with problem details and closes the connection."""
        http_status = HTTPStatus(int(str(status)[:3]))
        code = _CODE_BY_STATUS.get(http_status, Code.BAD_REQUEST)
        retry_after_s = _RETRY_AFTER_S if code is Code.OVERLOADED else None
        detail = msg or f"{http_status.phrase}."
        not_run = code is not Code.INTERNAL
        encoded = encode_problem(Failure(code, "http.read", "", detail, not_run, retry_after_s))
        lines = [
            f"HTTP/1.1 {http_status.value} {http_status.phrase}",
            *(f"{name}: {value}" for name, value in encoded.headers),
            f"Content-Length: {len(encoded.body)}",
            "Connection: close",
        ]
        self.close_connection = True
        self.conn.has_unread_input = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write("\r\n".join([*lines, "", ""]).encode("ascii") + encoded.body)


class _DeadlineIO(socket.SocketIO):
    """Reads from a socket with one deadline for all reads, not a timeout for each.

    Attributes:
        socket: The socket.
        deadline_s: Monotonic time at which reading ends.
        is_waiting: Whether a thread waits for more bytes.
        is_cut: Whether nothing more is read.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "rb")
        self.socket = sock
        self.deadline_s = float("inf")
        self.is_waiting = False
        self.is_cut = False

    def readinto(self, buffer: Any) -> int | None:
        """Reads available bytes, waiting for them at most until the deadline.

        Raises:
            TimeoutError: The deadline or the socket's own timeout has passed.
        """
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0 or self.is_cut:
            raise TimeoutError("timed out")
        socket_timeout_s = self.socket.gettimeout()
        self.socket.settimeout(
            remaining_s if socket_timeout_s is None else min(remaining_s, socket_timeout_s)
        )
        self.is_waiting = True
        try:
            size = super().readinto(buffer)
        finally:
            self.is_waiting = False
            self.socket.settimeout(socket_timeout_s)
        if self.is_cut:
            raise TimeoutError("timed out")
        return size


class _Writer(StreamWriter):
    """Buffered writer to a socket, which tells since when a thread has waited for the caller."""

    def __init__(self, sock: socket.socket, size: int) -> None:
        super().__init__(sock, "wb", size)
        self.waiting_since_s: float | None = None

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Marks the time in which the caller may have to read before more is written."""
        self.waiting_since_s = time.monotonic()
        try:
            yield
        finally:
            self.waiting_since_s = None

    def write(  # type: ignore[override]  # its stub differs from its class
        self, val: Any, *args: Any, **kwargs: Any
    ) -> int:
        """Writes bytes, waiting for a slow caller."""
        with self.waiting():
            size: int = super().write(val, *args, **kwargs)
            return size


class _Reader(StreamReader):
    """Buffered reader over a socket with a deadline."""

    def __init__(self, raw: _DeadlineIO, size: int) -> None:
        # StreamReader.__init__ would create its own SocketIO, without the deadline.
        super(StreamReader, self).__init__(raw, size)
        self.bytes_read = 0


class Connection(cheroot_server.HTTPConnection):
    """A connection that counts towards the server's connection limit until it is closed.

    Attributes:
        is_new: Whether the server has not yet waited for the first byte.
        is_evicted: Whether the connection ends because another one takes its place.
        has_unread_input: Whether a response was sent before the whole request was read.
    """

    RequestHandlerClass = Request

    def __init__(self, server: Any, sock: socket.socket, makefile: Any) -> None:
        super().__init__(server, sock, makefile)
        self._raw = _DeadlineIO(sock)
        self.rfile = _Reader(self._raw, self.rbufsize)
        self.wfile = _Writer(sock, self.wbufsize)
        self.memory = RequestMemory(server.caller_memory)
        self.is_new = True
        self.is_evicted = False
        self.has_unread_input = False
        self._sent_callbacks: list[Callable[[], None]] = []
        self._counted = True
        self._receiving_since_s = time.monotonic()
        server.adjust_open_connections(1)

    def start_deadline(self) -> None:
        """Starts the time limit for receiving the next request."""
        self._receiving_since_s = time.monotonic()
        self._raw.deadline_s = self._receiving_since_s + self.server.request_timeout_s

    def stuck_since_s(self, now_s: float) -> float | None:
        """Returns since when a thread has waited for a caller that may be cut off; None for not."""
        writing_since_s: float | None = self.wfile.waiting_since_s
        if writing_since_s is not None:
            return writing_since_s if now_s - writing_since_s >= CUT_AFTER_S else None
        since_s = self._receiving_since_s
        return since_s if self._raw.is_waiting and now_s - since_s >= STALLED_S else None

    def cut_off(self, now_s: float) -> None:
        """Ends the wait for the caller; a request that has not arrived whole is refused."""
        writing_since_s: float | None = self.wfile.waiting_since_s
        is_unread = writing_since_s is not None and now_s - writing_since_s >= CUT_AFTER_S
        self._raw.is_cut = True
        with contextlib.suppress(OSError):  # The caller has closed the connection.
            self.socket.shutdown(socket.SHUT_RDWR if is_unread else socket.SHUT_RD)

    def evict(self) -> None:
        """Ends an idle connection, which the server then closes as soon as it sees the end."""
        self.is_evicted = True
        self._uncount()
        with contextlib.suppress(OSError):  # The caller has closed the connection.
            self.socket.shutdown(socket.SHUT_RDWR)

    def _uncount(self) -> None:
        if self._counted:
            self._counted = False
            self.server.adjust_open_connections(-1)

    def call_after_sent(self, callback: Callable[[], None]) -> None:
        """Registers a callback for when the current response has been sent or has failed."""
        self._sent_callbacks.append(callback)

    def communicate(self) -> bool:
        """Reads a request and responds to it; returns whether the connection stays open."""
        self.server.working.add(self)
        try:
            keep_open: bool = super().communicate()
            return keep_open
        finally:
            self.server.working.discard(self)
            self.memory.release()
            callbacks, self._sent_callbacks = self._sent_callbacks, []
            for callback in callbacks:
                callback()

    def close(self) -> None:
        """Closes the connection; errors are ignored, since nothing can act on them any more."""
        self._uncount()
        self.server.forget(self)
        # An exception raised here would stop the server.
        with contextlib.suppress(OSError, ValueError):
            if self.has_unread_input:
                self._linger()
        with contextlib.suppress(OSError, ValueError):
            super().close()
        self.socket.close()

    def _linger(self) -> None:
        """Reads and discards input before closing.

        An immediate close could reset the connection before the caller has read the response.
        """
        self.socket.shutdown(socket.SHUT_WR)
        deadline_s = time.monotonic() + _LINGER_S
        discarded = 0
        while discarded < _MAX_LINGER_BYTES:
            self.socket.settimeout(max(0.001, deadline_s - time.monotonic()))
            data = self.socket.recv(_READ_BYTES)
            discarded += len(data)
            if not data or time.monotonic() > deadline_s:
                return


class Gateway(Gateway_10):
    """Adds this server's keys to the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]  # its stub says None
        """Returns the WSGI environment of the request."""
        environ: dict[str, Any] = super().get_environ()
        environ[AFTER_SENT] = self.req.conn.call_after_sent
        environ[CHUNK_WRITER] = self._chunk_writer
        environ[REQUEST_MEMORY] = self.req.conn.memory
        return environ

    def _chunk_writer(self) -> ChunkWriter | None:
        req = self.req
        if not (req.sent_headers and req.chunked_write) or req.conn.socket.gettimeout() is None:
            return None
        return ChunkWriter(req.conn.socket, req.conn.wfile.waiting)


def _is_valid_length(value: bytes) -> bool:
    return value.isdigit() and len(value) <= _MAX_LENGTH_DIGITS
