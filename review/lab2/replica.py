"""Stand-in for a replica: a sound one, unless its script says otherwise."""

import asyncio
import hashlib
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from . import http

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Run(NamedTuple):
    """A request that a replica ran."""

    at_s: float
    replica: str
    request: str
    line: str
    headers: dict[str, str]
    body_bytes: int
    body_hash: str


# Runs one request on a connection; returns whether the connection stays open.
Script = Callable[["Replica", http.Message, asyncio.StreamWriter], Awaitable[bool]]


class Replica:
    """A replica that listens on a loopback port.

    Attributes:
        name: Its id.
        address: Where it listens, as "ip:port".
        runs: The requests that it ran.
        keeps_bodies: Whether the bodies of the requests are kept in `bodies`.
        state: State that it reports.
        extra_headers: Headers that all its answers have.
    """

    def __init__(self, name: str, service: str, slots: int, script: Script) -> None:
        self.name, self.service, self.slots = name, service, slots
        self.script = script
        self.address = ""
        self.runs: list[Run] = []
        self.bodies: dict[str, bytes] = {}
        self.keeps_bodies = False
        self.state = "ready"
        self.extra_headers: list[tuple[str, str]] = []
        self.born_ms = int(time.time() * 1000)
        self._places = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Begins to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0, limit=http.MAX_HEAD_BYTES)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def stop(self) -> None:
        """Ends it."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await http.read_request(reader)) is not None:
                if not await self._run(request, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass  # The peer has left, or the script ends.
        finally:
            writer.close()

    async def _run(self, request: http.Message, writer: asyncio.StreamWriter) -> bool:
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            headers = [("Instance-Id", self.name), ("Content-Length", "0")]
            writer.write(http.head("HTTP/1.1 421 Misdirected Request", headers))
            return True
        async with self._places:
            self._record(request)
            return await self.script(self, request, writer)

    def _record(self, request: http.Message) -> None:
        name = request.headers.get("request-id", "")
        digest = hashlib.sha256(request.body).hexdigest()[:16]
        self.runs.append(
            Run(
                time.monotonic(),
                self.name,
                name,
                request.line,
                request.headers,
                len(request.body),
                digest,
            )
        )
        if self.keeps_bodies:
            self.bodies[name] = request.body

    def answer_head(self, request: http.Message, line: str, more: list[tuple[str, str]]) -> bytes:
        """Returns the head of an answer of this replica."""
        headers = [
            ("Request-Id", request.headers.get("request-id", "")),
            ("Server-Signature", SIGNATURE),
            *self.extra_headers,
            *more,
        ]
        return http.head(line, headers)


def plain(work_s: float, body: bytes) -> Script:
    """Returns the script of a plain service whose answers all have one body."""

    async def script(replica: Replica, request: http.Message, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(work_s)
        more = [("Content-Length", str(len(body)))]
        writer.write(replica.answer_head(request, "HTTP/1.1 200 OK", more) + body)
        await writer.drain()
        return True

    return script


def events(count: int, pause_s: float) -> Script:
    """Returns the script of a model replica that sends a number of events."""

    async def script(replica: Replica, request: http.Message, writer: asyncio.StreamWriter) -> bool:
        name = request.headers.get("request-id", "")
        after = int(request.headers.get("last-event-id", 0))
        more = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(replica.answer_head(request, "HTTP/1.1 200 OK", more))
        for number in range(after + 1, count + 1):
            await asyncio.sleep(pause_s)
            writer.write(http.chunk(f"id: {number}\ndata: {name}.{number}\n\n".encode()))
            await writer.drain()
        writer.write(http.chunk(b""))
        await writer.drain()
        return True

    return script
