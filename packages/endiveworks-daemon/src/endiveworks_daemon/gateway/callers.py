"""HTTP connections of callers: reads requests, writes responses and detects disconnects."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11
from endiveworks.gateway.messages import Headers
from endiveworks.gateway.routes import Limits
from endiveworks.telemetry import logs

from .sockets import enable_keepalive

READ_BYTES = 64 * 1024  # Size of one read from a connection.
# More pipelined data stays in the kernel's buffer until the current request has its response.
MAX_PIPELINED_BYTES = 256 * 1024
_STATUS_TIMEOUT = 408
_STATUS_TOO_LARGE = 413


class RawRequest(NamedTuple):
    """A complete request as it was received, before the dialect decodes it."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class CallerDisconnectedError(Exception):
    """Raised when the caller's connection ends before its response is complete."""


class Responder:
    """Writes the response to one request.

    Args:
        conn: HTTP state of the caller's connection.
        writer: Stream to the caller.
        closing: Returns whether the connection is to be closed after the response.

    Attributes:
        started: Whether the head has been written.
        ended: Whether the response has been written completely.
    """

    def __init__(
        self, conn: h11.Connection, writer: asyncio.StreamWriter, closing: Callable[[], bool]
    ) -> None:
        self._conn = conn
        self._writer = writer
        self._closing = closing
        self.started = False
        self.ended = False

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a complete response; its Content-Length is that of the body."""
        framed = [(k, v) for k, v in headers if k.lower() != b"content-length"]
        framed.append((b"content-length", str(len(body)).encode()))
        await self.start(status, framed)
        if body:
            await self.send(body)
        await self.end()

    async def start(self, status: int, headers: Headers) -> None:
        """Writes the head; without a Content-Length, the body is sent in chunks."""
        self.started = True
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        self._write_event(h11.Response(status_code=status, headers=headers))

    async def send(self, data: bytes) -> None:
        """Writes a part of the body."""
        self._write_event(h11.Data(data=data))
        await self._drain()

    async def end(self) -> None:
        """Completes the response."""
        self._write_event(h11.EndOfMessage())
        self.ended = True
        await self._drain()

    def _write_event(self, event: h11.Event) -> None:
        data = self._conn.send(event)
        if data:
            self._writer.write(data)

    async def _drain(self) -> None:
        try:
            await self._writer.drain()
        except OSError as exc:
            raise CallerDisconnectedError from exc


RequestHandler = Callable[[RawRequest, Responder], Awaitable[None]]


class CallerConnection:
    """One connection of a caller.

    Args:
        reader: Stream from the caller.
        writer: Stream to the caller.
        handle: Serves one request; is cancelled when the caller disconnects.
        limits: Returns the limits in force.
        closing: Returns whether the process is shutting down, so that connections are closed after
            their current response.

    Attributes:
        busy: Whether a request is being received or served.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handle: RequestHandler,
        limits: Callable[[], Limits],
        closing: Callable[[], bool],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handle = handle
        self._limits = limits
        self._closing = closing
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().max_header_bytes + READ_BYTES
        )
        self._pipelined_bytes = 0
        self.busy = False

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        enable_keepalive(self._writer)
        try:
            while await self._serve_request():
                self._conn.start_next_cycle()
                self._pipelined_bytes = 0
        except (OSError, CallerDisconnectedError):
            pass  # The caller disconnected; its request has been cancelled.
        except h11.RemoteProtocolError as exc:
            await self._send_error(exc.error_status_hint)
        finally:
            self.busy = False
            self._writer.transport.abort() if self._ended_early() else self._writer.close()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is being received or served on it."""
        if not self.busy:
            self._writer.close()

    def _ended_early(self) -> bool:
        # Aborting the connection within a body lets the caller see that the response is incomplete.
        return self._conn.our_state is h11.SEND_BODY

    async def _serve_request(self) -> bool:
        received = await self._read_request()
        if received is None:
            return False
        responder = Responder(self._conn, self._writer, self._closing)
        task = asyncio.ensure_future(self._handle(received, responder))
        disconnect = asyncio.create_task(self._wait_for_disconnect())
        try:
            await asyncio.wait({task, disconnect}, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                raise CallerDisconnectedError
            await task
        finally:
            disconnect.cancel()
            if not task.done():
                task.cancel()
            await asyncio.gather(task, disconnect, return_exceptions=True)
        self.busy = False
        complete = responder.ended and self._conn.our_state is h11.DONE
        return complete and self._conn.their_state is h11.DONE and not self._closing()

    async def _wait_for_disconnect(self) -> None:
        """Returns when the caller has disconnected; buffers pipelined requests until then."""
        while self._pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await self._reader.read(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            self._pipelined_bytes += len(data)
            self._conn.receive_data(data)
        await asyncio.Event().wait()

    async def _read_request(self) -> RawRequest | None:
        limits = self._limits()
        head = await self._next_event(limits.idle_timeout_s, limits.header_timeout_s)
        if not isinstance(head, h11.Request):
            return None
        self.busy = True
        if sum(len(k) + len(v) for k, v in head.headers) > limits.max_header_bytes:
            raise h11.RemoteProtocolError("headers are too large", error_status_hint=431)
        body = bytearray()
        while True:
            if self._conn.they_are_waiting_for_100_continue:
                self._writer.write(
                    self._conn.send(h11.InformationalResponse(status_code=100, headers=[]))
                )
            event = await self._next_event(limits.idle_timeout_s, limits.idle_timeout_s)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            if len(body) > limits.max_body_bytes:
                raise h11.RemoteProtocolError(
                    "body is too large", error_status_hint=_STATUS_TOO_LARGE
                )
        method, target = head.method.decode("ascii"), head.target.decode("latin-1")
        return RawRequest(method, target, list(head.headers), bytes(body))

    async def _next_event(self, idle_timeout_s: float, read_timeout_s: float) -> object:
        """Returns the next event of the request, or None at the end of the connection.

        Args:
            idle_timeout_s: Time to wait for the first bytes of a request.
            read_timeout_s: Time to wait for more bytes of a request.
        """
        while True:
            event = self._conn.next_event()
            if event is not h11.NEED_DATA:
                return None if isinstance(event, h11.ConnectionClosed) else event
            try:
                async with asyncio.timeout(read_timeout_s if self.busy else idle_timeout_s):
                    data = await self._reader.read(READ_BYTES)
            except TimeoutError:
                if self.busy:
                    raise h11.RemoteProtocolError(
                        "timed out while the request was read", error_status_hint=_STATUS_TIMEOUT
                    ) from None
                return None
            if not data:
                return None
            self.busy = True
            self._conn.receive_data(data)

    async def _send_error(self, status: int) -> None:
        logs.logger("callers").warning("request_malformed", status=status)
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        data = self._conn.send(h11.Response(status_code=status, headers=headers))
        self._writer.write((data or b"") + (self._conn.send(h11.EndOfMessage()) or b""))
        # The caller may have disconnected already.
        with contextlib.suppress(OSError):
            await self._writer.drain()
