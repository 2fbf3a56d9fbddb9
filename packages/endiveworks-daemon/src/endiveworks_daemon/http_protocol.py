"""HTTP requests and connections held to strict limits, with problem details for every refusal."""

import contextlib
import socket
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
from cheroot.makefile import StreamReader
from cheroot.wsgi import Gateway_10
from endiveworks.errors import Code, Failure

from .outlet import ChunkWriter
from .problems import problem

# Key of the WSGI environment: registers a function to call once the answer has been sent whole.
AFTER_SENT = "endiveworks.after_sent"
# Key of the WSGI environment: returns a writer for an answer that has begun, or None.
CHUNK_WRITER = "endiveworks.chunk_writer"

_LINGER_S = 1.0
_LINGER_BYTES = 1024 * 1024
_READ_BYTES = 65536
_MAX_LENGTH_DIGITS = 15
_TOKEN = frozenset(b"!#$%&'*+-.^`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
_LISTS = frozenset(cheroot_server.comma_separated_headers)  # type: ignore[attr-defined]

_CODES = {
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Code.BODY_TOO_LARGE,
    HTTPStatus.REQUEST_TIMEOUT: Code.REQUEST_TIMEOUT,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: Code.HEADERS_TOO_LARGE,
    HTTPStatus.INTERNAL_SERVER_ERROR: Code.INTERNAL,
    HTTPStatus.SERVICE_UNAVAILABLE: Code.OVERLOADED,
}
_RETRY_S = 1.0


class _Headers(dict[bytes, bytes]):
    """Headers of a request; a name given twice, or malformed, is an error."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        # WSGI reads "_" as "-", which would let one header pass for another.
        if not name or not set(name) <= _TOKEN:
            raise ValueError("A header's name is malformed.")
        if name in self and name not in _LISTS:
            raise ValueError(f"The header {name.decode('ascii')} is given twice.")
        if name == b"Content-Length" and not _is_length(value):
            raise ValueError("The header Content-Length is not a number.")
        super().__setitem__(name, value)


class _HeaderReader(cheroot_server.HeaderReader):
    """Reads headers whose names end at the colon."""

    def _transform_key(self, key_name: bytes) -> bytes:
        if key_name != key_name.strip():
            raise ValueError("A header's name has spaces around it.")
        return key_name.title()


class Request(cheroot_server.HTTPRequest):
    """A request that must arrive whole before a deadline."""

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
        """Reads the headers; a length given in two ways is refused."""
        if not super().read_request_headers():
            return False
        if b"Content-Length" in self.inheaders and b"Transfer-Encoding" in self.inheaders:
            self.simple_response("400", "Content-Length and Transfer-Encoding exclude each other.")
            return False
        return True

    def respond(self) -> None:
        """Answers the request, and notes whether some of it was left unread."""
        try:
            super().respond()
        finally:
            self.conn.unread = self._is_partly_read()

    def send_headers(self) -> None:
        """Sends the headers of the answer; a request that was not read whole ends the connection.

        cheroot would wait for the rest of the request first.
        """
        self.close_connection = self.close_connection or self._is_partly_read()
        super().send_headers()

    def _is_partly_read(self) -> bool:
        if self.chunked_read:
            return not self.rfile.closed
        left: int = getattr(self.rfile, "remaining", 0)
        return left > 0

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuses the request with problem details and ends the connection."""
        known = HTTPStatus(int(str(status)[:3]))
        code = _CODES.get(known, Code.BAD_REQUEST)
        retry_s = _RETRY_S if code is Code.OVERLOADED else None
        detail = msg or f"{known.phrase}."
        not_run = code is not Code.INTERNAL
        found = problem(Failure(code, "http.read", "", detail, not_run, retry_s))
        lines = [
            f"HTTP/1.1 {known.value} {known.phrase}",
            *(f"{name}: {value}" for name, value in found.headers),
            f"Content-Length: {len(found.body)}",
            "Connection: close",
        ]
        self.close_connection = True
        self.conn.unread = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write("\r\n".join([*lines, "", ""]).encode("ascii") + found.body)


class _DeadlineIO(socket.SocketIO):
    """Reads from a socket until a deadline, however slowly the bytes arrive."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "rb")
        self.socket = sock
        self.deadline = float("inf")

    def readinto(self, buffer: Any) -> int | None:
        """Reads what is there, or raises TimeoutError at the deadline."""
        left_s = self.deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("timed out")
        usual_s = self.socket.gettimeout()
        self.socket.settimeout(left_s if usual_s is None else min(left_s, usual_s))
        try:
            return super().readinto(buffer)
        finally:
            self.socket.settimeout(usual_s)


class _Reader(StreamReader):
    """Buffered reader over a socket with a deadline."""

    def __init__(self, raw: _DeadlineIO, size: int) -> None:
        # StreamReader would make a reader of its own, without the deadline.
        super(StreamReader, self).__init__(raw, size)
        self.bytes_read = 0


class Connection(cheroot_server.HTTPConnection):
    """A connection that counts towards the server's limit until it is closed.

    Attributes:
        fresh: Whether no request has been read from it yet.
        unread: Whether a request was answered before all of it was read.
    """

    RequestHandlerClass = Request

    def __init__(self, server: Any, sock: socket.socket, makefile: Any) -> None:
        super().__init__(server, sock, makefile)
        self._raw = _DeadlineIO(sock)
        self.rfile = _Reader(self._raw, self.rbufsize)
        self.fresh = True
        self.unread = False
        self._after: list[Callable[[], None]] = []
        self._counted = True
        server.count_connection(1)

    def start_deadline(self) -> None:
        """Gives the request that comes now its time to arrive."""
        self._raw.deadline = time.monotonic() + self.server.request_s

    def after_sent(self, action: Callable[[], None]) -> None:
        """Has a function called once the answer under way has been sent or given up."""
        self._after.append(action)

    def communicate(self) -> bool:
        """Reads a request and answers it; returns whether the connection stays open."""
        try:
            keep: bool = super().communicate()
            return keep
        finally:
            actions, self._after = self._after, []
            for action in actions:
                action()

    def close(self) -> None:
        """Closes the connection; errors are of no use to anybody by now."""
        if self._counted:
            self._counted = False
            self.server.count_connection(-1)
        # An error raised here would end the server.
        with contextlib.suppress(OSError, ValueError):
            if self.unread:
                self._linger()
        with contextlib.suppress(OSError, ValueError):
            super().close()
        self.socket.close()

    def _linger(self) -> None:
        """Drops what the caller still sends, since closing at once could destroy the answer."""
        self.socket.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + _LINGER_S
        dropped = 0
        while dropped < _LINGER_BYTES:
            self.socket.settimeout(max(0.001, deadline - time.monotonic()))
            data = self.socket.recv(_READ_BYTES)
            dropped += len(data)
            if not data or time.monotonic() > deadline:
                return


class Gateway(Gateway_10):
    """Hands requests to the WSGI application."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]  # its stub says None
        """Returns the WSGI environment of the request."""
        environ: dict[str, Any] = super().get_environ()
        environ[AFTER_SENT] = self.req.conn.after_sent
        environ[CHUNK_WRITER] = self._chunk_writer
        return environ

    def _chunk_writer(self) -> ChunkWriter | None:
        req = self.req
        if not (req.sent_headers and req.chunked_write) or req.conn.socket.gettimeout() is None:
            return None
        return ChunkWriter(req.conn.socket)


def _is_length(value: bytes) -> bool:
    return value.isdigit() and len(value) <= _MAX_LENGTH_DIGITS
