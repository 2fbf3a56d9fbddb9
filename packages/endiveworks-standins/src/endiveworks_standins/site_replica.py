"""Stand-in for a replica on the users' platform, which runs a script for each request."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Arrival(NamedTuple):
    """A received request: request line, headers by lower-case name, and body."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Id of the request; empty if it has none."""
        return self.headers.get("request-id", "")


# Handles a request; returns whether the connection is kept open.
Script = Callable[[Arrival, asyncio.StreamWriter], Awaitable[bool]]


class SiteReplica:
    """A replica that listens on a loopback port.

    Attributes:
        address: Address that it listens on, as "ip:port".
        script: Handler of the requests; can be replaced at any time.
        arrivals: Requests received so far.
        connections: Number of connections accepted so far.
        disconnected: Ids of requests whose caller closed the connection before the script ended.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.arrivals: list[Arrival] = []
        self.connections = 0
        self.disconnected: list[str] = []
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts the server, at the same address as before after a stop."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", port)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def stop(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while (arrival := await _read_request(reader)) is not None:
                self.arrivals.append(arrival)
                if not await self._run_script(arrival, reader, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass  # The caller has reset the connection, or the test has ended.
        finally:
            writer.close()

    async def _run_script(
        self, arrival: Arrival, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        script_task = asyncio.ensure_future(self.script(arrival, writer))
        disconnect_task = asyncio.create_task(_wait_for_disconnect(reader))
        await asyncio.wait({script_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED)
        disconnect_task.cancel()
        if not script_task.done():
            script_task.cancel()
            self.disconnected.append(arrival.id)
            return False
        return script_task.result()


def buffered_response(
    arrival: Arrival, body: bytes, status: str = "200 OK", more: Sequence[str] = ()
) -> bytes:
    """Returns an encoded response with its body; `more` are further header lines."""
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {arrival.id}", f"Content-Length: {len(body)}"]
    signature = [f"Server-Signature: {SIGNATURE}"]
    return "\r\n".join([*lines, *signature, *more, "", ""]).encode() + body


def stream_head(arrival: Arrival) -> bytes:
    """Returns the encoded head of a chunked event stream."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {arrival.id}",
        f"Server-Signature: {SIGNATURE}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def event(number: int, data: str) -> bytes:
    """Returns one encoded server-sent event."""
    return f"id: {number}\ndata: {data}\n\n".encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def chunk(data: bytes) -> bytes:
    """Returns an encoded chunk of a body; an empty chunk ends the body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def _read_request(reader: asyncio.StreamReader) -> Arrival | None:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    line, *rest = head.strip().split("\r\n")
    pairs = (item.partition(":") for item in rest)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Arrival(line, headers, body)


async def _wait_for_disconnect(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(0.005)
