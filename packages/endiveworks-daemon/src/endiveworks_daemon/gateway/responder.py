"""Writes the response to a caller's request."""

import asyncio
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import h11
from endiveworks.gateway.memory_budget import Claim, UnreadBytes
from endiveworks.gateway.messages import Headers

from .held_memory import Account, Item

# Size of the pieces in which a body is written.
PIECE_BYTES = 32 * 1024


class RawRequest(NamedTuple):
    """A complete request as it was received, before the dialect decodes it.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Headers as sent.
        body: Body; empty if the request is refused.
        refused_for_s: Time after which the caller may come back, if there is no memory for the
            request, whose body was not received; None if it is complete.
        caller: IP number of the caller; empty if it is not known.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    refused_for_s: float | None = None
    caller: str = ""


class CallerDisconnectedError(Exception):
    """Raised when the caller's connection ends before its response is complete."""


class Responder:
    """Writes the response to one request.

    Args:
        conn: HTTP state of the caller's connection.
        writer: Stream to the caller.
        closing: Returns whether the connection is to be closed after the response.
        account: The memory that is held for the connection.
        unread: The bytes that the caller has not read.

    Attributes:
        started: Whether the head has been written.
        ended: Whether the response has been written completely.
        account: The memory that is held for the connection.
        cut_reason: Why the connection is cut by this process; empty if it isn't.
    """

    def __init__(
        self,
        conn: h11.Connection,
        writer: asyncio.StreamWriter,
        closing: Callable[[], bool],
        account: Account,
        unread: UnreadBytes,
    ) -> None:
        self._conn = conn
        self._writer = writer
        self._closing = closing
        self._unread = unread
        self.account = account
        self.started = False
        self.ended = False
        self.cut_reason = ""

    async def respond(self, status: int, headers: Headers, body: bytes | bytearray) -> None:
        """Writes a complete response; its Content-Length is that of the body."""
        framed = [(k, v) for k, v in headers if k.lower() != b"content-length"]
        framed.append((b"content-length", str(len(body)).encode()))
        await self.start(status, framed)
        if body:
            await self.send(body)
        await self.end()

    async def start(self, status: int, headers: Headers) -> None:
        """Writes the head; without a Content-Length, the body is sent in chunks."""
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        self._write_event(h11.Response(status_code=status, headers=headers))
        self.started = True

    async def send(self, data: bytes | bytearray) -> None:
        """Writes a part of the body."""
        for piece in _pieces(data):
            if self.account.is_limited:
                claim = Claim.FLOWING if self._unread.since_s is None else Claim.BEHIND
                await self.account.wait_for_room(Item.OUTPUT, len(piece), claim)
            self._write_event(h11.Data(data=piece))
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
            if self.account.is_limited:
                self._unread.write(len(data), time.monotonic())

    async def _drain(self) -> None:
        try:
            await self._writer.drain()
        except OSError as exc:
            raise CallerDisconnectedError(self.cut_reason) from exc
        finally:
            record_unread(self._writer, self.account, self._unread)


def record_unread(writer: asyncio.StreamWriter, account: Account, unread: UnreadBytes) -> None:
    """Brings the bytes that a caller has not read up to date."""
    if not account.is_limited:
        return
    size = writer.transport.get_write_buffer_size()
    unread.read(size)
    account.set(Item.OUTPUT, size)


def _pieces(data: bytes | bytearray) -> Iterator[bytes]:
    if len(data) <= PIECE_BYTES:
        yield bytes(data)
        return
    view = memoryview(data)
    for start in range(0, len(data), PIECE_BYTES):
        yield bytes(view[start : start + PIECE_BYTES])
