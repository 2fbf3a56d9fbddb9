"""HTTP connections to replicas, one request at a time on each, and a pool for their reuse."""

import asyncio
import contextlib
import math
import time
from collections import deque
from collections.abc import Callable, Sequence

import h11
from endiveworks.gateway.messages import Headers, ResponseHead
from endiveworks.telemetry.unquoted import unquoted

from .callers import READ_BYTES
from .skipped_responses import SkippedResponses
from .sockets import connect, limit_buffers

# Idle timeout assumed for replicas that don't state when they close idle connections.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# Idle connections are closed this long before the replica would do so, so that no request is sent
# while the replica closes the connection.
IDLE_MARGIN_S = 0.5
# A request that must not be repeated reuses a connection only if it was idle for less than this.
FRESH_IDLE_S = 0.3
# Number of responses to other requests after which the connection is given up.
MAX_LATE_RESPONSES = 4
# Number of earlier requests on a connection whose ids are remembered.
MAX_EARLIER_IDS = 32
# Interim responses (1xx) after which a response is given up.
MAX_INTERIM_RESPONSES = 32
# Bytes that are read of a body that isn't needed, so that its connection can be reused.
DISCARD_BYTES = 64 * 1024
# Time for which such a body is read. A sound replica sends it with the head.
DISCARD_TIMEOUT_S = 0.1
# Size of the pieces in which a body is sent if the process has a memory bound.
PIECE_BYTES = 64 * 1024
# Bytes that are taken in of a response in one go, and while nothing is read, in such a process.
BOUNDED_READ_BYTES = 16 * 1024
# A connection is cut if the replica takes in no piece of a request within this time. A sound one
# takes it in within milliseconds, also across regions.
WRITE_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # Longer responses would not fit into a machine's memory.

LAST_STATUS = 599  # Higher ones are not defined; the parser accepts them.

# Statuses of responses that have no body.
_NO_BODY = (204, 304)

ParseHead = Callable[[int, Sequence[tuple[bytes, bytes]]], ResponseHead]
OnSkipped = Callable[[str, ResponseHead], None]


class ResponseError(Exception):
    """Raised when a replica's response is malformed, incomplete or not acceptable."""


class SendState:
    """Progress of sending a request; not_sent means that certainly no replica read any of it."""

    def __init__(self) -> None:
        self.not_sent = True


class UpstreamConnection:
    """One connection to a replica.

    Args:
        reader: Stream from the replica.
        writer: Stream to the replica.
        in_pieces: Whether long bodies are sent in pieces, as the replica takes them in.
        on_skipped: Called with the id of the pending request and the head of a response to another
            request.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        in_pieces: bool = False,
        on_skipped: OnSkipped | None = None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(h11.CLIENT)
        self._request: tuple[h11.Request, bytes] | None = None
        self._request_id = ""
        self._interim_responses = 0
        self._earlier_ids: deque[int] = deque(maxlen=MAX_EARLIER_IDS)
        # Whether nothing can precede the response, which may then lack the request's id.
        self._is_first = True
        self._has_framing = False
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._last_used_s = time.monotonic()
        self._in_pieces = in_pieces
        self._on_skipped = on_skipped
        self._sending: asyncio.Task[None] | None = None
        self._is_stalled = False
        self._is_closed = False
        if in_pieces:
            limit_buffers(writer, BOUNDED_READ_BYTES)

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Writes a request; the response may arrive before the body has been sent completely."""
        framed = headers
        if body or method not in ("GET", "HEAD", "DELETE"):
            framed = [*headers, (b"content-length", str(len(body)).encode())]
        request = h11.Request(method=method, target=target, headers=framed)
        self._request = (request, body)
        self._interim_responses = 0
        parts = self._encode(request, body)
        if self._in_pieces and len(body) > PIECE_BYTES:
            self._sending = asyncio.create_task(self._send_pieces(parts))
        else:
            self._writer.write(b"".join(parts))

    async def read_head(self, parse_head: ParseHead, request_id: str) -> ResponseHead:
        """Reads the head of the response to a request; skips responses to other requests.

        Raises:
            OSError: The connection was lost.
            ResponseError: The response is malformed, or belongs to another request.
        """
        self._request_id = request_id
        for _ in range(MAX_LATE_RESPONSES):
            event = await self._next_event()
            if not isinstance(event, h11.Response):
                raise ResponseError("the connection ended before a response")
            if event.status_code > LAST_STATUS:
                raise ResponseError("the response has a status that is not defined")
            head = parse_head(event.status_code, list(event.headers))
            self._record_framing(event)
            if head.request_id == request_id if head.request_id else self._is_first:
                self._record_idle_timeout(head)
                return head
            if self._on_skipped is not None:
                self._on_skipped(request_id, head)
            if not self._has_framing and head.status not in _NO_BODY:
                raise ResponseError("the end of a response to another request is unknown")
            await self.skip_body()
            self._skip_late_response()
        raise ResponseError("only responses to other requests were received")

    async def read_data(self) -> bytes | None:
        """Reads a chunk of the response body; None at the end of a complete body.

        Raises:
            OSError: The connection was lost, so a body without a length may be incomplete.
            ResponseError: The body is truncated.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ResponseError("the response is truncated")

    async def skip_body(self) -> None:
        """Reads the whole body and drops it; raises the errors of read_data."""
        size = 0
        while (chunk := await self.read_data()) is not None:
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise ResponseError("the response body is too long")

    async def discard_body(self) -> bool:
        """Drops a body that isn't needed; returns whether it ended soon.

        Raises:
            OSError: The connection was lost.
            ResponseError: The body is truncated.
        """
        size = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while size <= DISCARD_BYTES:
                    chunk = await self.read_data()
                    if chunk is None:
                        return True
                    size += len(chunk)
        return False

    def is_reusable(self) -> bool:
        """Tells whether the exchange is complete on both sides, so that another one may follow."""
        conn = self._conn
        return (
            self._has_framing
            and conn.our_state is h11.DONE
            and conn.their_state is h11.DONE
            and not conn.trailing_data[0]
            and (self._sending is None or self._sending.done())
            and not self._writer.transport.get_write_buffer_size()
            and not self._reader.at_eof()
        )

    def mark_idle(self) -> None:
        """Prepares a reusable connection for the next request, and starts its idle time."""
        self._conn.start_next_cycle()
        self._request = None  # Its body would stay in memory.
        self._earlier_ids.append(hash(self._request_id))
        self._is_first = False
        self._last_used_s = time.monotonic()

    def is_usable(self, only_fresh: bool) -> bool:
        """Tells whether an idle connection may take a request.

        Args:
            only_fresh: Whether the connection must have been used within FRESH_IDLE_S, because the
                request can't be repeated if the replica has just closed the connection.
        """
        idle_s = time.monotonic() - self._last_used_s
        max_idle_s = min(self._idle_timeout_s, FRESH_IDLE_S) if only_fresh else self._idle_timeout_s
        # Bytes that are already buffered are a late response, which belongs to no pending request.
        has_unread = bool(getattr(self._reader, "_buffer", b""))
        closing = self._writer.is_closing() or self._reader.at_eof()
        return idle_s < max_idle_s and not has_unread and not closing

    def identifies(self, request_id: str) -> bool:
        """Tells whether the id tells the response to a new request from those to earlier ones."""
        return self._is_first or (bool(request_id) and hash(request_id) not in self._earlier_ids)

    def is_expired(self) -> bool:
        """Tells whether an idle connection is no longer usable for any request."""
        return not self.is_usable(only_fresh=False)

    def close(self) -> None:
        """Aborts the connection, so that the replica stops working on the request.

        A response that is still being read is incomplete then.
        """
        self._is_closed = True
        if self._sending is not None:
            self._sending.cancel()
        self._writer.transport.abort()

    def _encode(self, request: h11.Request, body: bytes) -> list[bytes]:
        events = [request, *([h11.Data(data=body)] if body else []), h11.EndOfMessage()]
        return [
            part for event in events for part in self._conn.send_with_data_passthrough(event) or []
        ]

    async def _send_pieces(self, parts: Sequence[bytes]) -> None:
        """Sends a request as the replica takes it in; cuts the connection if it doesn't."""
        try:
            for part in parts:
                view = memoryview(part)
                for start in range(0, len(part), PIECE_BYTES):
                    self._writer.write(view[start : start + PIECE_BYTES])
                    async with asyncio.timeout(WRITE_TIMEOUT_S):
                        await self._writer.drain()
        except TimeoutError:
            self._is_stalled = True
            self._writer.transport.abort()
        except OSError:
            pass  # The connection was lost, which the reader of the response notices.

    def _record_framing(self, event: h11.Response) -> None:
        names = {name for name, _ in event.headers}
        self._has_framing = b"content-length" in names or b"transfer-encoding" in names

    def _record_idle_timeout(self, head: ResponseHead) -> None:
        if head.idle_timeout_s is not None:
            self._idle_timeout_s = max(0.0, head.idle_timeout_s - IDLE_MARGIN_S)

    def _skip_late_response(self) -> None:
        """Resets the parser to the bytes after a response to another request."""
        rest = self._conn.trailing_data[0]
        self._is_first = False
        self._conn = h11.Connection(h11.CLIENT)
        if self._request is not None:
            self._encode(*self._request)
        if rest:
            self._conn.receive_data(rest)

    async def _receive(self) -> bytes:
        """Returns bytes from the replica, none at the end that it gave the connection."""
        data = await self._reader.read(READ_BYTES)
        if self._is_stalled:
            raise ResponseError("the replica did not read the request")
        # The reader shows the end of an aborted connection in the same way.
        if self._is_closed:
            raise ResponseError("the connection was closed by this process")
        return data

    def _count_interim_response(self) -> None:
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise ResponseError("too many interim responses were received")

    async def _next_event(self) -> object:
        try:
            while True:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    self._conn.receive_data(await self._receive())
                elif not isinstance(event, h11.InformationalResponse):
                    return event
                else:
                    self._count_interim_response()
        except h11.RemoteProtocolError as exc:
            raise ResponseError(unquoted(exc)) from exc


class ConnectionPool:
    """Pool of idle connections to replicas, by replica id.

    Args:
        in_pieces: Whether long bodies are sent in pieces, as the replicas take them in.
        max_idle: Most idle connections that are kept.
    """

    def __init__(self, in_pieces: bool = False, max_idle: float = math.inf) -> None:
        self._in_pieces = in_pieces
        self._max_idle = max_idle
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._skipped = SkippedResponses()
        self.opened = 0

    async def acquire(
        self, replica: str, address: str, only_fresh: bool, request_id: str = ""
    ) -> UpstreamConnection:
        """Returns a connection for a request, an idle one if possible.

        Args:
            replica: Id of the replica.
            address: Its address.
            only_fresh: Whether the request can't be repeated, see UpstreamConnection.is_usable.
            request_id: Id of the request; empty for none.

        Raises:
            OSError: The replica is unreachable.
        """
        idle = self._idle.get(replica, [])
        while idle:
            conn = idle.pop()
            if conn.is_usable(only_fresh) and conn.identifies(request_id):
                return conn
            if conn.is_expired():
                conn.close()
                continue
            idle.append(conn)
            break
        self.opened += 1
        if self._in_pieces:
            reader, writer = await connect(address, read_bytes=BOUNDED_READ_BYTES // 2)
        else:
            reader, writer = await connect(address)

        def on_skipped(pending_id: str, head: ResponseHead) -> None:
            self._skipped.record(pending_id, replica, head)

        return UpstreamConnection(reader, writer, self._in_pieces, on_skipped)

    def release(self, replica: str, conn: UpstreamConnection) -> None:
        """Returns a connection to the pool after an exchange; closes it if it isn't reusable."""
        if not conn.is_reusable():
            conn.close()
            return
        conn.mark_idle()
        idle = self._idle.setdefault(replica, [])
        idle.append(conn)
        if sum(map(len, self._idle.values())) > self._max_idle:
            idle.pop(0).close()

    def close_expired(self, replicas: frozenset[str]) -> None:
        """Closes idle connections that have expired or whose replica is gone."""
        for replica in list(self._idle):
            usable = []
            for conn in self._idle[replica]:
                if replica in replicas and not conn.is_expired():
                    usable.append(conn)
                else:
                    conn.close()
            if usable:
                self._idle[replica] = usable
            else:
                del self._idle[replica]
