"""HTTP connections of callers: reads requests, writes responses and detects disconnects."""

import asyncio
import contextlib
import math
import time
from collections.abc import Awaitable, Callable

import h11
from endiveworks.gateway.memory_budget import CUT_AFTER_S, STALLED_S, UnreadBytes
from endiveworks.gateway.routes import Limits
from endiveworks.telemetry import logs

from .held_memory import Account, HeldMemory
from .parse_turns import ParseTurns
from .request_reader import BOUNDED_READ_BYTES, RequestReader
from .request_reader import READ_BYTES as READ_BYTES
from .responder import PIECE_BYTES, record_unread
from .responder import CallerDisconnectedError as CallerDisconnectedError
from .responder import RawRequest as RawRequest
from .responder import Responder as Responder
from .sockets import enable_keepalive, limit_output, reset_on_close

# Time for which the body of a refused request is read and dropped, so that its caller gets to read
# the refusal: a connection that closes with unread bytes is reset.
DISCARD_S = 1.0
_CUT_REASON = "the caller left bytes unread while memory was short"
_STATUS_TIMEOUT = 408


RequestHandler = Callable[[RawRequest, Responder], Awaitable[None]]


class _CutError(OSError):
    """Ends reading from a connection that is cut off."""


class CallerConnection:
    """One connection of a caller.

    Args:
        reader: Stream from the caller.
        writer: Stream to the caller.
        handle: Serves one request; is cancelled when the caller disconnects.
        limits: Returns the limits in force.
        closing: Returns whether the process is shutting down, so that connections are closed after
            their current response.
        memory: The memory that is held for all callers; None for no bound.
        turns: Turns of the connections whose input takes long to parse.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handle: RequestHandler,
        limits: Callable[[], Limits],
        closing: Callable[[], bool],
        memory: HeldMemory | None = None,
        turns: ParseTurns | None = None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handle = handle
        self._closing = closing
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().max_header_bytes + READ_BYTES
        )
        self._unread = UnreadBytes()
        self._cut = asyncio.Event()
        self._is_closing = False
        self._responder: Responder | None = None
        self._account = (memory or HeldMemory()).open(
            self._cut_off, self._measure, self._sending_since_s
        )
        self._requests = RequestReader(
            reader, writer, self._conn, limits, self._account, turns or ParseTurns()
        )

    @property
    def busy(self) -> bool:
        """Returns whether a request is being received or served."""
        return self._requests.busy

    @property
    def waiting_since_s(self) -> float | None:
        """Returns since when the caller has owed progress; None while its request is served."""
        if self._is_closing:
            return -math.inf  # Gives way to any other connection.
        since_s = self._unread.since_s
        return since_s if since_s is not None else self._requests.waiting_since_s

    def may_be_evicted(self, now_s: float) -> bool:
        """Returns whether the connection may be closed for a new one."""
        since_s = self.waiting_since_s
        if since_s is None:
            return False
        if self._unread.since_s is not None:
            return now_s - since_s >= CUT_AFTER_S
        return not self.busy or now_s - since_s >= STALLED_S

    def _sending_since_s(self) -> float | None:
        return None if self._unread.since_s is not None else self._requests.waiting_since_s

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        if not self._account.is_admitted:
            self._writer.transport.abort()
            return
        enable_keepalive(self._writer)
        if self._account.is_limited:
            self._writer.transport.max_size = BOUNDED_READ_BYTES  # type: ignore[attr-defined]
            limit_output(self._writer, PIECE_BYTES)
        try:
            status = await self._serve_requests()
            if status is not None:
                await self._send_error(status)
        finally:
            self._requests.busy = False
            self._requests.waiting_since_s = None
            self._is_closing = True
            await self._close()
            self._account.close()

    async def _serve_requests(self) -> int | None:
        """Serves requests; returns the status with which a malformed one is answered."""
        try:
            while await self._serve_request():
                self._conn.start_next_cycle()
                self._requests.waiting_since_s = time.monotonic()
        except _CutError as exc:
            # The reader keeps the exception, whose traceback would keep the body.
            exc.__traceback__ = None
            return _STATUS_TIMEOUT if self.busy else None
        except (OSError, CallerDisconnectedError):
            pass  # The caller disconnected; its request has been cancelled.
        except h11.RemoteProtocolError as exc:
            return exc.error_status_hint
        return None

    def refuse(self) -> None:
        """Closes a connection for which there is no place."""
        self._account.close()
        self._writer.transport.abort()

    def evict(self) -> None:
        """Closes the connection at once."""
        self._cut.set()
        if self._unread.since_s is not None:
            # A connection that is reset can't look like the end of a complete response.
            reset_on_close(self._writer)
        self._writer.transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is being received or served on it."""
        if not self.busy:
            self._writer.close()

    def stop_receiving(self) -> None:
        """Answers a request that is still being received, so that it may be sent elsewhere."""
        if self.busy and self._requests.waiting_since_s is not None and not self._cut.is_set():
            self._cut.set()
            self._requests.refused = True
            self._reader.set_exception(_CutError())

    def _cut_off(self) -> str:
        """Ends the connection, so that what is held for it is released; returns what it was."""
        if self._cut.is_set():
            return ""
        self._cut.set()
        if self._responder is not None:
            self._responder.cut_reason = _CUT_REASON
        self._reader.set_exception(_CutError())
        if self._unread.since_s is not None:
            # A connection that is reset can't look like the end of a complete response.
            reset_on_close(self._writer)
            self._writer.transport.abort()
            return "reader"
        return "sender" if self.busy else "idle"

    def _measure(self, account: Account) -> float | None:
        """Brings the account up to date; returns since when the caller has owed progress."""
        record_unread(self._writer, account, self._unread)
        self._requests.record_input()
        since_s = self._unread.since_s
        return since_s if since_s is not None else self._requests.waiting_since_s

    async def _close(self) -> None:
        if self._ended_early():
            # Without chunks, the end of the connection would be that of a complete body.
            if self._cut.is_set() or self._conn.their_http_version == b"1.0":
                reset_on_close(self._writer)
            self._writer.transport.abort()
            return
        if self._requests.refused:
            await self._discard_input()
        self._writer.close()
        if self._account.is_limited:
            self._account.end_request()
        # What the caller has not read yet is still held, and a stopping process waits for it.
        if self._account.is_limited or self._writer.transport.get_write_buffer_size():
            with contextlib.suppress(OSError):
                await self._writer.wait_closed()

    async def _discard_input(self) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            self._writer.write_eof()
            async with asyncio.timeout(DISCARD_S):
                while await self._reader.read(READ_BYTES):
                    pass

    def _ended_early(self) -> bool:
        # Aborting the connection within a body lets the caller see that the response is incomplete.
        return self._conn.our_state is h11.SEND_BODY

    async def _serve_request(self) -> bool:
        received = await self._requests.read_request()
        if received is None:
            return False
        peer = self._writer.get_extra_info("peername")
        received = received._replace(caller=str(peer[0]) if peer else "")
        responder = Responder(
            self._conn,
            self._writer,
            lambda: self._requests.refused or self._closes_next(),
            self._account,
            self._unread,
        )
        self._responder = responder
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
            # An exception of the task refers to this frame, and so to all that the request held.
            del task, disconnect
            self._responder = None
            self._account.end_request()
        self._requests.busy = False
        complete = responder.ended and self._conn.our_state is h11.DONE
        return complete and self._conn.their_state is h11.DONE and not self._closes_next()

    def _closes_next(self) -> bool:
        """Returns whether the connection closes after the current response.

        A request that has arrived behind it is answered first: its caller can't tell whether it
        was read.
        """
        return self._closing() and not self._requests.has_next()

    async def _wait_for_disconnect(self) -> None:
        """Returns when the caller has disconnected; buffers pipelined requests until then."""
        if await self._requests.read_ahead():
            await self._cut.wait()

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
