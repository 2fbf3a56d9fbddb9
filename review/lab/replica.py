"""Stand-in for a replica: answers requests by a script and records what reached it."""

import asyncio
from collections.abc import Awaitable, Callable

from .wire import Message, read_message, response

# Answers a request; returns whether the connection stays open.
Script = Callable[["PlatformReplica", Message, asyncio.StreamWriter], Awaitable[bool]]
NOT_EXECUTED = {"Not-Executed": "1"}


class PlatformReplica:
    """A replica on a loopback address.

    Attributes:
        name: Its id.
        address: Where it listens, as "ip:port".
        runs: Ids of the requests that it began to work on, with the time.
    """

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.address = ""
        self.runs: list[tuple[float, str]] = []
        self._script = script
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=8 << 20)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def stop(self) -> None:
        """Stops to listen."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                if message.headers.get("expect-instance") not in (None, self.name):
                    writer.write(response("421 Misdirected Request", b"", NOT_EXECUTED))
                    continue
                self.runs.append((asyncio.get_running_loop().time(), message.id))
                running = asyncio.ensure_future(self._script(self, message, writer))
                left = asyncio.create_task(_wait_for_end(reader))
                await asyncio.wait({running, left}, return_when=asyncio.FIRST_COMPLETED)
                left.cancel()
                if not running.done():
                    running.cancel()  # A request is dropped when its connection closes.
                    break
                if not running.result():
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)
