"""Connections of callers: reading of requests, writing of answers, callers that leave."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11
from endiveworks.gateway.messages import Headers
from endiveworks.gateway.routes import Limits
from endiveworks.telemetry import logs

from .sockets import probe_silence

READ_BYTES = 64 * 1024  # Read from a connection at once.
# Pipelined requests beyond this wait in the kernel until the one before them is answered.
MAX_AHEAD_BYTES = 256 * 1024
_STATUS_TIMEOUT = 408
_STATUS_TOO_LARGE = 413


class Received(NamedTuple):
    """A whole request as it came in."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class CallerGoneError(Exception):
    """Raised when the caller's connection ends before its answer is written."""


class Responder:
    """Writes the answer to one request."""

    def __init__(
        self, conn: h11.Connection, writer: asyncio.StreamWriter, closes: Callable[[], bool]
    ) -> None:
        self._conn = conn
        self._writer = writer
        self._closes = closes
        self.started = False
        self.ended = False

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a whole answer."""
        framed = [(k, v) for k, v in headers if k.lower() != b"content-length"]
        framed.append((b"content-length", str(len(body)).encode()))
        await self.start(status, framed)
        if body:
            await self.send(body)
        await self.end()

    async def start(self, status: int, headers: Headers) -> None:
        """Writes the head; without a length the body is sent in chunks."""
        self.started = True
        if self._closes():
            headers = [*headers, (b"connection", b"close")]
        self._put(h11.Response(status_code=status, headers=headers))

    async def send(self, data: bytes) -> None:
        """Writes a piece of the body."""
        self._put(h11.Data(data=data))
        await self._drained()

    async def end(self) -> None:
        """Marks the answer as complete."""
        self._put(h11.EndOfMessage())
        self.ended = True
        await self._drained()

    def _put(self, event: h11.Event) -> None:
        data = self._conn.send(event)
        if data:
            self._writer.write(data)

    async def _drained(self) -> None:
        try:
            await self._writer.drain()
        except OSError as exc:
            raise CallerGoneError from exc


Handle = Callable[[Received, Responder], Awaitable[None]]


class CallerConnection:
    """One connection of a caller.

    Args:
        reader: What the caller sends.
        writer: Where answers go.
        handle: Answers one request; is cancelled when the caller leaves.
        limits: Returns the limits in force.
        closing: Returns whether the process is leaving, so that connections are not kept.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handle: Handle,
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
        self._ahead = 0
        self.busy = False

    async def run(self) -> None:
        """Answers requests until the connection ends."""
        probe_silence(self._writer)
        try:
            while await self._exchange():
                self._conn.start_next_cycle()
                self._ahead = 0
        except (OSError, CallerGoneError):
            pass  # The caller left; its request has been cancelled.
        except h11.RemoteProtocolError as exc:
            await self._refuse(exc.error_status_hint)
        finally:
            self.busy = False
            self._writer.transport.abort() if self._unsent() else self._writer.close()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request has begun to arrive on it."""
        if not self.busy:
            self._writer.close()

    def _unsent(self) -> bool:
        # An answer that ends early must look cut, so what follows it is never a clean close.
        return self._conn.our_state is h11.SEND_BODY

    async def _exchange(self) -> bool:
        received = await self._receive()
        if received is None:
            return False
        responder = Responder(self._conn, self._writer, self._closing)
        task = asyncio.ensure_future(self._handle(received, responder))
        watch = asyncio.create_task(self._watch())
        try:
            await asyncio.wait({task, watch}, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                raise CallerGoneError
            await task
        finally:
            watch.cancel()
            if not task.done():
                task.cancel()
            await asyncio.gather(task, watch, return_exceptions=True)
        self.busy = False
        done = responder.ended and self._conn.our_state is h11.DONE
        return done and self._conn.their_state is h11.DONE and not self._closing()

    async def _watch(self) -> None:
        """Returns when the caller has left."""
        while self._ahead < MAX_AHEAD_BYTES:
            try:
                data = await self._reader.read(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            self._ahead += len(data)
            self._conn.receive_data(data)
        await asyncio.Event().wait()

    async def _receive(self) -> Received | None:
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
        return Received(method, target, list(head.headers), bytes(body))

    async def _next_event(self, idle_s: float, rest_s: float) -> object:
        """Returns the next event of the request, or None at the end of the connection."""
        while True:
            event = self._conn.next_event()
            if event is not h11.NEED_DATA:
                return None if isinstance(event, h11.ConnectionClosed) else event
            try:
                async with asyncio.timeout(rest_s if self.busy else idle_s):
                    data = await self._reader.read(READ_BYTES)
            except TimeoutError:
                if self.busy:
                    raise h11.RemoteProtocolError(
                        "the request took too long", error_status_hint=_STATUS_TIMEOUT
                    ) from None
                return None
            if not data:
                return None
            self.busy = True
            self._conn.receive_data(data)

    async def _refuse(self, status: int) -> None:
        logs.logger("callers").warning("request_malformed", status=status)
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        data = self._conn.send(h11.Response(status_code=status, headers=headers))
        self._writer.write((data or b"") + (self._conn.send(h11.EndOfMessage()) or b""))
        # A caller that is gone needs no answer.
        with contextlib.suppress(OSError):
            await self._writer.drain()
