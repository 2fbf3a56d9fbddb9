"""Stand-in for a caller on the users' platform, which opens one connection per request."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

HOSTNAME = "site.example"


class Response(NamedTuple):
    """Response to a caller.

    Attributes:
        status: HTTP status; 0 if the connection ended before a response.
        headers: Headers by lower-case name.
        body: Body, or the part of it that was received.
        complete: Whether the complete body was received.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


def write_request(
    writer: asyncio.StreamWriter, target: str, body: bytes, named: Mapping[str, str]
) -> None:
    """Writes a request; underscores in the keys of `named` become dashes in the header names."""
    framing = {"Content-Length": str(len(body))} if body else {}
    writer.write(_head("POST" if body else "GET", target, named, framing) + body)


def write_chunked_request(
    writer: asyncio.StreamWriter,
    target: str,
    body: bytes,
    chunk_bytes: int,
    named: Mapping[str, str],
) -> None:
    """Writes a request whose body is in chunks of a size."""
    writer.write(_head("POST", target, named, {"Transfer-Encoding": "chunked"}))
    pieces = (body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes))
    writer.write(b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces))
    writer.write(b"0\r\n\r\n")


def _head(method: str, target: str, named: Mapping[str, str], framing: Mapping[str, str]) -> bytes:
    pairs = {"Host": HOSTNAME, "Request-Id": "r1", "Deadline-Ms": "3000"}
    pairs |= {name.replace("_", "-"): value for name, value in named.items()} | dict(framing)
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in pairs.items()), "", ""]
    return "\r\n".join(lines).encode()


async def read_response(
    reader: asyncio.StreamReader, body_timeout_s: float | None = None
) -> Response:
    """Reads one response; its status is 0 if the connection ended before one.

    Args:
        reader: The connection.
        body_timeout_s: Time after which the rest of the body is not read; None for no limit.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return Response(0, {}, b"", False)
    line, *rest = head.strip().split("\r\n")
    pairs = (item.partition(":") for item in rest)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    status = int(line.split()[1])
    body = b""
    try:
        async with asyncio.timeout(body_timeout_s):
            if "transfer-encoding" not in headers:
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                return Response(status, headers, body, True)
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
            return Response(status, headers, body, True)
    except (asyncio.IncompleteReadError, ValueError, OSError):
        return Response(status, headers, body, False)
