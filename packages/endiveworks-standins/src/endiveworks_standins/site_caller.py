"""Stand-in of a caller on the users' platform: one request on a connection of its own."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

HOSTNAME = "site.example"


class Reply(NamedTuple):
    """What a caller got: status, headers in lower case, body, and whether that was whole."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def write_request(
    writer: asyncio.StreamWriter, target: str, body: bytes, named: Mapping[str, str]
) -> None:
    """Writes a request; underscores in names of headers stand for dashes."""
    pairs = {"Host": HOSTNAME, "Request-Id": "r1", "Deadline-Ms": "3000"}
    pairs |= {name.replace("_", "-"): value for name, value in named.items()}
    method = "POST" if body else "GET"
    if body:
        pairs["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in pairs.items()), "", ""]
    writer.write("\r\n".join(lines).encode() + body)


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Reads one answer; status 0 stands for a connection that ended before one."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return Reply(0, {}, b"", False)
    line, *rest = head.strip().split("\r\n")
    pairs = (item.partition(":") for item in rest)
    found = {name.strip().lower(): value.strip() for name, _, value in pairs}
    status = int(line.split()[1])
    body = b""
    try:
        if "transfer-encoding" not in found:
            body = await reader.readexactly(int(found.get("content-length", 0)))
            return Reply(status, found, body, True)
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return Reply(status, found, body, True)
    except (asyncio.IncompleteReadError, ValueError, OSError):
        return Reply(status, found, body, False)
