"""HTTP/1.1 messages on asyncio streams, as far as the pages need them."""

import asyncio
import socket
import struct
from collections.abc import Mapping
from typing import NamedTuple

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        start: Request line or status line.
        headers: Headers by lower-case name.
        body: Body, or the part of it that was received.
        complete: Whether the whole body was received.
    """

    start: str
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response; 0 if the connection ended before one."""
        return int(self.start.split()[1]) if self.start else 0

    @property
    def id(self) -> str:
        """Id of the request."""
        return self.headers.get("request-id", "")


NOTHING = Message("", {}, b"", False)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns a message without its body; None if the connection ends before it."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    start, *rest = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in rest)
    return Message(start, {name.strip().lower(): text.strip() for name, _, text in pairs}, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns a message with its body; None if the connection ends before its head."""
    head = await read_head(reader)
    if head is None:
        return None
    body = bytearray()
    try:
        if head.headers.get("transfer-encoding", "") != "chunked":
            body += await reader.readexactly(int(head.headers.get("content-length", 0)))
            return head._replace(body=bytes(body))
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return head._replace(body=bytes(body))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return head._replace(body=bytes(body), complete=False)


def response(status: str, body: bytes, headers: Mapping[str, str]) -> bytes:
    """Returns an encoded response with a length."""
    lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Returns an encoded request."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def stream_head(request_id: str) -> bytes:
    """Returns the encoded head of an event stream in chunks."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {request_id}",
        f"Server-Signature: {SIGNATURE}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Returns an encoded chunk; an empty one ends the body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int, data: str) -> bytes:
    """Returns one encoded event of a stream."""
    return f"id: {number}\ndata: {data}\n\n".encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def call(
    address: str, data: bytes, timeout_s: float, connect_s: float = 1.0
) -> tuple[Message, float]:
    """Sends a request on a new connection; returns the response and the seconds that it took."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(connect_s):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            found = await read_message(reader)
        return found or NOTHING, loop.time() - started_s
    except (OSError, TimeoutError):
        return NOTHING, loop.time() - started_s
    finally:
        if writer is not None:
            writer.close()
