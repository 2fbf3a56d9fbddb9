"""HTTP/1.1 messages of the stand-ins, over asyncio streams."""

import asyncio
from typing import NamedTuple

MAX_HEAD_BYTES = 64 * 1024


class Message(NamedTuple):
    """A request or response.

    Attributes:
        line: First line, without its end.
        headers: Headers by lower-case name.
        body: Body, or the part of it that was received.
        complete: Whether the whole body was received.
        error: Why it is not complete; empty otherwise.
    """

    line: str
    headers: dict[str, str]
    body: bytes
    complete: bool
    error: str = ""

    @property
    def status(self) -> int:
        """Status of a response; 0 if there was none."""
        parts = self.line.split()
        return int(parts[1]) if len(parts) > 1 and parts[0].startswith("HTTP/") else 0


NOTHING = Message("", {}, b"", False)


def head(line: str, headers: list[tuple[str, str]]) -> bytes:
    """Returns an encoded head."""
    return "\r\n".join([line, *(f"{k}: {v}" for k, v in headers), "", ""]).encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Returns an encoded chunk; an empty one ends a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Reads a head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    line, *rest = data.decode("latin-1").strip().split("\r\n")
    pairs = (item.partition(":") for item in rest)
    return line, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Reads a request; None at the end of the connection."""
    found = await read_head(reader)
    if found is None:
        return None
    line, headers = found
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b"".join([part async for part in _chunks(reader)])
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(line, headers, body, True)


async def read_response(reader: asyncio.StreamReader) -> Message:
    """Reads a response to a request that is not HEAD; its status is 0 if there was none."""
    found = await read_head(reader)
    if found is None:
        return NOTHING._replace(error="the connection ended before a response")
    line, headers = found
    body = bytearray()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            async for part in _chunks(reader):
                body += part
        elif "content-length" in headers:
            missing = int(headers["content-length"])
            while missing:
                part = await reader.read(min(missing, 65536))
                if not part:
                    return Message(line, headers, bytes(body), False, "ended within its length")
                body += part
                missing -= len(part)
        else:
            while part := await reader.read(65536):
                body += part
    except (asyncio.IncompleteReadError, ValueError, OSError) as exc:
        return Message(line, headers, bytes(body), False, type(exc).__name__)
    return Message(line, headers, bytes(body), True)


async def _chunks(reader: asyncio.StreamReader):
    while size := int((await reader.readline()).split(b";")[0], 16):
        yield await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
