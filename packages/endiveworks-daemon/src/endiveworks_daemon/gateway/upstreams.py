"""Connections to replicas: one request at a time on each, and which may be used again."""

import asyncio
import time
from collections.abc import Callable, Sequence

import h11
from endiveworks.gateway.messages import AnswerHead, Headers

from .callers import READ_BYTES
from .sockets import connect

# Replicas close idle connections at a time that they may not state.
UNSTATED_IDLE_S = 2.0
# Time by which a connection is given up before its replica does so, against crossing closes.
IDLE_MARGIN_S = 0.5
# A request that may not be repeated only goes on a connection that was in use so lately.
FRESH_IDLE_S = 0.3
# Answers to earlier requests that are dropped before the connection is given up.
MAX_LATE_ANSWERS = 4
MAX_ANSWER_BYTES = 64 * 1024 * 1024  # Longer answers would not fit into the memory of a machine.

ReadHead = Callable[[int, Sequence[tuple[bytes, bytes]]], AnswerHead]


class AnswerError(Exception):
    """Raised when a replica's bytes are no whole answer to the request."""


class Sent:
    """How far a request got; not_sent is certain knowledge that no replica read any of it."""

    def __init__(self) -> None:
        self.not_sent = True


class UpstreamConnection:
    """One connection to a replica."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(h11.CLIENT)
        self._request: tuple[h11.Request, bytes] | None = None
        self._framed = False
        self._idle_s = UNSTATED_IDLE_S
        self._used_s = time.monotonic()

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Writes a request; the answer may come before its body has left."""
        framed = headers
        if body or method not in ("GET", "HEAD", "DELETE"):
            framed = [*headers, (b"content-length", str(len(body)).encode())]
        request = h11.Request(method=method, target=target, headers=framed)
        self._request = (request, body)
        self._writer.write(self._encode(request, body))

    async def head(self, read_head: ReadHead, request_id: str) -> AnswerHead:
        """Reads the head of the answer to the request; drops late answers to others.

        Raises:
            OSError: The connection was lost.
            AnswerError: The bytes are no answer, or one to another request.
        """
        for _ in range(MAX_LATE_ANSWERS):
            event = await self._event()
            if not isinstance(event, h11.Response):
                raise AnswerError("the connection ended before an answer")
            found = read_head(event.status_code, list(event.headers))
            if found.request_id in ("", request_id):
                self._note_framing(event, found)
                return found
            while await self.data() is not None:
                pass
            self._expect_another()
        raise AnswerError("only answers to other requests came")

    async def data(self) -> bytes | None:
        """Reads a piece of the answer's body; None at its proper end.

        Raises:
            OSError: The connection was lost, so that a body without a length is not whole.
            AnswerError: The body is cut.
        """
        event = await self._event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AnswerError("the answer is cut")

    async def body(self) -> bytes:
        """Reads the whole body; raises like data."""
        whole = bytearray()
        while (piece := await self.data()) is not None:
            whole += piece
            if len(whole) > MAX_ANSWER_BYTES:
                raise AnswerError("the answer is too long")
        return bytes(whole)

    def is_reusable(self) -> bool:
        """Tells whether the exchange ended so that another request may follow."""
        conn = self._conn
        return (
            self._framed
            and conn.our_state is h11.DONE
            and conn.their_state is h11.DONE
            and not conn.trailing_data[0]
            and not self._writer.transport.get_write_buffer_size()
            and not self._reader.at_eof()
        )

    def rest(self) -> None:
        """Makes a reusable connection ready for the next request."""
        self._conn.start_next_cycle()
        self._used_s = time.monotonic()

    def is_alive(self, only_fresh: bool) -> bool:
        """Tells whether an idle connection may take a request.

        Args:
            only_fresh: Whether the request may not be repeated if the connection turns out dead.
        """
        idle_s = time.monotonic() - self._used_s
        longest_s = min(self._idle_s, FRESH_IDLE_S) if only_fresh else self._idle_s
        # Bytes that wait here already are a late answer, which belongs to no request.
        waiting = bool(getattr(self._reader, "_buffer", b""))
        closing = self._writer.is_closing() or self._reader.at_eof()
        return idle_s < longest_s and not waiting and not closing

    def is_expired(self) -> bool:
        """Tells whether an idle connection is of no more use to any request."""
        return not self.is_alive(only_fresh=False)

    def close(self) -> None:
        """Ends the connection at once, which ends the replica's work on a request."""
        self._writer.transport.abort()

    def _encode(self, request: h11.Request, body: bytes) -> bytes:
        data = self._conn.send(request) or b""
        if body:
            data += self._conn.send(h11.Data(data=body)) or b""
        return data + (self._conn.send(h11.EndOfMessage()) or b"")

    def _note_framing(self, event: h11.Response, found: AnswerHead) -> None:
        names = {name for name, _ in event.headers}
        self._framed = b"content-length" in names or b"transfer-encoding" in names
        if found.idle_s is not None:
            self._idle_s = max(0.0, found.idle_s - IDLE_MARGIN_S)

    def _expect_another(self) -> None:
        """Starts over with the bytes after an answer that belonged to an earlier request."""
        rest = self._conn.trailing_data[0]
        self._conn = h11.Connection(h11.CLIENT)
        if self._request is not None:
            self._encode(*self._request)
        if rest:
            self._conn.receive_data(rest)

    async def _event(self) -> object:
        try:
            while True:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    self._conn.receive_data(await self._reader.read(READ_BYTES))
                elif not isinstance(event, h11.InformationalResponse):
                    return event
        except h11.RemoteProtocolError as exc:
            raise AnswerError(str(exc)) from exc


class ConnectionPool:
    """Idle connections to replicas, by replica."""

    def __init__(self) -> None:
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    async def take(self, replica: str, address: str, only_fresh: bool) -> UpstreamConnection:
        """Returns a connection to a replica; raises OSError when it can't be reached."""
        idle = self._idle.get(replica, [])
        while idle:
            conn = idle.pop()
            if conn.is_alive(only_fresh):
                return conn
            if conn.is_expired():
                conn.close()
                continue
            idle.append(conn)
            break
        self.opened += 1
        return UpstreamConnection(*await connect(address))

    def give(self, replica: str, conn: UpstreamConnection) -> None:
        """Takes a connection back after an exchange; closes it unless it may be used again."""
        if conn.is_reusable():
            conn.rest()
            self._idle.setdefault(replica, []).append(conn)
        else:
            conn.close()

    def sweep(self, replicas: frozenset[str]) -> None:
        """Closes connections that are too old, or lead to replicas that are gone."""
        for replica in list(self._idle):
            kept = []
            for conn in self._idle[replica]:
                if replica in replicas and not conn.is_expired():
                    kept.append(conn)
                else:
                    conn.close()
            if kept:
                self._idle[replica] = kept
            else:
                del self._idle[replica]
