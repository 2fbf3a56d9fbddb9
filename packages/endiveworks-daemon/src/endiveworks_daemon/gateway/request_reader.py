"""Reads the requests of one caller's connection, as far as there is memory for them."""

import asyncio
import time
from collections.abc import Callable

import h11
from endiveworks.gateway.chunks import ChunkJoiner, MalformedChunkError
from endiveworks.gateway.memory_budget import PROGRESS_BYTES, Claim
from endiveworks.gateway.routes import Limits

from .held_memory import REQUEST_BYTES, Account, Item
from .parse_turns import MANY_LINES, ParseTurns
from .responder import RawRequest
from .sockets import KERNEL_BUFFER_BYTES, KERNEL_INPUT_BYTES, resize_input

READ_BYTES = 64 * 1024  # Size of one read from a connection.
# Size of one read if the process has a memory bound, and twice what is buffered unread.
BOUNDED_READ_BYTES = 16 * 1024
# Size of one read of a head.
HEAD_READ_BYTES = 4 * 1024
# More pipelined data stays in the kernel's buffer until the current request has its response.
MAX_PIPELINED_BYTES = 16 * 1024
MANY_HEADERS = 64  # Headers whose objects are part of REQUEST_BYTES.
# Objects of each further header, with those of the message to the replica.
HEADER_BYTES = 512
# Announced length of a body from which on the kernel may take in more of it.
LONG_BODY_BYTES = 2 * KERNEL_BUFFER_BYTES
# Size of a read that is only to detect a disconnect, while there is no memory for more.
_PROBE_BYTES = 1024
_STATUS_TIMEOUT = 408
_STATUS_TOO_LARGE = 413
_STATUS_HEADERS_TOO_LARGE = 431
_STATUS_UNAVAILABLE = 503


class RequestReader:
    """Reads requests from a caller.

    Args:
        reader: Stream from the caller.
        writer: Stream to the caller.
        conn: HTTP state of the connection.
        limits: Returns the limits in force.
        account: The memory that is held for the connection.
        turns: Turns of the connections whose input takes long to parse.

    Attributes:
        busy: Whether a request is being received or served.
        refused: Whether there was no memory for a request, whose body is still to come.
        waiting_since_s: Monotonic time since which the caller has sent nothing or too little of a
            request; None while its request is being served.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        conn: h11.Connection,
        limits: Callable[[], Limits],
        account: Account,
        turns: ParseTurns,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._conn = conn
        self._limits = limits
        self._account = account
        self._turns = turns
        self._joiner: ChunkJoiner | None = None
        self._pipelined_bytes = 0
        self._in_body = False
        self.busy = False
        self.refused = False
        self.waiting_since_s: float | None = time.monotonic()

    def record_input(self) -> None:
        """Brings the bytes that wait to be parsed up to date."""
        unparsed = len(getattr(self._reader, "_buffer", b""))
        self._account.set(Item.INPUT, self._pipelined_bytes + unparsed)

    def has_next(self) -> bool:
        """Returns whether bytes of the next request have arrived while one is being served."""
        return bool(self._conn.trailing_data[0])

    async def read_ahead(self) -> bool:
        """Reads pipelined requests; returns False if the caller disconnects, True if it must stop.

        Unless there is no room, disconnects are noticed only as long as this reads.
        """
        has_room = True
        while self._pipelined_bytes < MAX_PIPELINED_BYTES and has_room and not self.refused:
            has_room = self._account.has_room(Claim.BEHIND)
            try:
                data = await self._reader.read(HEAD_READ_BYTES if has_room else _PROBE_BYTES)
            except OSError:
                return False
            if not data:
                return False
            self._pipelined_bytes += len(data)
            self._account.set(Item.INPUT, self._pipelined_bytes)
            self._conn.receive_data(data)
        return True

    async def read_request(self) -> RawRequest | None:
        """Returns the next request, which may be refused; None at the end of the connection.

        Raises:
            h11.RemoteProtocolError: The request is malformed, too large or too slow.
        """
        limits = self._limits()
        head = await self._next_event(limits.idle_timeout_s, limits.header_timeout_s)
        if not isinstance(head, h11.Request):
            return None
        self.busy = True
        self.waiting_since_s = time.monotonic()
        self._pipelined_bytes = 0
        if sum(len(k) + len(v) for k, v in head.headers) > limits.max_header_bytes:
            raise h11.RemoteProtocolError(
                "headers are too large", error_status_hint=_STATUS_HEADERS_TOO_LARGE
            )
        length = min(_content_length(head), limits.max_body_bytes)
        size = REQUEST_BYTES + HEADER_BYTES * max(0, len(head.headers) - MANY_HEADERS) + length
        if not self._account.claim(Item.REQUEST, size, Claim.NEW):
            return self._refuse(head, size)
        if _is_chunked(head):
            self._joiner = ChunkJoiner(limits.max_header_bytes)
            await self._receive(self._take_unparsed())
        is_long = self._account.is_limited and length >= LONG_BODY_BYTES
        if is_long:
            resize_input(self._writer, KERNEL_BUFFER_BYTES)
        body = await self._read_body(length)
        if is_long:
            resize_input(self._writer, KERNEL_INPUT_BYTES)
        self.waiting_since_s = None
        if isinstance(body, int):
            return self._refuse(head, body)
        self._pipelined_bytes = len(self._conn.trailing_data[0])
        return _raw_request(head, body) if body is not None else None

    async def _read_body(self, length: int) -> bytes | int | None:
        """Reads the body of a request.

        Args:
            length: Bytes for which there is room.

        Returns:
            The body; the bytes for which there is no room; None at the end of the connection.
        """
        limits = self._limits()
        body = bytearray()
        self._in_body = True
        while True:
            if self._conn.they_are_waiting_for_100_continue:
                self._writer.write(
                    self._conn.send(h11.InformationalResponse(status_code=100, headers=[]))
                )
            event = await self._next_event(limits.idle_timeout_s, limits.idle_timeout_s)
            if isinstance(event, h11.EndOfMessage):
                self._in_body = False
                self._joiner = None
                return bytes(body)
            if not isinstance(event, h11.Data):
                return None
            if len(body) // PROGRESS_BYTES != (len(body) + len(event.data)) // PROGRESS_BYTES:
                self.waiting_since_s = time.monotonic()
            body += event.data
            if len(body) > limits.max_body_bytes:
                raise h11.RemoteProtocolError(
                    "body is too large", error_status_hint=_STATUS_TOO_LARGE
                )
            extra = max(0, len(body) - length)
            if extra and not self._account.claim(Item.REQUEST, extra, Claim.BEHIND):
                return extra
            length += extra

    def _refuse(self, head: h11.Request, size: int) -> RawRequest:
        """Returns the request without its body, to be answered with a refusal."""
        self.refused = True
        self.waiting_since_s = None
        return _raw_request(head, b"", self._account.retry_wait_s(size))

    async def _next_event(self, idle_timeout_s: float, read_timeout_s: float) -> object:
        """Returns the next event of the request, or None at the end of the connection.

        Args:
            idle_timeout_s: Time to wait for the first bytes of a request.
            read_timeout_s: Time to wait for more bytes of a request.
        """
        while True:
            event = await self._parse()
            if event is not h11.NEED_DATA:
                return None if isinstance(event, h11.ConnectionClosed) else event
            try:
                async with asyncio.timeout(read_timeout_s if self.busy else idle_timeout_s):
                    data = await self._reader.read(READ_BYTES if self._in_body else HEAD_READ_BYTES)
            except TimeoutError:
                if self.busy:
                    raise h11.RemoteProtocolError(
                        "timed out while the request was read", error_status_hint=_STATUS_TIMEOUT
                    ) from None
                return None
            if not data:
                return None
            if not self.busy:
                self.busy = True
                self.waiting_since_s = time.monotonic()
            if not self._in_body:
                self._receive_head(data)
            await self._receive(data)

    async def _receive(self, data: bytes) -> None:
        """Hands bytes to the parser, which takes none for the end of the connection."""
        if self._joiner is not None:
            data = await self._join_chunks(self._joiner, data)
        if data:
            self._conn.receive_data(data)

    def _take_unparsed(self) -> bytes:
        """Takes back what the parser has received and not parsed; it has no public way for this."""
        buffer = self._conn._receive_buffer
        return bytes(buffer.maybe_extract_at_most(len(buffer)) or b"")

    async def _parse(self) -> object:
        """Returns the next event of what has arrived; a head with many lines waits for a turn."""
        if not self._in_body and self._count_head_lines() > MANY_LINES:
            async with self._turns.turn():
                return self._conn.next_event()
        return self._conn.next_event()

    def _count_head_lines(self) -> int:
        """Returns the number of lines of a head that has arrived whole, else 0."""
        data = self._conn.trailing_data[0]
        end = data.find(b"\r\n\r\n")
        return data.count(b"\n", 0, end) if end >= 0 else 0

    async def _join_chunks(self, joiner: ChunkJoiner, data: bytes) -> bytes:
        try:
            if data.count(b"\n") <= MANY_LINES:
                return joiner.feed(data)
            async with self._turns.turn():
                return joiner.feed(data)
        except MalformedChunkError as exc:
            raise h11.RemoteProtocolError(str(exc)) from None

    def _receive_head(self, data: bytes) -> None:
        self._pipelined_bytes += len(data)
        if not self._account.claim(Item.INPUT, len(data), Claim.CONNECTION):
            raise h11.RemoteProtocolError(
                "there is no memory for the head", error_status_hint=_STATUS_UNAVAILABLE
            )


def _content_length(head: h11.Request) -> int:
    """Returns the length of a request's body in bytes; 0 if it isn't stated."""
    return next((int(value) for name, value in head.headers if name == b"content-length"), 0)


def _is_chunked(head: h11.Request) -> bool:
    return any(name == b"transfer-encoding" for name, _ in head.headers)


def _raw_request(head: h11.Request, body: bytes, refused_for_s: float | None = None) -> RawRequest:
    method, target = head.method.decode("ascii"), head.target.decode("latin-1")
    return RawRequest(method, target, list(head.headers), body, refused_for_s)
