"""Stand-in of a replica on the users' platform, which plays a script for each request."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Arrival(NamedTuple):
    """A request that arrived: its first line, headers in lower case, and body."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Id of the request."""
        return self.headers.get("request-id", "")


# Plays what the replica does with a request; returns whether the connection is kept.
Script = Callable[[Arrival, asyncio.StreamWriter], Awaitable[bool]]


class SiteReplica:
    """A replica that listens on a loopback port.

    Attributes:
        address: Where it listens, as "ip:port".
        script: What it does with requests; may be replaced at any time.
        arrivals: Requests that arrived.
        connections: Connections that were opened.
        left: Requests whose caller closed the connection before the script ended.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.arrivals: list[Arrival] = []
        self.connections = 0
        self.left: list[str] = []
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def stop(self) -> None:
        """Ends the server."""
        if self._server is not None:
            self._server.close()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while (arrival := await _read(reader)) is not None:
                self.arrivals.append(arrival)
                if not await self._play(arrival, reader, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass  # The caller has reset the connection, or the test has ended.
        finally:
            writer.close()

    async def _play(
        self, arrival: Arrival, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        playing = asyncio.ensure_future(self.script(arrival, writer))
        leaving = asyncio.create_task(_wait_for_end(reader))
        await asyncio.wait({playing, leaving}, return_when=asyncio.FIRST_COMPLETED)
        leaving.cancel()
        if not playing.done():
            playing.cancel()
            self.left.append(arrival.id)
            return False
        return playing.result()


def plain_answer(
    arrival: Arrival, body: bytes, status: str = "200 OK", more: Sequence[str] = ()
) -> bytes:
    """Returns the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {arrival.id}", f"Content-Length: {len(body)}"]
    signed = [f"Server-Signature: {SIGNATURE}"]
    return "\r\n".join([*lines, *signed, *more, "", ""]).encode() + body


def stream_head(arrival: Arrival) -> bytes:
    """Returns the head of a stream."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {arrival.id}",
        f"Server-Signature: {SIGNATURE}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def event(number: int, data: str) -> bytes:
    """Returns one event."""
    return f"id: {number}\ndata: {data}\n\n".encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection by a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def chunk(data: bytes) -> bytes:
    """Returns a chunk of a body; the empty one ends it."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def _read(reader: asyncio.StreamReader) -> Arrival | None:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    line, *rest = head.strip().split("\r\n")
    pairs = (item.partition(":") for item in rest)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Arrival(line, headers, body)


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(0.005)
